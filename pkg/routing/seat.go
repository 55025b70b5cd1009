package routing

import "time"

const (
	// A host is suspected if suspectSends requests to it went out and no reply
	// of any kind came from it for suspectAfter or for suspectFactor times the
	// usual latency, whichever is longer. Heartbeats find a dead host after 3 s,
	// in which commands sent to it end as unknown.
	suspectSends  = 5
	suspectAfter  = 200 * time.Millisecond
	suspectFactor = 4
	// probeEvery is how often a suspected host is sent a request.
	probeEvery = 250 * time.Millisecond
)

// seatStats is what is known about a branch host.
type seatStats struct {
	plan      uint64 // the last plan that used it
	silent    bool   // not heard of by heartbeats
	refusedAt time.Time

	sends   int           // since its last reply
	since   time.Time     // of the first of them
	probed  time.Time     // last of them while it was suspected
	latency time.Duration // smoothed, of its answers
}

// Replied records that a host answered or refused a request.
func (r *Router) Replied(p Path) { r.stats(p).seat.sends = 0 }

func (s *seatStats) answered(took time.Duration) {
	s.sends = 0
	s.latency += time.Duration(ewmaWeight * float64(took-s.latency))
}

func (s *seatStats) overdue(now time.Time) bool {
	return s.sends >= suspectSends && now.Sub(s.since) > max(suspectAfter, suspectFactor*s.latency)
}

// suspect reports whether the host should be left now.
func (s *seatStats) suspect(now time.Time) bool {
	return s.overdue(now) && now.Sub(s.probed) < probeEvery
}

// chosen records that a request goes to the host.
func (s *seatStats) chosen(now time.Time) {
	if s.overdue(now) {
		s.probed = now
	}
	if s.sends == 0 {
		s.since = now
	}
	s.sends++
}
