package balance_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/balance"
)

// searcher is a model of one target: slots with a queue, pauses, and troubles.
type searcher struct {
	free   []time.Duration // when each slot is free
	near   bool
	slow   float64       // factor of the service time
	refuse float64       // fraction of requests refused
	silent bool          // no answer ever
	phase  time.Duration // of its pauses
}

const (
	pauseEvery = 4500 * time.Millisecond
	pauseFor   = 200 * time.Millisecond
	farLink    = 8 * time.Millisecond
	work       = 17 * time.Millisecond
	timeLimit  = 800 * time.Millisecond
)

// run returns when the answer to a request that comes at a time leaves, and
// whether the request was refused.
func (s *searcher) run(at time.Duration, rng *rand.Rand) (done time.Duration, refused bool) {
	if s.silent {
		return at + timeLimit, false
	}
	if rng.Float64() < s.refuse {
		return at + time.Millisecond, true
	}
	slot := 0
	for i := range s.free {
		if s.free[i] < s.free[slot] {
			slot = i
		}
	}
	begin := max(at, s.free[slot])
	took := time.Duration(float64(work) * math.Exp(0.35*rng.NormFloat64()) * max(1, s.slow))
	if into := (begin + s.phase) % pauseEvery; into < pauseFor {
		begin += pauseFor - into
	}
	s.free[slot] = begin + took
	return begin + took, false
}

type event struct {
	at time.Duration
	do func(now time.Duration)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// result of a played load.
type result struct {
	latencies []time.Duration
	far       float64 // fraction of requests sent to another place
	refused   float64
}

func (r *result) quantile(q float64) time.Duration {
	slices.Sort(r.latencies)
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

// play sends requests of one shard through several hosts to three searchers, the
// first of which is near to all. With plain, each goes to the target with the
// fewest requests outstanding at its host, the nearest first.
func play(seed uint64, searchers []*searcher, rate float64, length time.Duration, plain bool) result {
	const hosts = 3
	rng := rand.New(rand.NewPCG(seed, 11))
	var queue events
	var out result
	start := time.Unix(1000, 0)
	targets := make([][]*balance.Target, hosts)
	for h := range targets {
		for range searchers {
			targets[h] = append(targets[h], balance.NewTarget(4))
		}
	}
	sent, far, refused := 0, 0, 0
	choose := func(h int, now time.Time) int {
		if !plain {
			var candidates []balance.Candidate
			for i, s := range searchers {
				c := balance.Candidate{Target: targets[h][i]}
				if !s.near {
					c.RTT = farLink
				}
				candidates = append(candidates, c)
			}
			return balance.Choose(now, candidates, work, hosts, rng)
		}
		best := 0
		for i := range searchers {
			if targets[h][i].Outstanding() < targets[h][best].Outstanding() {
				best = i
			}
		}
		return best
	}
	var arrive func(now time.Duration)
	arrive = func(now time.Duration) {
		began := now
		h := rng.IntN(hosts)
		i := choose(h, start.Add(now))
		if i >= 0 {
			sent++
			link := time.Duration(0)
			if !searchers[i].near {
				link = farLink
				far++
			}
			t := targets[h][i]
			t.Sent(start.Add(now))
			done, no := searchers[i].run(now+link/2, rng)
			heap.Push(&queue, event{done + link/2, func(now time.Duration) {
				took := now - began
				switch {
				case no:
					refused++
					t.Refused(start.Add(now))
				case searchers[i].silent:
					t.TimedOut(start.Add(now), took)
					out.latencies = append(out.latencies, took)
				default:
					t.Answered(start.Add(now), took-link, work)
					out.latencies = append(out.latencies, took)
				}
			}})
		}
		if next := now + time.Duration(rng.ExpFloat64()/rate*float64(time.Second)); next < length {
			heap.Push(&queue, event{next, arrive})
		}
	}
	heap.Push(&queue, event{0, arrive})
	for queue.Len() > 0 {
		e := heap.Pop(&queue).(event)
		e.do(e.at)
	}
	out.far, out.refused = float64(far)/float64(sent), float64(refused)/float64(sent)
	return out
}
