package notice

import (
	"math/rand/v2"
	"time"
)

// Kind is a kind of notice, as it appears in logs and metrics.
type Kind string

// The kinds of notices.
const (
	Limit Kind = "limit" // the requests a second that the target takes from all hosts together
)

// Kinds has all kinds of notices.
var Kinds = []Kind{Limit}

// Said is what one answer of a target says about the target itself.
type Said struct {
	// Limit is the number of requests a second that the target takes from all hosts
	// together; it counts only if Limited is set.
	Limit   float64
	Limited bool
}

// Change is the start, change or end of a notice.
type Change struct {
	Kind          Kind
	Value, Before float64 // 0 if there is, or was, no notice
}

// Target is what one process of a target has said about itself. The zero value has said
// nothing.
type Target struct {
	limit   float64
	limitAt time.Time // arrival of the last answer that named the limit
	pacer   pacer
}

// Observe records what an answer says to a request that was sent at the given time, and
// returns the changes. position is this host's position for the target.
func (t *Target) Observe(now, sent time.Time, said Said, position func() Position, rng *rand.Rand) []Change {
	limit := 0.0
	if said.Limited {
		limit = max(said.Limit, leastLimit)
	}
	// An answer without a limit ends the notice, unless it may be older than the answer
	// that named it.
	if limit == 0 && (t.limit == 0 || !sent.After(t.limitAt)) {
		return nil
	}
	before := t.limit
	t.limit, t.limitAt = limit, now
	switch {
	case limit == before:
		return nil
	case limit == 0:
		t.pacer = pacer{}
	case before == 0:
		t.pacer.start(now, HostRate(limit, position()), rng)
	default:
		t.pacer.setRate(now, HostRate(limit, position()))
	}
	return []Change{{Kind: Limit, Value: limit, Before: before}}
}

// SetPosition changes this host's position for the target.
func (t *Target) SetPosition(now time.Time, p Position) {
	if t.limit > 0 {
		t.pacer.setRate(now, HostRate(t.limit, p))
	}
}

// Limit returns the limit that the target names, in requests a second, 0 if none.
func (t *Target) Limit() float64 { return t.limit }

// HostRate returns the requests a second that this host may send, 0 if there is no limit.
func (t *Target) HostRate() float64 { return t.pacer.rate }

// Wait returns how long the target wants no request of this host, 0 if it takes one now.
func (t *Target) Wait(now time.Time, rng *rand.Rand) time.Duration {
	return t.pacer.wait(now, rng)
}

// Takes reports whether the target takes a request of this host now.
func (t *Target) Takes(now time.Time) bool { return !now.Before(t.pacer.next) }

// Sent records a request to the target.
func (t *Target) Sent(now time.Time) { t.pacer.sent(now) }
