package notice

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRetryAfter bounds how long a target gets no request because it said so once.
	maxRetryAfter = time.Minute
	// spreadDivisor divides the time that a target asked for into the longest time by which
	// this host comes back later, at most maxSpread: all hosts were turned away together.
	spreadDivisor = 8
	maxSpread     = 400 * time.Millisecond
	// trialInterval is the time between two requests until the target answers one otherwise.
	trialInterval = 250 * time.Millisecond
	// rampTime is the time after the first such answer in which requests come in growing
	// numbers, and rampSpacing the time between two at its beginning.
	rampTime    = 500 * time.Millisecond
	rampSpacing = 25 * time.Millisecond
)

// backoff is the time in which a target wants no request of this host, and the return after
// it. The zero value has none.
type backoff struct {
	inForce bool          // until an answer without the notice after the time
	asked   time.Duration // the latest time that the target asked for
	until   time.Time     // end of the time that the target asked for
	saidAt  time.Time     // arrival of the last answer with the notice
	next    time.Time     // when the next request may be sent
	rampEnd time.Time
}

// observe records an answer that asks for a time, 0 if it asks for none, and reports whether
// the notice began or ended.
func (b *backoff) observe(now, sent time.Time, wait time.Duration, rng *rand.Rand) bool {
	if wait <= 0 {
		if !b.inForce || now.Before(b.until) || !sent.After(b.saidAt) {
			return false
		}
		*b = backoff{next: now, rampEnd: now.Add(rampTime)}
		return true
	}
	began := !b.inForce
	wait = min(wait, maxRetryAfter)
	b.inForce, b.asked, b.saidAt = true, wait, now
	if until := now.Add(wait); until.After(b.until) {
		b.until = until
		b.next = until.Add(time.Duration(rng.Float64() * float64(min(maxSpread, wait/spreadDivisor))))
	}
	return began
}

// wait returns how long this host has to wait until it may send a request.
func (b *backoff) wait(now time.Time) time.Duration { return max(0, b.next.Sub(now)) }

// sent records a request.
func (b *backoff) sent(now time.Time) {
	switch {
	case b.inForce && !now.Before(b.next):
		b.next = now.Add(trialInterval)
	case !b.inForce && now.Before(b.rampEnd):
		b.next = now.Add(time.Duration(float64(rampSpacing) * float64(b.rampEnd.Sub(now)) / float64(rampTime)))
	}
}
