package balance

import "time"

// Judgement is what is thought of a target, for operators.
type Judgement struct {
	// Slowness is its service time relative to what is usual: 1 as usual, 2 twice
	// as long.
	Slowness    float64
	Failures    float64 // recent fraction of failed requests
	Refusals    float64 // recent fraction of refused requests
	Outstanding int     // requests without a result
	Down        bool    // it is left alone because it was not reached
}

// Judgement returns what is thought of the target now.
func (t *Target) Judgement(now time.Time) Judgement {
	return Judgement{
		Slowness: t.current(now), Failures: t.fade(now) * t.failures, Refusals: t.fade(now) * t.refusals,
		Outstanding: t.outstanding, Down: t.Down(now),
	}
}
