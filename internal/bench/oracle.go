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

// stuckServiceTime is the service time of a request that never completes.
const stuckServiceTime = time.Minute

// restartAfterMedians is the time until a restart, in medians of the service time. With
// the log-normal sigma of 0.4 only 3 in 1,000 ordinary requests take longer.
const restartAfterMedians = 3

// Quantiles are quantiles of latency in milliseconds.
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

// newHistogram returns a histogram of 1 µs to 1 minute with 3 significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// oracle computes the latencies of a clairvoyant policy, which knows every service time in
// advance. It assumes:
//
//   - the arrivals of the run, in their order, and no other queries;
//   - for each query and replica a service time drawn in advance from the model's
//     distribution, multiplied while the replica is a straggler and infinite while it
//     is stuck. The draws use the run's seed and the searchers' distribution, but not
//     the searchers' own sequence of draws;
//   - one sub-request for each group, to the replica that would complete it first,
//     including the wait for a slot;
//   - no delay by links, connections, callers or processing;
//   - no faults other than stragglers and stuck searchers.
//
// The schedule is greedy per query in order of arrival. The oracle refuses nothing and
// always waits for full coverage, so its latency grows without bound at a load at which
// even the fastest replicas have no free slot.
//
// Two queueing models without knowledge of service times are also computed. Each
// group has one first-come first-served queue for all slots of its replicas that are
// not stuck. In the plain queue a sub-request runs once, for the time drawn for the
// replica whose slot it gets; with stragglers, a policy with hedges may be faster. In
// the queue with restarts a sub-request that has run for restartAfterMedians medians is
// cancelled and runs again in the same slot, so that a straggler costs little capacity
// and no second request waits.
type oracle struct {
	replicas map[string][]*replica // by group
	groups   map[string][]settings.Group
	faults   []step
}

// replica is a target with the slot times of each reference policy.
type replica struct {
	id          string
	oracleSlots slotTimes
	// Slots of the queue and of the queue with restarts, see oracle.
	queueSlots, restartSlots slotTimes
	rng                      *rand.Rand
	restartRNG               *rand.Rand // draws of restarts, separate so that they do not change the other draws
	model                    standin.ServiceModel
}

// slotTimes holds the time at which each slot becomes free.
type slotTimes []time.Duration

// earliest returns the slot that becomes free first.
func (s slotTimes) earliest() *time.Duration { return &s[slices.Index(s, slices.Min(s))] }

// newSlotTimes returns slots that are free from the start of the warm-up, which lies
// before 0.
func newSlotTimes(n int) slotTimes { return slices.Repeat(slotTimes{-warmupDuration}, n) }

// referenceLatencies are the latencies of a query under the three reference policies.
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

// latencies returns the reference latencies of a query. It must be called in order of
// arrival.
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

// runInEarliestSlot runs a sub-request in the slot that becomes free first, whatever its
// service time there, and returns its latency. Slots of stuck replicas are not used; if
// all replicas are stuck, the latency is stuckServiceTime.
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

// runOnFastestReplica runs a sub-request on the replica that completes it first and
// returns its latency. times holds its service time on each replica.
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

// drawServiceTime draws the service time of a request on a replica at a time.
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
