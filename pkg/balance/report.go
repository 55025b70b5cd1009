package balance

import "time"

// Stats is what is thought of a target, for operators.
type Stats struct {
	// Slowness is its service time relative to what is usual: 1 as usual, 2 twice
	// as long.
	Slowness    float64
	FailureRate float64 // recent fraction of failed requests
	RefusalRate float64 // recent fraction of refused requests
	Outstanding int     // requests without a result
	Down        bool    // it is left alone because it was not reached
}

// Stats returns what is thought of the target now.
func (t *Target) Stats(now time.Time) Stats {
	return Stats{
		Slowness: t.current(now), FailureRate: t.fade(now) * t.failures, RefusalRate: t.fade(now) * t.refusals,
		Outstanding: t.outstanding, Down: t.Down(now),
	}
}
