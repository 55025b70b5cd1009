package entries_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/lacewingyard/lacewingyard/pkg/entries"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("PreferLarge", func() {
	host := func(name, place string, capacity, load float64) entries.Host {
		return entries.Host{Name: name, Place: place, Capacity: capacity, Load: load, Reachable: true, PlaceInService: true}
	}
	names := func(hosts []entries.Host) (out []string) {
		for _, h := range entries.PreferLarge(hosts) {
			out = append(out, h.Name)
		}
		return out
	}

	// Guards against callers that use small hosts while large ones are idle: most hosts
	// of a large fleet have a tenth of the bandwidth of the large ones.
	It("drops small hosts while the large ones of their place have spare capacity", func() {
		fleet := []entries.Host{host("a1", "a", 10, 0.1), host("a2", "a", 10, 0.1), host("a3", "a", 1, 0), host("b1", "b", 1, 0), host("b2", "b", 1, 0)}
		Expect(names(fleet)).To(Equal([]string{"a1", "a2", "b1", "b2"}))
	})

	// Guards against overload of the large hosts of a place, or of its only large host.
	It("keeps all hosts if the large ones are busy or there is only one", func() {
		Expect(names([]entries.Host{host("a1", "a", 10, 0.9), host("a2", "a", 10, 0.5), host("a3", "a", 1, 0)})).To(HaveLen(3))
		Expect(names([]entries.Host{host("a1", "a", 10, 0), host("a3", "a", 1, 0)})).To(HaveLen(2))
	})

	// Guards against a rolling restart of the two large hosts of each place that sends
	// their callers to hosts with a tenth of the bandwidth, as seen for ten seconds on one day.
	It("names large hosts of other places while those of the caller's place restart", func() {
		leaving := host("a1", "a", 10, 0.1)
		leaving.Leaving = true
		unreachable := host("a2", "a", 10, 0.1)
		unreachable.Reachable = false
		fleet := []entries.Host{leaving, unreachable, host("a3", "a", 1, 0),
			host("b1", "b", 10, 0.1), host("b2", "b", 10, 0.2), host("c1", "c", 10, 0.1), host("c2", "c", 10, 0.1)}
		reachableNames := func(hosts []entries.Host) (out []string) {
			for _, h := range entries.FilterReachable(entries.PreferLarge(hosts)) {
				out = append(out, h.Name)
			}
			return out
		}
		Expect(reachableNames(fleet)).To(Equal([]string{"b1", "b2", "c1", "c2"}))
		fleet[1].Reachable = true
		Expect(reachableNames(fleet)).To(Equal([]string{"a2", "b1", "b2", "c1", "c2"}))
		for i := range fleet[3:] {
			fleet[3+i].Load = 0.4
		}
		Expect(reachableNames(fleet)).To(ContainElement("a3"), "the large hosts have no spare capacity")
		Expect(reachableNames(fleet[:4])).To(ContainElement("a3"), "there are too few large hosts")
	})

	// Guards against callers that are spread over all hosts of a place, each of which then
	// opens connections to all targets, because its large hosts are a little too busy.
	It("keeps as many small hosts as the load needs beside the large ones", func() {
		hosts := []entries.Host{host("a1", "a", 10, 0.5), host("a2", "a", 10, 0.4)}
		for i := range 20 {
			hosts = append(hosts, host(fmt.Sprint("s", i), "a", 1, 0))
		}
		kept := names(hosts)
		Expect(kept).To(HaveLen(5), "9 of 23 are used")
		for i := range hosts[:2] { // the small ones take their part
			hosts[i].Load = 0.39
		}
		for i := range hosts {
			if slices.Contains(kept[2:], hosts[i].Name) {
				hosts[i].Load = 0.39
			}
		}
		Expect(names(hosts)).To(Equal(kept), "callers do not move to and fro")
		for i := range hosts {
			hosts[i].Load = min(hosts[i].Load, 0.3)
		}
		Expect(names(hosts)).To(HaveLen(2), "the large ones have spare capacity again")
		hosts[0].Load, hosts[1].Load = 0.9, 0.9
		Expect(len(names(hosts))).To(BeNumerically(">", 20))
	})

	// Guards against a small host that gets as many callers as a large one.
	It("names hosts as often as their capacity allows", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		named := map[string]int{}
		for range 1000 {
			for _, h := range entries.SampleByCapacity([]entries.Host{host("a1", "a", 10, 0), host("a2", "a", 10, 0), host("s", "a", 2, 0), host("b", "b", 2, 0), host("c", "c", 0, 0)}, rng) {
				named[h.Name]++
			}
		}
		Expect(named).To(HaveKeyWithValue("a1", 1000))
		Expect(named).To(HaveKeyWithValue("a2", 1000))
		Expect(named).To(HaveKeyWithValue("b", 1000))
		Expect(named).To(HaveKeyWithValue("c", 1000))
		Expect(named["s"]).To(BeNumerically("~", 200, 50))
	})

	// Guards against hosts of unknown capacity that count as small and are dropped.
	It("keeps all hosts if none states its capacity", func() {
		Expect(names([]entries.Host{host("a1", "a", 0, 0), host("a2", "a", 0, 0)})).To(HaveLen(2))
	})
})

var _ = Describe("LimitRemote", func() {
	// Guards against callers that spread over remote hosts although their place has
	// enough of its own, and against callers without any address if the place fails.
	It("keeps one host of another place, also if the caller's place has a single host", func() {
		a1, a2, b := entries.Host{Name: "a1", Place: "a"}, entries.Host{Name: "a2", Place: "a"}, entries.Host{Name: "b", Place: "b"}
		c := entries.Host{Name: "c", Place: "c"}
		Expect(entries.LimitRemote([]entries.Host{a1, a2, b, c}, "a")).To(Equal([]entries.Host{a1, a2, b}), "one spare, if the place fails")
		Expect(entries.LimitRemote([]entries.Host{a1, b}, "a")).To(HaveLen(2))
	})
})
