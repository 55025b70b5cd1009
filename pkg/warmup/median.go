package warmup

import (
	"slices"
	"time"
)

const (
	medianWindow = 128 // latencies that the median is taken of
	// medianStep is the number of latencies between two computations of the median:
	// sorting the window takes some microseconds.
	medianStep = 16
)

// RollingMedian is the median of the last latencies of a set of targets. Stragglers and
// a minority of cold targets hardly change a median. A RollingMedian is not
// safe for concurrent use.
type RollingMedian struct {
	recent [medianWindow]time.Duration
	count  int
	value  time.Duration
}

// Add records the latency of an answer. The caller adds answers of targets whose ramp is
// in state Warm. That includes cold targets that did not report cold, until their ramps
// detect it.
func (m *RollingMedian) Add(latency time.Duration) {
	m.recent[m.count%medianWindow] = latency
	m.count++
	if m.count%medianStep != 0 {
		return
	}
	sorted := m.recent
	n := min(m.count, medianWindow)
	slices.Sort(sorted[:n])
	m.value = sorted[n/2]
}

// Value returns the median latency, or 0 before 16 latencies are known.
func (m *RollingMedian) Value() time.Duration { return m.value }
