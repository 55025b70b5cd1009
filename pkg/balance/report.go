package balance

import "time"

// Stats are the statistics of one target, for reports to operators.
type Stats struct {
	// Slowness is the service time as a multiple of the expected one: 1 is as
	// expected, 2 is twice as long.
	Slowness    float64
	FailureRate float64 // moving average of the fraction of failed requests, 0 to 1
	RefusalRate float64 // moving average of the fraction of refused requests, 0 to 1
	Outstanding int     // requests whose end is not recorded
	Down        bool    // the target gets no requests because it is unreachable
}

// Stats returns the statistics of the target, decayed to now.
func (t *Target) Stats(now time.Time) Stats {
	return Stats{
		Slowness: t.currentSlowness(now), FailureRate: t.decay(now) * t.failureRate, RefusalRate: t.decay(now) * t.refusalRate,
		Outstanding: t.outstanding, Down: t.Down(now),
	}
}
