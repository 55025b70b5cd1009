// Package drain decides the phases of a graceful shutdown.
//
// A host that shuts down must not interrupt requests. Callers ask any host for the
// addresses of the hosts that accept requests, and cache this address answer. So
// the host continues to accept connections until every cached answer that names
// it has expired. Only then does the host close its listener and wait for the open
// requests.
//
// The package owns the phases, their deadlines, the admission of requests in them, and the
// waits for other hosts' work and after stalls.
// The caller closes the listener, counts the open requests and ends the process. A
// Shutdown is not safe for concurrent use, but for its queries after Begin.
package drain

import "time"

// Phase is a phase of a host's shutdown.
type Phase uint8

// Phases in order.
const (
	Serving Phase = iota // named in address answers
	Leaving              // no longer named, but still accepts connections
	Closing              // accepts no connections and finishes the open requests
	Done                 // no request is open, or the grace period is over; back to Closing if a request arrives within it
)

// String returns the name used in status and logs.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "closing", "done"}[min(p, Done)]
}

// Shutdown tracks the phases of one host. The zero value is in Serving.
type Shutdown struct {
	started         bool
	began           time.Time
	addressesExpire time.Time // when the last cached address answer expires
	graceEnds       time.Time // when open requests are abandoned
}

// Begin starts the shutdown. ttl is how long callers may cache an address answer,
// and requestGrace is the further time for open requests after ttl, not the time from
// SIGTERM to SIGKILL. Further calls have no effect.
func (s *Shutdown) Begin(now time.Time, ttl, requestGrace time.Duration) {
	if s.started {
		return
	}
	s.started, s.began = true, now
	s.addressesExpire = now.Add(ttl)
	s.graceEnds = s.addressesExpire.Add(requestGrace)
}

// Phase returns the phase at a time with the given number of open requests.
func (s *Shutdown) Phase(now time.Time, open int) Phase {
	switch {
	case !s.started:
		return Serving
	case now.Before(s.addressesExpire):
		return Leaving
	case open > 0 && now.Before(s.graceEnds):
		return Closing
	default:
		return Done
	}
}

// Elapsed returns the time since Begin, 0 in Serving.
func (s *Shutdown) Elapsed(now time.Time) time.Duration {
	if !s.started {
		return 0
	}
	return now.Sub(s.began)
}

// Remaining returns the longest time that the phase can still last: in Leaving
// until the last cached answer expires, in Closing and Done until the end of the
// grace period. It is 0 in Serving and after the grace period. A host whose
// requests ended early is Done with time remaining: a request may still arrive while
// the listener closes, and the phase is then Closing again.
func (s *Shutdown) Remaining(now time.Time, open int) time.Duration {
	switch s.Phase(now, open) {
	case Serving:
		return 0
	case Leaving:
		return s.addressesExpire.Sub(now)
	default:
		return max(0, s.graceEnds.Sub(now))
	}
}
