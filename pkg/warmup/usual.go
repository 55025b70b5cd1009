package warmup

import (
	"slices"
	"time"
)

const (
	usualWindow = 128
	// usualStep is how many answers pass between two computations; sorting the
	// window takes some microseconds.
	usualStep = 16
)

// RollingMedian follows the usual latency of a set of targets: the median of their last
// answers. A median ignores stragglers and a minority of cold targets.
type RollingMedian struct {
	recent [usualWindow]time.Duration
	count  int
	value  time.Duration
}

// Add records the latency of an answer of a warm target.
func (u *RollingMedian) Add(took time.Duration) {
	u.recent[u.count%usualWindow] = took
	u.count++
	if u.count%usualStep != 0 {
		return
	}
	sorted := u.recent
	n := min(u.count, usualWindow)
	slices.Sort(sorted[:n])
	u.value = sorted[n/2]
}

// Value returns the median latency, 0 while too few answers are known.
func (u *RollingMedian) Value() time.Duration { return u.value }
