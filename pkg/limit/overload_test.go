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

// The simulated tier: every query asks all groups; a group has several owner
// shares, and a part goes to the one with the fewest requests.
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
	left    int
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
	now      time.Time
	rng      *rand.Rand
	pending  events
	limits   [groups][shares]*limit.Limiter[*query]
	gates    []*limit.Admission
	naive    bool
	good     int
	critical []time.Duration
	turned   int // critical queries that were not admitted
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.pending, event{s.now.Add(d), run})
}

// simulate returns the goodput, the p99 of the critical class and the part of
// it that was not admitted, at a load relative to the capacity. The naive version has neither classes, deadlines
// nor admission.
func simulate(load float64, naive bool, seed uint64) (good int, p99 time.Duration, turned float64) {
	s := &simulation{now: start, rng: rand.New(rand.NewPCG(seed, 1)), naive: naive}
	for g := range s.limits {
		for i := range s.limits[g] {
			s.limits[g][i] = limit.NewLimiter[*query](slots, 64)
		}
	}
	for range entryHosts {
		s.gates = append(s.gates, limit.NewAdmission())
	}
	mean := float64(median) * math.Exp(sigma*sigma/2)
	gap := mean / (shares * slots) / load
	var arrive func()
	arrive = func() { s.arrive(); s.after(time.Duration(gap*s.rng.ExpFloat64()), arrive) }
	arrive()
	for s.now.Before(start.Add(simulated)) {
		e := heap.Pop(&s.pending).(event)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.critical)
	return s.good, s.critical[len(s.critical)*99/100], float64(s.turned) / float64(s.turned+len(s.critical))
}

func (s *simulation) arrive() {
	q := &query{started: s.now, host: s.rng.IntN(entryHosts), left: groups}
	q.class = []limit.Class{limit.Critical, limit.Critical, limit.Interactive, limit.Interactive, limit.Interactive, limit.Interactive,
		limit.Interactive, limit.Batch, limit.Batch, limit.Batch}[s.rng.IntN(10)]
	if _, ok := s.gates[q.host].Start(s.now, q.class); !ok && !s.naive {
		if q.class == limit.Critical && s.now.After(start.Add(warmUp)) {
			s.turned++
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
		s.pump(l)
	}
}

func (s *simulation) pump(l *limit.Limiter[*query]) {
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
			s.pump(l)
		})
	}
}

// end takes the end of one part of a query.
func (s *simulation) end(q *query, refused bool) {
	q.left--
	if refused {
		q.refused++
	}
	if q.left > 0 {
		return
	}
	took := s.now.Sub(q.started)
	late := q.refused > 0 || took > deadline
	if !s.naive {
		s.gates[q.host].Done(s.now, &limit.Sample{Took: took, Allowed: deadline, Waited: q.waited, Served: q.served, Refused: float64(q.refused) / groups})
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
	// against overload that the highest class feels. Bounds: design page, 3.
	It("keeps goodput and the highest class at 150 % of capacity", func() {
		for seed := range uint64(5) {
			_, calm, _ := simulate(0.6, false, seed)
			full, _, _ := simulate(1, false, seed)
			over, p99, turned := simulate(1.5, false, seed)
			GinkgoWriter.Printf("seed %d: good at 100 %% %d, at 150 %% %d (%.3f); critical p99 at 60 %% %s, at 150 %% %s (%.2f), turned away %.4f\n",
				seed, full, over, float64(over)/float64(full), calm, p99, float64(p99)/float64(calm), turned)
			Expect(float64(over)).To(BeNumerically(">=", 0.95*float64(full)))
			Expect(float64(p99)).To(BeNumerically("<=", 1.5*float64(calm)))
			Expect(turned).To(BeNumerically("<=", 0.01), "lower classes must be shed first")
		}
	})

	// Shows that the check above finds a tier without these rules.
	It("fails in a tier without classes, deadlines and admission", func() {
		_, calm, _ := simulate(0.6, true, 1)
		full, _, _ := simulate(1, true, 1)
		over, p99, _ := simulate(1.5, true, 1)
		GinkgoWriter.Printf("naive: good %d, %d; critical p99 %s, %s\n", full, over, calm, p99)
		Expect(float64(over)).To(BeNumerically("<", 0.95*float64(full)))
		Expect(float64(p99)).To(BeNumerically(">", 1.5*float64(calm)))
	})
})
