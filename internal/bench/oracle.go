package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// stuckServiceTime stands for a service time that never ends.
const stuckServiceTime = time.Minute

// restartAfterMedians is in medians of the service time. At a log-normal spread of 0.4
// only 3 in 1,000 ordinary requests take longer.
const restartAfterMedians = 3

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{at(50), at(90), at(99), at(99.9)}
}

// newHistogram returns a histogram of microseconds up to a minute.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// oracle computes the latencies of a policy that knows every service time in
// advance. It assumes:
//
//   - the arrivals of the run, in their order, with no queries besides them;
//   - for each query and replica a service time drawn beforehand from the
//     model's distribution, multiplied while a straggler fault is on the
//     replica, and without end while it is stuck. The draws come from the run's
//     seed and from the same distribution as the searchers', but they are not
//     the searchers' own sequence of draws;
//   - of each group the replica on which the answer would be complete first is
//     asked, and no other; that includes the wait for one of its slots;
//   - no delay of links, connections, callers or processing;
//   - no faults other than stragglers and stuck searchers.
//
// It is greedy per query in order of arrival. Above the load at which even the
// fastest replicas have no free slot its latency grows without bound; it
// refuses nothing. Full coverage is always waited for.
//
// Beside it stand two queues that know no service time in advance. Each group
// has one queue, first come first served, over all slots of its replicas that
// are not stuck. In the plain queue a sub-request runs once, for the time drawn
// on the replica that it meets; with stragglers, hedges may do better. In the
// queue with restarts a sub-request that has run for restartAfterMedians medians is
// cancelled and runs again in the same slot: a straggler then costs little
// capacity, and no second request waits.
type oracle struct {
	replicas map[string][]*replica // by group
	groups   map[string][]settings.Group
	faults   []step
}

// replica is one target with the times at which its slots become free.
type replica struct {
	id          string
	oracleSlots slotTimes
	// The same for the queues without knowledge.
	queueSlots, restartSlots slotTimes
	rng                      *rand.Rand
	restartRNG               *rand.Rand // draws of restarts, so that the others do not depend on them
	model                    standin.ServiceModel
}

// slots are the times at which slots become free.
type slotTimes []time.Duration

// first returns the slot that is free first.
func (s slotTimes) earliest() *time.Duration { return &s[slices.Index(s, slices.Min(s))] }

// newSlotTimes returns slots that are free before the arrivals of the warm-up, which
// lie before 0.
func newSlotTimes(n int) slotTimes { return slices.Repeat(slotTimes{-warmupDuration}, n) }

// bounds are the latencies of a query under the three reference policies.
type referenceLatencies struct{ oracle, queue, restart time.Duration }

func newOracle(doc *settings.Document, model *standin.Model, steps []step, seed uint64) *oracle {
	o := &oracle{replicas: map[string][]*replica{}, groups: map[string][]settings.Group{}}
	for name, service := range doc.Services {
		o.groups[name] = service.Groups
		for _, g := range service.Groups {
			for _, t := range g.Targets {
				o.replicas[g.ID] = append(o.replicas[g.ID], &replica{
					id: t.ID, model: model.Services[name],
					oracleSlots: newSlotTimes(t.Slots), queueSlots: newSlotTimes(t.Slots), restartSlots: newSlotTimes(t.Slots),
					rng:        rand.New(rand.NewPCG(seed, keyspace.KeyOf(t.ID))),
					restartRNG: rand.New(rand.NewPCG(seed+1, keyspace.KeyOf(t.ID))),
				})
			}
		}
	}
	for _, s := range steps {
		if !s.undo && (s.event.Do == DoStraggler || s.event.Do == DoStuck) {
			o.faults = append(o.faults, s)
		}
	}
	return o
}

// query returns the latencies of a query; queries come in order of arrival.
func (o *oracle) latencies(q *query) (l referenceLatencies) {
	for _, g := range o.groups[q.service] {
		if q.kind != settings.KindSearch && !g.Range.Contains(keyspace.KeyOf(q.lookup.ID)) {
			continue
		}
		replicas := o.replicas[g.ID]
		times := make([]time.Duration, len(replicas))
		restarted := make([]time.Duration, len(replicas))
		for i, r := range replicas {
			times[i] = o.drawServiceTime(r, r.rng, q.at)
			restarted[i] = times[i]
			limit := time.Duration(restartAfterMedians * r.model.MedianMS * float64(time.Millisecond))
			if restarted[i] > limit && restarted[i] != stuckServiceTime {
				restarted[i] = limit + o.drawServiceTime(r, r.restartRNG, q.at)
			}
		}
		l.oracle = max(l.oracle, runOnFastestReplica(replicas, times, q.at))
		l.queue = max(l.queue, runInEarliestSlot(replicas, func(r *replica) slotTimes { return r.queueSlots }, times, q.at))
		l.restart = max(l.restart, runInEarliestSlot(replicas, func(r *replica) slotTimes { return r.restartSlots }, restarted, q.at))
	}
	return l
}

// enqueue runs a sub-request in the slot that is free first, whatever its
// service time there, and returns its latency. Stuck replicas are left out,
// unless all are.
func runInEarliestSlot(replicas []*replica, queue func(*replica) slotTimes, times []time.Duration, at time.Duration) time.Duration {
	var first *time.Duration
	var took time.Duration
	for i, r := range replicas {
		if slot := queue(r).earliest(); times[i] != stuckServiceTime && (first == nil || *slot < *first) {
			first, took = slot, times[i]
		}
	}
	if first == nil {
		return stuckServiceTime
	}
	*first = max(at, *first) + took
	return *first - at
}

// schedule runs a sub-request on the replica that completes it first and returns
// its latency. times holds its service time on each replica.
func runOnFastestReplica(replicas []*replica, times []time.Duration, at time.Duration) time.Duration {
	var best *time.Duration
	bestEnd := time.Duration(math.MaxInt64)
	for i, r := range replicas {
		slot := r.oracleSlots.earliest()
		if end := max(at, *slot) + times[i]; end < bestEnd {
			best, bestEnd = slot, end
		}
	}
	*best = bestEnd
	return bestEnd - at
}

// draw returns the service time of a request on a replica at a time.
func (o *oracle) drawServiceTime(r *replica, rng *rand.Rand, at time.Duration) time.Duration {
	took := r.model.MedianMS * math.Exp(r.model.Sigma*rng.NormFloat64())
	uniform := rng.Float64()
	for _, s := range o.faults {
		if at < s.at || s.until > 0 && at >= s.until || !slices.Contains(s.targets, r.id) {
			continue
		}
		if s.event.Do == DoStuck {
			return stuckServiceTime
		}
		if uniform < s.event.Ratio {
			took *= s.event.Factor
		}
	}
	return time.Duration(took * float64(time.Millisecond))
}
