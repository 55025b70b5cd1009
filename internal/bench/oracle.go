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

// stuckTime stands for a service time that never ends.
const stuckTime = time.Minute

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
type oracle struct {
	replicas map[string][]*replica // by group
	groups   map[string][]settings.Group
	faults   []step
}

// replica is one target with the times at which its slots become free.
type replica struct {
	id    string
	free  []time.Duration
	rng   *rand.Rand
	model standin.ServiceModel
}

func newOracle(doc *settings.Document, model *standin.Model, steps []step, seed uint64) *oracle {
	o := &oracle{replicas: map[string][]*replica{}, groups: map[string][]settings.Group{}}
	for name, service := range doc.Services {
		o.groups[name] = service.Groups
		for _, g := range service.Groups {
			for _, t := range g.Targets {
				o.replicas[g.ID] = append(o.replicas[g.ID], &replica{
					// Arrivals of the warm-up lie before 0, so the slots must be free before it.
					id: t.ID, free: slices.Repeat([]time.Duration{-warmupTime}, t.Slots), model: model.Services[name],
					rng: rand.New(rand.NewPCG(seed, keyspace.KeyOf(t.ID))),
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

// query returns the latency of a query; queries come in order of arrival.
func (o *oracle) query(q *query) time.Duration {
	var slowest time.Duration
	for _, g := range o.groups[q.service] {
		if q.kind != settings.KindSearch && !g.Range.Contains(keyspace.KeyOf(q.lookup.ID)) {
			continue
		}
		replicas := o.replicas[g.ID]
		times := make([]time.Duration, len(replicas))
		for i, r := range replicas {
			times[i] = o.draw(r, q.at)
		}
		slowest = max(slowest, place(replicas, times, q.at))
	}
	return slowest
}

// place runs a sub-request on the replica that completes it first and returns
// its latency. times holds its service time on each replica.
func place(replicas []*replica, times []time.Duration, at time.Duration) time.Duration {
	var best *time.Duration
	bestEnd := time.Duration(math.MaxInt64)
	for i, r := range replicas {
		slot := slices.Index(r.free, slices.Min(r.free))
		if end := max(at, r.free[slot]) + times[i]; end < bestEnd {
			best, bestEnd = &r.free[slot], end
		}
	}
	*best = bestEnd
	return bestEnd - at
}

// draw returns the service time of a request on a replica at a time.
func (o *oracle) draw(r *replica, at time.Duration) time.Duration {
	took := r.model.MedianMS * math.Exp(r.model.Sigma*r.rng.NormFloat64())
	luck := r.rng.Float64()
	for _, s := range o.faults {
		if at < s.at || s.until > 0 && at >= s.until || !slices.Contains(s.targets, r.id) {
			continue
		}
		if s.event.Do == DoStuck {
			return stuckTime
		}
		if luck < s.event.Ratio {
			took *= s.event.Factor
		}
	}
	return time.Duration(took * float64(time.Millisecond))
}
