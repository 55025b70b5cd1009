package entries_test

import (
	"fmt"
	"slices"

	"github.com/lacewingyard/lacewingyard/pkg/entries"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Concentrate", func() {
	place := func(name string, n int, load float64) (hosts []entries.Host) {
		for i := range n {
			hosts = append(hosts, entries.Host{Name: fmt.Sprint(name, i), Place: name, Capacity: 1000, Load: load, Reachable: true, PlaceInService: true})
		}
		return hosts
	}
	count := func(hosts []entries.Host) map[string]int {
		n := map[string]int{}
		for _, h := range entries.Concentrate(hosts) {
			n[h.Place]++
		}
		return n
	}

	// Guards against fan-outs that open a connection to each shard, because each of many
	// hosts gets a request every few seconds.
	It("keeps two hosts of a place with little traffic, and as many as the load needs", func() {
		Expect(count(slices.Concat(place("a", 4, 0.02), place("b", 4, 0.06), place("c", 4, 0.2)))).To(Equal(map[string]int{"a": 2, "b": 3, "c": 4}))
	})

	// Guards against a flow of callers that moves between hosts: each answer names the
	// hosts that others name, also once the load has moved to them.
	It("keeps the same hosts whatever their order, and after the load has moved to them", func() {
		hosts := place("a", 6, 0.02)
		first := entries.Concentrate(hosts)
		slices.Reverse(hosts)
		for i := range hosts {
			hosts[i].Load = 0
			if hosts[i].Name == first[0].Name || hosts[i].Name == first[1].Name {
				hosts[i].Load = 0.06
			}
		}
		var names, later []string
		for _, h := range first {
			names = append(names, h.Name)
		}
		for _, h := range entries.Concentrate(hosts) {
			later = append(later, h.Name)
		}
		Expect(later).To(Equal(names))
	})

	// Guards against a place that is left with hosts which do not serve.
	It("replaces hosts that leave or are not reachable", func() {
		hosts := place("a", 4, 0.01)
		for _, gone := range entries.Concentrate(hosts) {
			for i := range hosts {
				hosts[i].Leaving = hosts[i].Leaving || hosts[i].Name == gone.Name
			}
		}
		kept := entries.Concentrate(hosts)
		Expect(kept).To(HaveLen(2))
		for _, h := range kept {
			Expect(h.Leaving).To(BeFalse())
		}
	})

	It("keeps all hosts of a place if the capacity of one is unknown", func() {
		hosts := place("a", 4, 0)
		hosts[2].Capacity = 0
		Expect(entries.Concentrate(hosts)).To(HaveLen(4))
	})
})
