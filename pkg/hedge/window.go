package hedge

import "time"

// windowBuckets is the number of buckets into which the window is divided.
const windowBuckets = 20

// countedFraction is the fraction of a host's first sends that earn extra sends.
// The rest are probes of single hosts that test which configuration is in force. The
// users' platform may not count these as first sends in its limit of extra sends; the
// factor assumes that at most one send in twenty is a probe (docs/platform.md).
const countedFraction = 0.95

// WindowBudget limits the extra sends to one service in every sliding window of
// time to a ratio of this host's first sends plus this host's fixed part of a
// slack that all hosts share. Hosts need not communicate: each counts its own
// sends, and the parts of the slack add up to at most the whole.
//
// The limit keeps retries from amplifying an outage of the service. WindowBudget
// is not safe for concurrent use.
type WindowBudget struct {
	bucketLength time.Duration
	origin       time.Time
	lastBucket   int64
	firstSends   [windowBuckets + 1]float64
	extraSends   [windowBuckets + 1]float64
}

// NewWindowBudget returns a budget over windows of the given length.
func NewWindowBudget(length time.Duration) *WindowBudget {
	return &WindowBudget{bucketLength: length / windowBuckets}
}

// advance clears the buckets that left the window and returns the index of the
// current one.
func (w *WindowBudget) advance(now time.Time) int {
	if w.origin.IsZero() {
		w.origin = now
	}
	current := int64(now.Sub(w.origin) / w.bucketLength)
	for w.lastBucket < current {
		w.lastBucket = max(w.lastBucket+1, current-windowBuckets)
		w.firstSends[w.lastBucket%(windowBuckets+1)] = 0
		w.extraSends[w.lastBucket%(windowBuckets+1)] = 0
	}
	return int(w.lastBucket % (windowBuckets + 1))
}

// FirstSend records the first send of a request.
func (w *WindowBudget) FirstSend(now time.Time) { w.firstSends[w.advance(now)]++ }

// Left returns the number of extra sends allowed now, which may be negative. ratio
// is the number of extra sends allowed per first send and slack the number that
// this host may send beyond them. The buckets reach up to one bucket beyond the
// window: the first sends of the oldest bucket are not counted, its extra sends
// are.
func (w *WindowBudget) Left(now time.Time, ratio, slack float64) float64 {
	oldest := (w.advance(now) + 1) % len(w.firstSends)
	allowed := slack
	for i := range w.firstSends {
		allowed -= w.extraSends[i]
		if i != oldest {
			allowed += countedFraction * ratio * w.firstSends[i]
		}
	}
	return allowed
}

// TryExtra records an extra send if at least one is allowed now besides reserve,
// and reports whether it did. reserve is the number of extra sends to leave for more
// useful ones: hedges leave some for retries. ratio and slack are those of Left.
func (w *WindowBudget) TryExtra(now time.Time, ratio, slack, reserve float64) bool {
	if w.Left(now, ratio, slack)-reserve < 1 {
		return false
	}
	w.extraSends[w.advance(now)]++
	return true
}
