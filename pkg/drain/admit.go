package drain

import "time"

// Request describes a request that a host read during its shutdown.
type Request struct {
	Limit      time.Duration // until the time limit of the caller or the route, the earlier one
	Objective  time.Duration // within which an answer is of full use to the caller
	Usual      time.Duration // within which nearly all requests like it ended lately, 0 if that is not known
	Repeatable bool          // it may run more than once
}

// usualMargin is the time left, in Usual, with which a request that may run once is admitted:
// the queues of targets grow when the callers of several hosts move.
const usualMargin = 2

// Admits reports whether a request that is read at now should still be forwarded. A host
// that forwards a request which outlasts the grace period leaves its caller without the
// answer, and the caller must not send it again if it may run only once. Other hosts can
// take what is refused, unless they stop as well.
//
// A request that may run once is admitted if its whole time limit is left, or if requests
// like it usually end well within the time that is. One that may be repeated is admitted
// while an answer within its objective is possible: most end much sooner than their limit,
// and the caller of one that does not can repeat it.
func (s *Shutdown) Admits(now time.Time, r Request) bool {
	if !s.started {
		return true
	}
	return r.needed() <= s.graceEnds.Sub(now) && now.Before(s.graceEnds)
}

// needed returns the time that must be left for the request.
func (r *Request) needed() time.Duration {
	switch {
	case r.Repeatable:
		return min(r.Limit, r.Objective)
	case r.Usual > 0:
		return min(r.Limit, usualMargin*r.Usual)
	default:
		return r.Limit
	}
}
