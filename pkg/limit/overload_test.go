package limit_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/limit"
)

// In the simulated fleet every query asks all groups. A group has several owner
// shares, and a sub-request goes to the one with the fewest requests.
const (
	groups, shares, slots = 10, 6, 2
	median, sigma         = 8 * time.Millisecond, 0.4
	deadline              = 250 * time.Millisecond
	entryHosts            = 8
	simulated             = 12 * time.Second
	warmUp                = 4 * time.Second
)

type query struct {
	class   limit.Class
	started time.Time
	host    int
	pending int // sub-requests that have not ended
	waited  time.Duration
	served  time.Duration
	refused int
}

type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, k int) bool { return e[i].at.Before(e[k].at) }
func (e events) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simulation struct {
	now         time.Time
	rng         *rand.Rand
	events      events
	limits      [groups][shares]*limit.Limiter[*query]
	admissions  []*limit.Admission
	naive       bool
	good        int // complete answers within the deadline
	critical    []time.Duration
	notAdmitted int // critical queries that were not admitted
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, event{s.now.Add(d), run})
}

// simulate returns the number of good answers, the p99 latency of the critical
// class and the fraction of its queries that were not admitted, at a load
// relative to the capacity. The naive version has neither classes, deadlines nor
// admission.
func simulate(load float64, naive bool, seed uint64) (good int, p99 time.Duration, notAdmitted float64) {
	s := &simulation{now: start, rng: rand.New(rand.NewPCG(seed, 1)), naive: naive}
	for g := range s.limits {
		for i := range s.limits[g] {
			s.limits[g][i] = limit.NewLimiter[*query](slots, 64)
		}
	}
	for range entryHosts {
		s.admissions = append(s.admissions, limit.NewAdmission())
	}
	mean := float64(median) * math.Exp(sigma*sigma/2)
	gap := mean / (shares * slots) / load
	var arrive func()
	arrive = func() { s.arrive(); s.after(time.Duration(gap*s.rng.ExpFloat64()), arrive) }
	arrive()
	for s.now.Before(start.Add(simulated)) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.critical)
	return s.good, s.critical[len(s.critical)*99/100], float64(s.notAdmitted) / float64(s.notAdmitted+len(s.critical))
}

func (s *simulation) arrive() {
	q := &query{started: s.now, host: s.rng.IntN(entryHosts), pending: groups}
	q.class = []limit.Class{limit.Critical, limit.Critical, limit.Interactive, limit.Interactive, limit.Interactive, limit.Interactive,
		limit.Interactive, limit.Batch, limit.Batch, limit.Batch}[s.rng.IntN(10)]
	if _, ok := s.admissions[q.host].Start(s.now, q.class); !ok && !s.naive {
		if q.class == limit.Critical && s.now.After(start.Add(warmUp)) {
			s.notAdmitted++
		}
		return
	}
	for g := range s.limits {
		l := slices.MinFunc(s.limits[g][:], func(a, b *limit.Limiter[*query]) int {
			return a.InUse() + a.Waiting() - b.InUse() - b.Waiting()
		})
		class, until := q.class, q.started.Add(deadline)
		if s.naive {
			class, until = limit.Critical, far
		}
		evicted, err := l.Offer(s.now, q, class, until)
		if evicted != nil {
			s.end(*evicted, true)
		}
		if err != nil {
			s.end(q, true)
			continue
		}
		s.serve(l)
	}
}

func (s *simulation) serve(l *limit.Limiter[*query]) {
	for {
		q, expired, ok := l.Next(s.now)
		if !ok {
			return
		}
		if expired {
			s.end(q, true)
			continue
		}
		q.waited += s.now.Sub(q.started) / groups
		took := time.Duration(float64(median) * math.Exp(sigma*s.rng.NormFloat64()))
		q.served += took / groups
		s.after(took, func() {
			l.Release()
			l.ObserveServiceTime(s.now, took)
			s.end(q, false)
			s.serve(l)
		})
	}
}

// end records the end of one sub-request of a query.
func (s *simulation) end(q *query, refused bool) {
	q.pending--
	if refused {
		q.refused++
	}
	if q.pending > 0 {
		return
	}
	took := s.now.Sub(q.started)
	late := q.refused > 0 || took > deadline
	if !s.naive {
		s.admissions[q.host].Done(s.now, &limit.Sample{Took: took, Allowed: deadline, Waited: q.waited, Served: q.served, Refused: float64(q.refused) / groups})
	}
	if q.started.Before(start.Add(warmUp)) {
		return
	}
	if !late {
		s.good++
	}
	if q.class == limit.Critical {
		s.critical = append(s.critical, took)
	}
}

var _ = Describe("Limiter with Admission", func() {
	// Guards against goodput that falls when the load exceeds the capacity, and
	// against overload that slows or refuses the highest class. The bounds are
	// those of section 3 of docs/design.md.
	It("keeps goodput and the latency of the highest class at 150 % of capacity", func() {
		for seed := range uint64(5) {
			_, calm, _ := simulate(0.6, false, seed)
			full, _, _ := simulate(1, false, seed)
			over, p99, notAdmitted := simulate(1.5, false, seed)
			GinkgoWriter.Printf("seed %d: good at 100 %% %d, at 150 %% %d (%.3f); critical p99 at 60 %% %s, at 150 %% %s (%.2f), not admitted %.4f\n",
				seed, full, over, float64(over)/float64(full), calm, p99, float64(p99)/float64(calm), notAdmitted)
			Expect(float64(over)).To(BeNumerically(">=", 0.95*float64(full)))
			Expect(float64(p99)).To(BeNumerically("<=", 1.5*float64(calm)))
			Expect(notAdmitted).To(BeNumerically("<=", 0.01), "critical queries not admitted: lower classes must be shed first")
		}
	})

	// Guards against a simulation in which any fleet keeps the bounds above, so that
	// the spec above proves nothing.
	It("loses goodput and critical latency in a fleet without classes, deadlines and admission", func() {
		_, calm, _ := simulate(0.6, true, 1)
		full, _, _ := simulate(1, true, 1)
		over, p99, _ := simulate(1.5, true, 1)
		GinkgoWriter.Printf("naive: good %d, %d; critical p99 %s, %s\n", full, over, calm, p99)
		Expect(float64(over)).To(BeNumerically("<", 0.95*float64(full)))
		Expect(float64(p99)).To(BeNumerically(">", 1.5*float64(calm)))
	})
})
