package routing

import (
	"slices"
	"time"
)

const (
	// refusalBackoff is how long a path is avoided after a refusal that Refused
	// records. Each host thus asks such a path about twice a second; a refusal costs
	// one message, then the next replica is asked.
	refusalBackoff = 500 * time.Millisecond
	// A host avoids a cold target for coldIntervalPerHost times the number of
	// hosts in the fleet, at most maxColdBackoff. All hosts together then send
	// it some 4 requests a second, which is less than it can serve. Its first
	// owner additionally sends it requests of its own callers.
	coldIntervalPerHost = 250 * time.Millisecond
	maxColdBackoff      = 5 * time.Second
)

// SetHostCount sets the number of hosts in the fleet, which share the small capacity
// of a cold target.
func (r *Router) SetHostCount(n int) { r.hostCount = n }

// SetFreeSlotFunc sets the function that reports whether this host, as an owner
// of a target, has a free slot there. The router calls the function while it
// chooses paths.
func (r *Router) SetFreeSlotFunc(hasFreeSlot func(target string) bool) { r.hasFreeSlot = hasFreeSlot }

// Refused records that an owner takes no work for the target now: the owner is
// unreachable or has no share of the slots, or the target is cold, draining or
// down. The path is avoided for refusalBackoff unless the group has no other.
func (r *Router) Refused(now time.Time, p Path) {
	s := r.stats(p)
	s.finish()
	s.backoffUntil = now.Add(refusalBackoff)
	s.host.refusedAt = now
	if s.firstOwner {
		s.target.cold = false // the second owner may have taken over
	}
}

// ObserveCold records whether the target reported itself cold in an answer. The
// answer ends the backoff of the path.
func (r *Router) ObserveCold(now time.Time, p Path, cold bool) {
	s := r.stats(p)
	s.backoffUntil = time.Time{}
	s.target.cold = cold
	s.target.coldBackoffUntil = time.Time{}
	if cold {
		r.backOffCold(now, s.target)
	}
}

func (r *Router) backOffCold(now time.Time, t *targetStats) {
	backoff := min(max(refusalBackoff, time.Duration(r.hostCount)*coldIntervalPerHost), maxColdBackoff)
	// Jitter of half to one and a half times the backoff keeps hosts that learn
	// of a cold target at the same time from asking again at the same time.
	t.coldBackoffUntil = now.Add(backoff/2 + time.Duration(r.rng.Float64()*float64(backoff)))
}

// SetUnavailable records whether a host is unreachable or may not use its shares
// yet. The paths through such a host are used only if a group has no other.
func (r *Router) SetUnavailable(place string, ordinal int, unavailable bool) {
	if s, ok := r.hosts[hostKey{place, ordinal}]; ok {
		s.unavailable = unavailable
	}
}

// avoided reports whether a path is used only if the group has no other: its host
// is unavailable or awaits a probe, the path is in backoff, or the target is cold.
// The second owner of a cold target refuses requests for it regardless of the
// backoff. A retry also avoids paths whose backoff has passed without an answer
// since, because two refusals in a row may end a request. While this host has a
// free slot on the target, neither a backoff nor a cold target excludes its own path.
func (r *Router) avoided(now time.Time, s *pathStats, retry bool) bool {
	if s.host.unavailable || s.host.awaitsProbe(now) {
		return true
	}
	// A retry avoids all paths through a host that refused lately: the refusal
	// may concern the whole host, which may not use its shares yet.
	inBackoff := retry && now.Sub(s.host.refusedAt) < refusalBackoff ||
		!s.backoffUntil.IsZero() && (retry || now.Before(s.backoffUntil))
	cold := s.target.cold && (retry || !s.firstOwner || now.Before(s.target.coldBackoffUntil))
	if !inBackoff && !cold {
		return false
	}
	return s.hostKey != r.self || r.hasFreeSlot == nil || !r.hasFreeSlot(s.path.Target)
}

// recordChoice records that a request is about to use the path. A path or cold
// target that is probed after its backoff enters another one, so that it
// receives about one request per backoff until an answer arrives. The exception is
// a path through this host, which gets further requests while a slot is free.
func (r *Router) recordChoice(now time.Time, s *pathStats) {
	s.host.recordSend(now)
	if !s.backoffUntil.IsZero() {
		s.backoffUntil = now.Add(refusalBackoff)
	}
	if s.target.cold {
		r.backOffCold(now, s.target)
	}
}

// Available reports whether a target has a path through one of its owners that
// need not be avoided now. For a retry, paths that refused and have not answered
// since do not count. The candidate's group must have been prepared.
func (r *Router) Available(now time.Time, c Candidate, retry bool) bool {
	return slices.ContainsFunc(c.paths, func(s *pathStats) bool { return !r.avoided(now, s, retry) })
}
