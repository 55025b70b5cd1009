package hedge

import (
	"math/bits"
	"time"
)

const (
	// The histogram has eight buckets per octave (at most 12.5 % wide) from 64 µs
	// to 17 s. With two bytes per bucket it takes 288 bytes per group, 0.4 MB for
	// 1,300 groups; a windowed HDR histogram of one significant digit takes about
	// 7 KB per group.
	bucketsPerOctave = 8
	minShift         = 6 // values below 64 µs share the first bucket
	octaves          = 18
	bucketCount      = octaves * bucketsPerOctave

	// decaySamples is the number of samples at which all counts are halved, so
	// that mostly the last few hundred samples count. With 1000, the slow first
	// requests of a host that had just started determined its delay for its first
	// 100 queries.
	decaySamples = 400
	// minSamples is the number of samples of a group below which the quantile of
	// the whole service is used instead of its own.
	minSamples = 30
	// refreshSamples is the number of samples after which a cached quantile is
	// recomputed.
	refreshSamples = 16
	// defaultDelay is used while the service has fewer than minSamples samples.
	// The first requests open their connections; a shorter delay would spend the
	// initial tokens on hedges of them.
	defaultDelay = 50 * time.Millisecond
)

// Rule sets when to hedge.
type Rule struct {
	Quantile float64       // of the group's latency, 0 to 1, at a full budget
	MinDelay time.Duration // lower bound of the delay
}

// Latencies holds the latency distribution of each group of a service. It is not
// safe for concurrent use.
type Latencies struct {
	service histogram
	groups  map[string]*histogram
}

// NewLatencies returns a Latencies without samples.
func NewLatencies() *Latencies { return &Latencies{groups: map[string]*histogram{}} }

// Observe records the time from sending an attempt to its answer. For a canceled
// attempt, took is the time waited, a lower bound of the latency: without these
// samples the distribution would lack the tail that hedges cut off.
func (l *Latencies) Observe(group string, took time.Duration) {
	h, ok := l.groups[group]
	if !ok {
		h = &histogram{}
		l.groups[group] = h
	}
	h.add(took)
	l.service.add(took)
}

// Delay returns how long to wait for the first attempt before a hedge. balance,
// 0 to 1, is that of Budget.Balance: the quantile rises as the budget empties, so
// that the remaining tokens go to the slowest sub-requests.
func (l *Latencies) Delay(group string, rule Rule, balance float64) time.Duration {
	quantile := 1 - (1-rule.Quantile)*max(minHedgeFraction, balance)
	h, ok := l.groups[group]
	if !ok || h.total < minSamples {
		h = &l.service
	}
	if h.total < minSamples {
		return max(defaultDelay, rule.MinDelay)
	}
	delay := min(h.quantile(quantile), time.Duration(maxDelayMedians/max(minHedgeFraction, balance)*float64(h.median)))
	return max(delay, rule.MinDelay)
}

// maxDelayMedians is the upper bound of the delay at a full budget, in medians.
// About 4 of 100 answers take longer if latencies are log-normal with sigma 0.4.
// While many attempts are slow, the quantile alone is the latency of the
// stragglers themselves, and a hedge would wait as long as they do.
const maxDelayMedians = 2.0

// minHedgeFraction is the fraction of sub-requests to hedge with an empty budget,
// relative to that with a full one: the quantile 0.95 becomes 0.975. At 0.1
// (0.995) the delay of a service with 1 % stragglers was the latency of the
// stragglers themselves, and its p99 stayed at the deadline.
const minHedgeFraction = 0.5

// Usual returns a quantile, 0 to 1, of the latencies of all groups, or 0 if there are too few
// samples to tell.
func (l *Latencies) Usual(quantile float64) time.Duration {
	if l.service.total < minSamples {
		return 0
	}
	return l.service.valueAt(quantile)
}

// Groups returns the number of groups with samples.
func (l *Latencies) Groups() int { return len(l.groups) }

// Keep drops every group for which keep returns false.
func (l *Latencies) Keep(keep func(group string) bool) {
	for id := range l.groups {
		if !keep(id) {
			delete(l.groups, id)
		}
	}
}

// histogram counts samples in logarithmic buckets. The weight of old samples
// decays.
type histogram struct {
	counts [bucketCount]uint16
	total  int
	// The last quantile computed and the median, valid until refreshSamples new
	// samples arrived.
	cachedQuantile float64
	cachedValue    time.Duration
	median         time.Duration
	newSamples     int
}

func (h *histogram) add(took time.Duration) {
	h.counts[bucketOf(took)]++
	h.total++
	h.newSamples++
	if h.total >= decaySamples {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += int(h.counts[i])
		}
	}
}

// quantile returns a quantile, 0 to 1. When it recomputes the quantile, it also
// recomputes the median.
func (h *histogram) quantile(q float64) time.Duration {
	// The cached value is used for quantiles within a tenth of the tail, so that
	// small changes of the balance do not cause a recomputation.
	if h.newSamples < refreshSamples && h.cachedValue > 0 && q-h.cachedQuantile < (1-q)/10 && h.cachedQuantile-q < (1-q)/10 {
		return h.cachedValue
	}
	h.cachedQuantile, h.cachedValue, h.newSamples = q, h.valueAt(q), 0
	h.median = h.valueAt(0.5)
	return h.cachedValue
}

// valueAt returns the upper bound of the bucket that contains a quantile.
func (h *histogram) valueAt(q float64) time.Duration {
	above := int((1 - q) * float64(h.total))
	bucket := bucketCount - 1
	for seen := 0; bucket > 0; bucket-- {
		if seen += int(h.counts[bucket]); seen > above {
			break
		}
	}
	return upperBound(bucket)
}

func bucketOf(took time.Duration) int {
	us := uint64(max(took.Microseconds(), 0))
	if us < 1<<minShift {
		return 0
	}
	octave := bits.Len64(us) - 1
	within := int(us>>(octave-3)) & (bucketsPerOctave - 1)
	return min((octave-minShift)*bucketsPerOctave+within, bucketCount-1)
}

func upperBound(bucket int) time.Duration {
	octave := bucket/bucketsPerOctave + minShift
	us := (uint64(bucketsPerOctave+bucket%bucketsPerOctave+1) << octave) / bucketsPerOctave
	return time.Duration(us) * time.Microsecond
}
