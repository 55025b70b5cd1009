package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/routing"
)

func newGroups(n int) []*routing.Group {
	groups := make([]*routing.Group, n)
	for i := range groups {
		groups[i] = &routing.Group{ID: fmt.Sprint("g", i)}
		for r, place := range []string{"a", "b", "c"} {
			groups[i].Candidates = append(groups[i].Candidates, routing.Candidate{
				Target: fmt.Sprintf("g%d-r%d", i, r), Place: place, Owners: []int{i % 3, (i + 1) % 3},
			})
		}
	}
	return groups
}

func newRouter(ordinal int, groups []*routing.Group) *routing.Router {
	r := routing.NewRouter("a", ordinal, rand.New(rand.NewPCG(uint64(ordinal), 2)))
	for _, g := range groups {
		r.Prepare(g)
	}
	return r
}

var _ = Describe("Router", func() {
	now := time.Unix(1000, 0)
	const ms = time.Millisecond
	// ask plans a query of a single group and records an answer with the latency
	// that the function returns for the chosen path.
	ask := func(r *routing.Router, g *routing.Group, now time.Time, latency func(routing.Path) time.Duration) routing.Path {
		plan := r.Plan(now, []*routing.Group{g}, nil, nil)
		r.SentAll(now, plan)
		r.Answered(now, plan[0].Path, latency(plan[0].Path))
		return plan[0].Path
	}

	// Guards against an unmeasured path in another place with a lower estimated
	// cost than a measured local one, at any service time.
	It("prefers the local place while all latencies are equal", func() {
		for _, service := range []time.Duration{ms, 8 * ms, 80 * ms} {
			groups := newGroups(1)
			r := newRouter(0, groups)
			for i := range 200 {
				p := ask(r, groups[0], now.Add(time.Duration(i)*ms), func(routing.Path) time.Duration { return service })
				// At 80 ms the jitter exceeds the round trip to another place, so
				// that some requests may go there; the first one never may.
				if service < 80*ms || i == 0 {
					Expect(p.Place).To(Equal("a"), "service time %s, query %d", service, i)
				}
			}
		}
	})

	// Guards against local queues that grow while other places are idle, and
	// against all hosts moving to one replica at once. Eight hosts of one place
	// share a local replica whose latency grows with its load.
	It("shifts part of the load to other places without all hosts choosing one replica", func() {
		const hosts, rounds = 8, 400
		var routers []*routing.Router
		var groups []*routing.Group
		for h := range hosts {
			g := newGroups(1)
			groups = append(groups, g[0])
			routers = append(routers, newRouter(h, g))
		}
		last := map[string]int{} // requests to each target in the round before
		herded, local := 0, 0
		for round := range rounds {
			counts := map[string]int{}
			for h, r := range routers {
				p := ask(r, groups[h], now.Add(time.Duration(round)*10*ms), func(p routing.Path) time.Duration {
					return 8 * ms * time.Duration(max(1, last[p.Target]-1)) // two slots, then a queue
				})
				counts[p.Target]++
			}
			if round >= rounds/2 {
				local += counts["g0-r0"]
				for _, n := range counts {
					if n == hosts {
						herded++
					}
				}
			}
			last = counts
		}
		Expect(herded).To(BeNumerically("<", rounds/2/10), "rounds with every host on one replica")
		Expect(local).To(BeNumerically(">", hosts*rounds/2/5))
		Expect(local).To(BeNumerically("<", hosts*rounds/2*4/5))
	})

	// Guards against a stuck replica that stays preferred because it gives no
	// answer that would raise its latency estimate.
	It("avoids a target whose attempts are lost and tries it again later", func() {
		groups := newGroups(1)
		r := newRouter(0, groups)
		stuck := 0
		for i := range 1000 {
			at := now.Add(time.Duration(i) * 10 * ms)
			plan := r.Plan(at, groups, nil, nil)
			r.SentAll(at, plan)
			if plan[0].Path.Target == "g0-r0" {
				stuck++
				r.Canceled(at, plan[0].Path, 30*ms)
			} else {
				r.Answered(at, plan[0].Path, 8*ms)
			}
		}
		Expect(stuck).To(And(BeNumerically(">", 1), BeNumerically("<", 20)))
	})

	// Guards against queries that wait for a stuck replica whenever it is tried
	// again, and against several trials at the same time.
	It("marks one request at a time as a trial after two losses in a row", func() {
		groups := newGroups(1)
		r := newRouter(0, groups)
		stuck := func(p routing.Path) bool { return p.Target == "g0-r0" }
		waits, trials := 0, 0
		for i := range 1000 {
			at := now.Add(time.Duration(i) * 10 * ms)
			plan := r.Plan(at, groups, nil, nil)
			r.SentAll(at, plan)
			switch {
			case plan[0].Trial:
				trials++
				Expect(stuck(r.Plan(at, groups, nil, nil)[0].Path)).To(BeFalse())
				r.Canceled(at, plan[0].Path, 10*ms) // the second attempt answers first
			case stuck(plan[0].Path):
				waits++
				r.Canceled(at, plan[0].Path, 30*ms)
			default:
				r.Answered(at, plan[0].Path, 8*ms)
			}
		}
		Expect(waits).To(Equal(2))
		Expect(trials).To(BeNumerically(">", 0))
	})

	// Guards against a hedge that is delayed by the same place or host as the
	// first attempt.
	It("chooses an alternative in another place, or else through another host", func() {
		groups := newGroups(1)
		r := newRouter(0, groups)
		first := r.Plan(now, groups, nil, nil)[0].Path
		other, ok := r.Alternative(now, groups[0], nil, []routing.Path{first})
		Expect(ok).To(BeTrue())
		Expect(other.Path.Place).NotTo(Equal(first.Place))
		onlyLocal := func(_, candidate int) bool { return candidate == 0 }
		other, ok = r.Alternative(now, groups[0], onlyLocal, []routing.Path{first})
		Expect(ok).To(BeTrue())
		Expect(other.Path.Ordinal).NotTo(Equal(first.Ordinal))
	})

	// Guards against measured round trips that do not affect the choice.
	It("prefers the place with the shorter round trip", func() {
		groups := newGroups(1)
		r := newRouter(0, groups)
		r.ObserveRoundTrip("b", 40*ms)
		r.ObserveRoundTrip("c", 3*ms)
		withoutLocal := func(_, candidate int) bool { return candidate > 0 }
		for range 50 {
			Expect(r.Plan(now, groups, withoutLocal, nil)[0].Path.Place).To(Equal("c"))
		}
	})
})

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{10, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			groups := newGroups(n)
			r := newRouter(0, groups)
			now := time.Unix(1000, 0)
			var plan []routing.Assignment
			b.ReportAllocs()
			for b.Loop() {
				plan = r.Plan(now, groups, nil, plan[:0])
				r.SentAll(now, plan)
				for _, a := range plan {
					r.Answered(now, a.Path, 8*time.Millisecond)
				}
			}
		})
	}
}
