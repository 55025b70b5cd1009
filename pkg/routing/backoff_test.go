package routing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/routing"
)

var _ = Describe("Router with paths that refuse work", func() {
	start := time.Unix(1000, 0)
	const ms = time.Millisecond
	// drive plans a query each millisecond for some seconds and counts those for
	// which answer returns true.
	drive := func(r *routing.Router, g *routing.Group, seconds int, answer func(now time.Time, p routing.Path) (counted bool)) (n int) {
		for i := range seconds * 1000 {
			now := start.Add(time.Duration(i) * ms)
			plan := r.Plan(now, []*routing.Group{g}, nil, nil)
			r.SentAll(now, plan)
			if answer(now, plan[0].Path) {
				n++
			}
		}
		return n
	}

	// Guards against an owner without a share of the slots that receives every
	// query, and against a retry that ends on a second refusal.
	It("avoids an owner that refused and probes it about twice a second", func() {
		groups := newGroups(1)
		r := newRouter(0, groups)
		refused := drive(r, groups[0], 5, func(now time.Time, p routing.Path) bool {
			if p.Place != "a" {
				r.Answered(now, p, 8*ms)
				return false
			}
			r.Refused(now, p)
			other, ok := r.Alternative(now, &routing.Group{ID: "g0", Candidates: groups[0].Candidates, Retry: true}, nil, nil)
			Expect(ok && (other.Path.Place != p.Place || other.Path.Ordinal != p.Ordinal)).To(BeTrue(), "the retry")
			return true
		})
		Expect(refused).To(And(BeNumerically(">=", 10), BeNumerically("<=", 22)), "two owners, twice a second, in 5 s")
		onlyLocal := func(_, candidate int) bool { return candidate == 0 }
		_, ok := r.Alternative(start, groups[0], onlyLocal, nil)
		Expect(ok).To(BeTrue(), "an avoided path is used if there is no other")
	})

	// Guards against hosts that together overload a cold target, because they ask
	// its second owner as well or ask without a backoff.
	It("divides the capacity of a cold target among the hosts", func() {
		groups := newGroups(1)
		r := newRouter(2, groups) // owns none of the targets
		r.SetHostCount(8)
		cold := drive(r, groups[0], 20, func(now time.Time, p routing.Path) bool {
			r.Answered(now, p, 8*ms)
			r.ObserveCold(now, p, p.Place == "a")
			return p.Place == "a"
		})
		Expect(cold).To(And(BeNumerically(">=", 5), BeNumerically("<=", 15)), "about one in 2 s")
	})

	// Guards against a cold target that never warms up because every host avoids it.
	It("sends to a cold target of this host while it has a free slot there", func() {
		groups := newGroups(1)
		r := newRouter(0, groups)
		r.SetHostCount(8)
		free := true
		r.SetFreeSlotFunc(func(string) bool { return free })
		drive(r, groups[0], 1, func(now time.Time, p routing.Path) bool {
			r.Answered(now, p, 8*ms)
			r.ObserveCold(now, p, p.Place == "a")
			return false
		})
		for range 20 {
			Expect(r.Plan(start.Add(time.Second), groups, nil, nil)[0].Path).To(Equal(routing.Path{Target: "g0-r0", Place: "a", Ordinal: 0}))
		}
		free = false
		Expect(r.Plan(start.Add(time.Second), groups, nil, nil)[0].Path.Place).NotTo(Equal("a"))
	})

	// Guards against attempts lost to a dead host, once per target, in the 3 s
	// until heartbeats detect its death.
	It("avoids a host that stops replying", func() {
		groups := newGroups(15)
		r := newRouter(2, groups)
		lost := 0
		for i := range 42 { // 14 queries a second for 3 s
			now := start.Add(time.Duration(i) * 71 * ms)
			plan := r.Plan(now, groups, nil, nil)
			r.SentAll(now, plan)
			for _, a := range plan {
				if a.Path.Place == "a" && a.Path.Ordinal == 0 && i >= 14 {
					lost++
					r.Canceled(now.Add(40*ms), a.Path, 40*ms) // a hedge overtook it
				} else {
					r.Answered(now.Add(8*ms), a.Path, 8*ms)
				}
			}
		}
		// 15 attempts of 3 queries until the host is suspected, with half of its 10
		// groups through their other owner, then 4 probes a second. 49 without the rule.
		Expect(lost).To(And(BeNumerically(">=", 5), BeNumerically("<=", 22)), "in 2 s")
	})

	// Guards against an owner with one slot that receives as many requests as one
	// with two.
	It("sends to owners in proportion to their slots", func() {
		g := &routing.Group{ID: "g0", Candidates: []routing.Candidate{{Target: "t", Place: "a", Owners: []int{1, 2}, Slots: []int{2, 1}}}}
		r := newRouter(0, []*routing.Group{g})
		first := drive(r, g, 3, func(now time.Time, p routing.Path) bool {
			r.Answered(now, p, 80*ms)
			return p.Ordinal == 1
		})
		Expect(first).To(BeNumerically("~", 2000, 150))
	})
})
