// Package drain decides the phases of a graceful shutdown.
//
// A host that stops must cut no request. Callers keep the addresses that they
// were given for a time, so a host goes on accepting connections until every
// answer that named it has run out, and only then closes its listener and
// waits for what is open.
//
// A Shutdown is not safe for concurrent use.
package drain

import "time"

// Phase is a phase of a host's life.
type Phase uint8

// Phases in order.
const (
	Serving Phase = iota // in the entries answers
	Leaving              // no longer named, still accepts connections
	Closing              // accepts nothing, finishes what is open
	Done                 // nothing is open, or the grace period is over
)

// String returns the name used in status and logs.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "closing", "done"}[min(p, Done)]
}

// Shutdown tracks the phases of one host.
type Shutdown struct {
	begun   bool
	keptFor time.Time // when the last kept entries answer runs out
	grace   time.Time // when open requests are given up
}

// Begin starts the shutdown. ttl is how long callers may keep an entries
// answer, grace how long open requests may take after that. A second call
// changes nothing.
func (s *Shutdown) Begin(now time.Time, ttl, grace time.Duration) {
	if s.begun {
		return
	}
	s.begun = true
	s.keptFor = now.Add(ttl)
	s.grace = s.keptFor.Add(grace)
}

// Phase returns the phase for the number of open requests.
func (s *Shutdown) Phase(now time.Time, open int) Phase {
	switch {
	case !s.begun:
		return Serving
	case now.Before(s.keptFor):
		return Leaving
	case open > 0 && now.Before(s.grace):
		return Closing
	default:
		return Done
	}
}

// Remaining returns the time until the phase must have passed: in Leaving until the
// last kept answer runs out, after that until open requests are given up. It is
// 0 in Serving and when the grace period is over. A host whose requests ended
// early is Done and still has time left, because one may come in while the
// listener closes.
func (s *Shutdown) Remaining(now time.Time, open int) time.Duration {
	switch s.Phase(now, open) {
	case Serving:
		return 0
	case Leaving:
		return s.keptFor.Sub(now)
	default:
		return max(0, s.grace.Sub(now))
	}
}
