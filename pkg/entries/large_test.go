package entries_test

import (
	"github.com/lacewingyard/lacewingyard/pkg/entries"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Large", func() {
	host := func(name, place string, capacity, load float64) entries.Host {
		return entries.Host{Name: name, Place: place, Capacity: capacity, Load: load, Reachable: true, PlaceInService: true}
	}
	names := func(hosts []entries.Host) (out []string) {
		for _, h := range entries.PreferLarge(hosts) {
			out = append(out, h.Name)
		}
		return out
	}

	// Most hosts of a grown fleet have a tenth of the link of a few.
	It("keeps small hosts in reserve while large ones have room", func() {
		fleet := []entries.Host{host("a1", "a", 10, 0.1), host("a2", "a", 10, 0.1), host("a3", "a", 1, 0), host("b1", "b", 1, 0), host("b2", "b", 1, 0)}
		Expect(names(fleet)).To(Equal([]string{"a1", "a2", "b1", "b2"}))
	})

	It("uses all hosts if the large ones are busy or only one is left", func() {
		Expect(names([]entries.Host{host("a1", "a", 10, 0.9), host("a2", "a", 10, 0.5), host("a3", "a", 1, 0)})).To(HaveLen(3))
		Expect(names([]entries.Host{host("a1", "a", 10, 0), host("a3", "a", 1, 0)})).To(HaveLen(2))
	})

	// A day on which the two large hosts of each place were restarted in turn: their
	// callers went to hosts with a tenth of the link for ten seconds.
	It("sends callers to large hosts elsewhere while those of their place restart", func() {
		gone := host("a1", "a", 10, 0.1)
		gone.Leaving = true
		dead := host("a2", "a", 10, 0.1)
		dead.Reachable = false
		fleet := []entries.Host{gone, dead, host("a3", "a", 1, 0),
			host("b1", "b", 10, 0.1), host("b2", "b", 10, 0.2), host("c1", "c", 10, 0.1), host("c2", "c", 10, 0.1)}
		named := func(hosts []entries.Host) (out []string) {
			for _, h := range entries.FilterReachable(entries.PreferLarge(hosts)) {
				out = append(out, h.Name)
			}
			return out
		}
		Expect(named(fleet)).To(Equal([]string{"b1", "b2", "c1", "c2"}))
		fleet[1].Reachable = true
		Expect(named(fleet)).To(Equal([]string{"a2", "b1", "b2", "c1", "c2"}))
		for i := range fleet[3:] {
			fleet[3+i].Load = 0.4
		}
		Expect(named(fleet)).To(ContainElement("a3"), "they have no room")
		Expect(named(fleet[:4])).To(ContainElement("a3"), "they are few")
	})
	It("keeps all hosts if none states its capacity", func() {
		Expect(names([]entries.Host{host("a1", "a", 0, 0), host("a2", "a", 0, 0)})).To(HaveLen(2))
	})
})

var _ = Describe("Near", func() {
	It("leaves hosts elsewhere to places with a single host", func() {
		a1, a2, b := entries.Host{Name: "a1", Place: "a"}, entries.Host{Name: "a2", Place: "a"}, entries.Host{Name: "b", Place: "b"}
		c := entries.Host{Name: "c", Place: "c"}
		Expect(entries.LimitRemote([]entries.Host{a1, a2, b, c}, "a")).To(Equal([]entries.Host{a1, a2, b}), "one elsewhere, if the place is lost")
		Expect(entries.LimitRemote([]entries.Host{a1, b}, "a")).To(HaveLen(2))
	})
})
