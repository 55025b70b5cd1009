package entries_test

import (
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
