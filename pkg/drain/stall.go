package drain

import "time"

const (
	// StallThreshold is how late a timer of a process may be that is neither paused nor starved.
	StallThreshold = 50 * time.Millisecond
	// stallCatchUp is the time in which a host reads what has arrived in a stall.
	stallCatchUp = 100 * time.Millisecond
)

// Stalls notices that the process of a host was paused, or starved of the processor. Connections
// that are closed right after a stall would lose the requests that arrived in it. The zero value
// has seen none.
type Stalls struct{ ended time.Time }

// Woke records that a timer that was due at a time has fired now.
func (s *Stalls) Woke(due, now time.Time) {
	if now.Sub(due) > StallThreshold {
		s.ended = now
	}
}

// CatchUp returns how long to wait before connections are closed.
func (s *Stalls) CatchUp(now time.Time) time.Duration {
	if s.ended.IsZero() {
		return 0
	}
	return max(0, stallCatchUp-now.Sub(s.ended))
}
