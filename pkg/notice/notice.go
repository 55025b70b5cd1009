package notice

import (
	"math/rand/v2"
	"time"
)

// Kind is a kind of notice, as it appears in logs and metrics.
type Kind string

// The kinds of notices.
const (
	Limit   Kind = "limit"   // the requests a second that the target takes from all hosts together
	Leaving Kind = "leaving" // the target is about to end
	// RetryAfter is the time in seconds for which the target wants no request of this host.
	RetryAfter Kind = "retry_after"
	Cold       Kind = "cold" // the time in seconds for which the target is still warming up
)

// Kinds has all kinds of notices.
var Kinds = []Kind{Limit, Leaving, RetryAfter, Cold}

// Said is what one answer of a target says about the target itself.
type Said struct {
	// Limit is the number of requests a second that the target takes from all hosts
	// together; it counts only if Limited is set.
	Limit   float64
	Limited bool
	// Leaving is set if the target is about to end.
	Leaving bool
	// RetryAfter is how long the target wants no request of this host, 0 if it did not say so.
	RetryAfter time.Duration
	// Cold is how long the target is still warming up, 0 if it did not say so.
	Cold time.Duration
	// Malformed is set if the answer has a notice with a value that makes no sense. Such a
	// notice counts as not given.
	Malformed bool
}

// Change is the start, change or end of a notice.
type Change struct {
	Kind          Kind
	Value, Before float64 // 0 if there is, or was, no notice
}

// Target is what one process of a target has said about itself. The zero value has said
// nothing.
type Target struct {
	limit     float64
	limitAt   time.Time // arrival of the last answer that named the limit
	pacer     pacer
	leavingAt time.Time // arrival of the first answer with the notice; zero if there is none
	backoff   backoff
	coldUntil time.Time

	answeredAt time.Time // arrival of the last answer
	heard      hearsay
}

// Preference orders targets that may get a request: one with a higher value is chosen only if
// none with a lower one is usable.
type Preference uint8

// The preferences.
const (
	Preferred Preference = iota
	// Leaves is the preference of a target that is about to end.
	Leaves
	// MayTurnAway is the preference of a target that turned another host away for a time.
	MayTurnAway
)

// Decision is what this host may send to a target now.
type Decision struct {
	// Allowed is set if a request may be sent.
	Allowed    bool
	Preference Preference
	// Wait is how long until a request may be sent; 0 if it may be now or never may.
	Wait time.Duration
}

// leavingReserve is how long before the end of the time for which a target that leaves may get
// requests this host sends it no more, for those that are on the way. Until then it gets those
// that no other target takes.
const leavingReserve = 300 * time.Millisecond

// Observe records what an answer says to a request that was sent at the given time, and
// returns the changes. position is this host's position for the target.
func (t *Target) Observe(now, sent time.Time, said Said, position func() Position, rng *rand.Rand) []Change {
	var changes []Change
	t.replaceHearsay(now, sent, said)
	if said.Leaving && t.leavingAt.IsZero() {
		// It holds until the process ends: a target that leaves does not come back.
		t.leavingAt = now
		changes = append(changes, Change{Kind: Leaving, Value: 1})
	}
	if said.Cold > 0 {
		if !now.Before(t.coldUntil) {
			changes = append(changes, Change{Kind: Cold, Value: said.Cold.Seconds()})
		}
		t.coldUntil = now.Add(said.Cold)
	}
	before := t.backoff.asked
	if t.backoff.observe(now, sent, said.RetryAfter, rng) {
		changes = append(changes, Change{Kind: RetryAfter, Value: t.backoff.asked.Seconds(), Before: before.Seconds()})
	}
	if before := t.limit; t.observeLimit(now, sent, said, position, rng) {
		changes = append(changes, Change{Kind: Limit, Value: t.limit, Before: before})
	}
	return changes
}

// observeLimit records the limit that an answer names, or that it names none, and reports
// whether the limit changed.
func (t *Target) observeLimit(now, sent time.Time, said Said, position func() Position, rng *rand.Rand) bool {
	limit := 0.0
	if said.Limited {
		limit = max(said.Limit, leastLimit)
	}
	// An answer without a limit ends the notice, unless it may be older than the answer
	// that named it.
	if limit == 0 && (t.limit == 0 || !sent.After(t.limitAt)) {
		return false
	}
	before, paced := t.limit, max(t.limit, t.heard.limit)
	t.limit, t.limitAt = limit, now
	t.heard.limit = 0
	t.pace(now, paced, limit, position, rng)
	return limit != before
}

// pace adapts the pace of requests to a limit that was another one before; 0 is none.
func (t *Target) pace(now time.Time, before, limit float64, position func() Position, rng *rand.Rand) {
	switch {
	case limit == before:
	case limit == 0:
		t.pacer = pacer{}
	case before == 0:
		t.pacer.start(now, HostRate(limit, position()), rng)
	default:
		t.pacer.setRate(now, HostRate(limit, position()))
	}
}

// Paced reports whether requests to the target are spaced because of a limit that it named to
// this host or to another one.
func (t *Target) Paced() bool { return t.limit > 0 || t.heard.limit > 0 }

// SetPosition changes this host's position for the target.
func (t *Target) SetPosition(now time.Time, p Position) {
	if t.Paced() {
		t.pacer.setRate(now, HostRate(max(t.limit, t.heard.limit), p))
	}
}

// Limit returns the limit that the target names to this host, in requests a second, 0 if none.
func (t *Target) Limit() float64 { return t.limit }

// HostRate returns the requests a second that this host may send, 0 if there is no limit.
func (t *Target) HostRate() float64 { return t.pacer.rate }

// IsLeaving reports whether the target said that it is about to end.
func (t *Target) IsLeaving() bool { return !t.leavingAt.IsZero() }

// InForce returns the kinds of the notices in force.
func (t *Target) InForce(now time.Time) []Kind {
	var kinds []Kind
	if t.limit > 0 {
		kinds = append(kinds, Limit)
	}
	if t.IsLeaving() {
		kinds = append(kinds, Leaving)
	}
	if t.backoff.inForce {
		kinds = append(kinds, RetryAfter)
	}
	if now.Before(t.coldUntil) {
		kinds = append(kinds, Cold)
	}
	return kinds
}

// ColdUntil returns the end of the warm-up that the target stated, the zero time if it stated
// none.
func (t *Target) ColdUntil() time.Time { return t.coldUntil }

// Decide returns what this host may send to the target now. drain is how long a target that
// leaves may get requests after its first notice.
func (t *Target) Decide(now time.Time, drain time.Duration, rng *rand.Rand) Decision {
	if t.IsLeaving() && now.Sub(t.leavingAt) >= drain-leavingReserve {
		return Decision{}
	}
	t.expireHearsay(now)
	if wait := max(t.pacer.wait(now, rng), t.backoff.wait(now)); wait > 0 {
		return Decision{Wait: wait}
	}
	return Decision{Allowed: true, Preference: t.preference(now)}
}

func (t *Target) preference(now time.Time) Preference {
	switch {
	case now.Before(t.heard.awayUntil):
		return MayTurnAway
	case t.IsLeaving(), t.heard.leaving:
		return Leaves
	default:
		return Preferred
	}
}

// Avoided reports whether requests that could go to another target as well are better sent
// there.
func (t *Target) Avoided(now time.Time) bool { return t.preference(now) != Preferred }

// Takes reports whether the target takes a request of this host now that could go to
// another one as well.
func (t *Target) Takes(now time.Time) bool {
	return !t.Avoided(now) && !now.Before(t.pacer.next) && !now.Before(t.backoff.next)
}

// BacksOff reports whether the target said that it wants no request of this host, and has not
// answered one otherwise since.
func (t *Target) BacksOff() bool { return t.backoff.inForce }

// AwayLeft returns for how much longer the target wants no request of this host, 0 if it may
// get one.
func (t *Target) AwayLeft(now time.Time) time.Duration {
	if !t.backoff.inForce {
		return 0
	}
	return max(0, t.backoff.until.Sub(now))
}

// Sent records a request to the target.
func (t *Target) Sent(now time.Time) {
	t.pacer.sent(now)
	t.backoff.sent(now)
}
