package balance_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/balance"
)

// searcher models one target: slots with a queue, periodic pauses and faults.
type searcher struct {
	freeAt []time.Duration // when each slot becomes free
	local  bool            // in the same place as the hosts
	slow   float64         // multiplier of the service time
	refuse float64         // fraction of requests refused
	silent bool            // never answers
	phase  time.Duration   // offset of the pauses
}

const (
	pauseInterval  = 4500 * time.Millisecond
	pauseLength    = 200 * time.Millisecond
	remoteRTT      = 8 * time.Millisecond
	serviceTime    = 17 * time.Millisecond
	requestTimeout = 800 * time.Millisecond
)

// run returns the time at which the response to a request that arrives at the given
// time is sent, and whether the request was refused.
func (s *searcher) run(at time.Duration, rng *rand.Rand) (done time.Duration, refused bool) {
	if s.silent {
		return at + requestTimeout, false
	}
	if rng.Float64() < s.refuse {
		return at + time.Millisecond, true
	}
	slot := 0
	for i := range s.freeAt {
		if s.freeAt[i] < s.freeAt[slot] {
			slot = i
		}
	}
	begin := max(at, s.freeAt[slot])
	took := time.Duration(float64(serviceTime) * math.Exp(0.35*rng.NormFloat64()) * max(1, s.slow))
	if elapsed := (begin + s.phase) % pauseInterval; elapsed < pauseLength {
		begin += pauseLength - elapsed
	}
	s.freeAt[slot] = begin + took
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

// result holds the figures of one simulated load.
type result struct {
	latencies []time.Duration
	remote    float64 // fraction of requests sent to another place
	refused   float64 // fraction of requests refused
}

func (r *result) quantile(q float64) time.Duration {
	slices.Sort(r.latencies)
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

// simulate simulates Poisson arrivals of requests for one shard at several hosts, which
// send them to the searchers. With leastOutstanding, each request goes to the first target with
// the fewest requests outstanding from its host instead of the one of balance.Choose.
func simulate(seed uint64, searchers []*searcher, rate float64, duration time.Duration, leastOutstanding bool) result {
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
	sent, remote, refused := 0, 0, 0
	choose := func(h int, now time.Time) int {
		if !leastOutstanding {
			var candidates []balance.Candidate
			for i, s := range searchers {
				c := balance.Candidate{Target: targets[h][i]}
				if !s.local {
					c.RTT = remoteRTT
				}
				candidates = append(candidates, c)
			}
			return balance.Choose(now, candidates, serviceTime, hosts, rng)
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
		sentAt := now
		h := rng.IntN(hosts)
		i := choose(h, start.Add(now))
		if i >= 0 {
			sent++
			rtt := time.Duration(0)
			if !searchers[i].local {
				rtt = remoteRTT
				remote++
			}
			t := targets[h][i]
			t.Sent(start.Add(now))
			done, wasRefused := searchers[i].run(now+rtt/2, rng)
			heap.Push(&queue, event{done + rtt/2, func(now time.Duration) {
				took := now - sentAt
				switch {
				case wasRefused:
					refused++
					t.Refused(start.Add(now))
				case searchers[i].silent:
					t.TimedOut(start.Add(now), took)
					out.latencies = append(out.latencies, took)
				default:
					t.Answered(start.Add(now), took-rtt, serviceTime)
					out.latencies = append(out.latencies, took)
				}
			}})
		}
		if next := now + time.Duration(rng.ExpFloat64()/rate*float64(time.Second)); next < duration {
			heap.Push(&queue, event{next, arrive})
		}
	}
	heap.Push(&queue, event{0, arrive})
	for queue.Len() > 0 {
		e := heap.Pop(&queue).(event)
		e.do(e.at)
	}
	out.remote, out.refused = float64(remote)/float64(sent), float64(refused)/float64(sent)
	return out
}
