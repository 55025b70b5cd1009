package drain

import "time"

// Request describes a request that a host read during its shutdown.
type Request struct {
	Limit      time.Duration // until the time limit of the caller or the route, the earlier one
	Objective  time.Duration // within which an answer is of full use to the caller
	Repeatable bool          // it may run more than once
}

// Admits reports whether a request that is read at now should still be forwarded. A host
// that forwards a request which outlasts the grace period leaves its caller without the
// answer, and the caller must not send it again if it may run only once. Other hosts can
// take what is refused.
//
// A request that may run once is admitted only if its whole time limit is left. One that
// may be repeated is admitted while an answer within its objective is possible: most end
// much sooner than their limit, and the caller of one that does not can repeat it.
func (s *Shutdown) Admits(now time.Time, r Request) bool {
	if !s.started {
		return true
	}
	needed := r.Limit
	if r.Repeatable {
		needed = min(r.Limit, r.Objective)
	}
	return needed <= s.graceEnds.Sub(now) && now.Before(s.graceEnds)
}
