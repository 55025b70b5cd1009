package entries_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/entries"
)

func host(name, place string, change func(*entries.Host)) entries.Host {
	h := entries.Host{Name: name, Place: place, PlaceInService: true, Reachable: true}
	if change != nil {
		change(&h)
	}
	return h
}

var _ = Describe("Choose", func() {
	rng := rand.New(rand.NewPCG(1, 1))

	// Guards against callers that connect to a host which is shutting down or withdrawn.
	It("never names a leaving host or a host of a place out of service", func() {
		chosen := entries.Choose([]entries.Host{
			host("a", "north", func(h *entries.Host) { h.Leaving = true }),
			host("b", "north", func(h *entries.Host) { h.PlaceInService = false }),
			host("c", "south", nil),
		}, "north", rng)
		Expect(chosen).To(HaveLen(1))
		Expect(chosen[0].Name).To(Equal("c"))
	})

	// Guards against an answer without usable hosts while this host is partitioned
	// from the others: callers may reach hosts that it cannot.
	It("names unreachable hosts last if it reaches no more than half", func() {
		chosen := entries.Choose([]entries.Host{
			host("a", "north", func(h *entries.Host) { h.Reachable = false }),
			host("b", "south", nil),
		}, "north", rng)
		Expect(chosen).To(HaveLen(2))
		Expect(chosen[0].Name).To(Equal("b"))
	})

	// Guards against callers that keep connecting to a crashed host for as long as the
	// host list has it.
	It("omits unreachable hosts if most hosts are reachable", func() {
		hosts := []entries.Host{host("a", "north", func(h *entries.Host) { h.Reachable = false }), host("b", "north", nil), host("c", "south", nil)}
		Expect(entries.Choose(hosts, "north", rng)).To(HaveLen(2))
		hosts[2].Reachable = false
		Expect(entries.Choose(hosts, "north", rng)).To(HaveLen(3), "this host may be partitioned itself")
	})

	// Guards against all callers that take the first address using the same host.
	It("spreads first addresses by free capacity, local hosts before remote ones", func() {
		hosts := []entries.Host{
			host("idle", "north", nil),
			host("busy", "north", func(h *entries.Host) { h.Load = 0.75 }),
			host("far", "south", nil),
		}
		first := map[string]int{}
		for range 10000 {
			first[entries.Choose(hosts, "north", rng)[0].Name]++
		}
		Expect(first).NotTo(HaveKey("far"))
		Expect(first["idle"]).To(BeNumerically("~", 8000, 300), fmt.Sprint(first))
	})
})
