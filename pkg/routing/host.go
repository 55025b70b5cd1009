package routing

import "time"

const (
	// A host is suspected if at least suspectSends requests to it are unanswered
	// and it sent no reply of any kind for the longer of suspectAfter and
	// suspectFactor times its smoothed latency. Heartbeats detect a dead host
	// only after 3 s, in which requests sent to it end as unknown.
	suspectSends  = 5
	suspectAfter  = 200 * time.Millisecond
	suspectFactor = 4
	// probeInterval is the time between requests to a suspected host.
	probeInterval = 250 * time.Millisecond
)

// hostStats holds the observations of a branch host.
type hostStats struct {
	lastPlan    uint64 // number of the last plan that used the host
	unavailable bool   // set by SetUnavailable
	refusedAt   time.Time

	unanswered      int           // requests sent since its last reply
	unansweredSince time.Time     // time of the first of them
	probedAt        time.Time     // time of the last request while suspected
	latency         time.Duration // moving average over its answers
}

// Replied records that the path's host answered or refused a request.
func (r *Router) Replied(p Path) { r.stats(p).host.unanswered = 0 }

func (s *hostStats) answered(took time.Duration) {
	s.unanswered = 0
	s.latency += time.Duration(ewmaWeight * float64(took-s.latency))
}

func (s *hostStats) suspected(now time.Time) bool {
	return s.unanswered >= suspectSends && now.Sub(s.unansweredSince) > max(suspectAfter, suspectFactor*s.latency)
}

// awaitsProbe reports whether the host is suspected and was sent a request less
// than probeInterval ago, so that its next probe is not due yet.
func (s *hostStats) awaitsProbe(now time.Time) bool {
	return s.suspected(now) && now.Sub(s.probedAt) < probeInterval
}

// recordSend records that a request is about to go to the host.
func (s *hostStats) recordSend(now time.Time) {
	if s.suspected(now) {
		s.probedAt = now
	}
	if s.unanswered == 0 {
		s.unansweredSince = now
	}
	s.unanswered++
}
