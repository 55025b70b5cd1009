package routing

import (
	"slices"
	"time"
)

const (
	// closedFor is how long a path is left after its owner refused the target
	// as unavailable or draining. Each host asks a closed path about twice a
	// second; the refusal costs one message and the next replica is asked.
	closedFor = 500 * time.Millisecond
	// A cold target is left for coldEach for every host of the fleet, so that
	// all hosts together send it some 4 requests a second, which is less than
	// it bears. Its first owner also sends it those of its own callers.
	coldEach    = 250 * time.Millisecond
	maxColdHold = 5 * time.Second
)

// SetHostCount tells how many hosts the fleet has.
func (r *Router) SetHostCount(n int) { r.hosts = n }

// SetFreeSlotFunc sets the function that reports whether this host, as an owner of a
// target, has a free slot there. It is called during a plan.
func (r *Router) SetFreeSlotFunc(room func(target string) bool) { r.room = room }

// Refused records that an owner takes no work for the target now: it is not
// reached, has no share, or the target is cold, draining or down. The path is
// used again after a while, or if the group has no other.
func (r *Router) Refused(now time.Time, p Path) {
	s := r.stats(p)
	s.end()
	s.closedUntil = now.Add(closedFor)
	s.seat.refusedAt = now
	if s.first {
		s.target.cold = false // the other owner may have taken over
	}
}

// ObserveCold records that the answer of a target said that it is cold, or that it is
// no longer.
func (r *Router) ObserveCold(now time.Time, p Path, cold bool) {
	s := r.stats(p)
	s.closedUntil = time.Time{}
	s.target.cold = cold
	s.target.coldUntil = time.Time{}
	if cold {
		r.holdCold(now, s.target)
	}
}

func (r *Router) holdCold(now time.Time, t *targetStats) {
	hold := min(max(closedFor, time.Duration(r.hosts)*coldEach), maxColdHold)
	// Hosts that learn of a cold place together must not ask together again.
	t.coldUntil = now.Add(hold/2 + time.Duration(r.rng.Float64()*float64(hold)))
}

// SetUnavailable tells whether a host has not been heard of lately. Its paths are
// used if a group has no other.
func (r *Router) SetUnavailable(place string, ordinal int, silent bool) {
	if s, ok := r.seats[seat{place, ordinal}]; ok {
		s.silent = silent
	}
}

// closed reports whether a path should be left now. The second owner of a cold
// target refuses it, whatever the time. A retry also leaves the paths whose
// time is over, because two refusals in a row may end a request.
func (r *Router) closed(now time.Time, s *pathStats, retry bool) bool {
	if s.seat.silent || s.seat.suspect(now) {
		return true
	}
	// The cause of a refusal may be the host: it may not use its shares yet.
	refuses := retry && now.Sub(s.seat.refusedAt) < closedFor ||
		!s.closedUntil.IsZero() && (retry || now.Before(s.closedUntil))
	cold := s.target.cold && (retry || !s.first || now.Before(s.target.coldUntil))
	if !refuses && !cold {
		return false
	}
	return s.at != r.self || r.room == nil || !r.room(s.path.Target)
}

// chosen leaves a path that was closed to one request until its answer.
func (r *Router) chosen(now time.Time, s *pathStats) {
	s.seat.chosen(now)
	if !s.closedUntil.IsZero() {
		s.closedUntil = now.Add(closedFor)
	}
	if s.target.cold {
		r.holdCold(now, s.target)
	}
}

// Available reports whether a target may be asked now through any of its owners. With
// retry, one that refused lately and has not answered since may not.
func (r *Router) Available(now time.Time, o Candidate, retry bool) bool {
	return slices.ContainsFunc(o.paths, func(s *pathStats) bool { return !r.closed(now, s, retry) })
}
