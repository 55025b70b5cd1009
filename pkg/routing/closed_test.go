package routing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/routing"
)

var _ = Describe("Router with paths that take no work", func() {
	start := time.Unix(1000, 0)
	const ms = time.Millisecond
	// drive plans a query each millisecond for some seconds and counts the
	// choices of which took says true.
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

	// Guards against an owner without an allowance that is asked again and
	// again, and against a retry that ends on a second refusal.
	It("leaves an owner that refuses, and asks it now and then", func() {
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
		alone := func(_, option int) bool { return option == 0 }
		_, ok := r.Alternative(start, groups[0], alone, nil)
		Expect(ok).To(BeTrue(), "it is used if there is no other")
	})

	// Guards against hosts that together send a cold target more than it
	// bears, by asking its second owner as well or by asking without pause.
	It("shares the capacity of a cold target among the hosts", func() {
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

	// Guards against a cold target that stays cold because every host leaves it.
	It("gives a cold target of this host the work that it has room for", func() {
		groups := newGroups(1)
		r := newRouter(0, groups)
		r.SetHostCount(8)
		room := true
		r.SetFreeSlotFunc(func(string) bool { return room })
		drive(r, groups[0], 1, func(now time.Time, p routing.Path) bool {
			r.Answered(now, p, 8*ms)
			r.ObserveCold(now, p, p.Place == "a")
			return false
		})
		for range 20 {
			Expect(r.Plan(start.Add(time.Second), groups, nil, nil)[0].Path).To(Equal(routing.Path{Target: "g0-r0", Place: "a", Ordinal: 0}))
		}
		room = false
		Expect(r.Plan(start.Add(time.Second), groups, nil, nil)[0].Path.Place).NotTo(Equal("a"))
	})

	// Guards against attempts that are lost with a dead host, target by target,
	// until heartbeats show that it is gone.
	It("leaves a host that stops replying", func() {
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
		// 15 in 3 queries before the host is suspected, with half of its 10 groups
		// through their other owner, and then 4 probes a second. Without the rule 49.
		Expect(lost).To(And(BeNumerically(">=", 5), BeNumerically("<=", 22)), "in 2 s")
	})

	// Guards against an owner with one slot that gets as much as one with two.
	It("asks owners in proportion to their slots", func() {
		g := &routing.Group{ID: "g0", Candidates: []routing.Candidate{{Target: "t", Place: "a", Owners: []int{1, 2}, Slots: []int{2, 1}}}}
		r := newRouter(0, []*routing.Group{g})
		first := drive(r, g, 3, func(now time.Time, p routing.Path) bool {
			r.Answered(now, p, 80*ms)
			return p.Ordinal == 1
		})
		Expect(first).To(BeNumerically("~", 2000, 150))
	})
})
