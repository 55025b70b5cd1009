package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/pkg/limit"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/warmup"
)

// A request may wait for a cold target for this part of its time; after a
// refusal the entry host still has time to ask a warm replica.
const coldWaitDivisor = 4

// waiter is a request in the queue. Exactly one value is sent: an empty
// outcome if the request has a slot, or else the refusal.
type waiter struct {
	result     chan outcome.Outcome
	lateReason outcome.Reason // why it is refused if its wait is too long
}

// wait queues the request and waits for a slot.
func (t *ownedTarget) waitForSlot(ctx context.Context, w *work, now time.Time) outcome.Outcome {
	p := &waiter{result: make(chan outcome.Outcome, 1), lateReason: outcome.Overload}
	if o := t.enqueue(ctx, p, w, now); o.Reason != outcome.None {
		return o
	}
	select {
	case o := <-p.result:
		return o
	case <-ctx.Done():
	}
	t.mu.Lock()
	waiting := t.limiter.Remove(func(other *waiter) bool { return other == p })
	t.mu.Unlock()
	if !waiting {
		if o := <-p.result; o.Reason != outcome.None {
			return o
		}
		t.releaseSlot(false)
	}
	return notSent(ctx, "while waiting for a slot of target %s", t.id)
}

// offer puts the request in the queue, or returns the refusal.
func (t *ownedTarget) enqueue(ctx context.Context, p *waiter, w *work, now time.Time) outcome.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyState(now)
	if o := t.refusalAt(now); o.Reason != outcome.None {
		t.probeIfDue(now)
		return o
	}
	if w.borrow && !t.mayLend(now) {
		return t.newRefusal(outcome.Overload, "no slot is free to lend")
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return outcome.Refused(outcome.Invalid, "request to target %s has no deadline", t.id)
	}
	if t.ramp.State() == warmup.Cold && t.limiter.InUse()+t.limiter.Waiting() >= t.limiter.Slots() {
		deadline = now.Add(deadline.Sub(now) / coldWaitDivisor)
	}
	if service := t.limiter.ServiceTime(now); w.turns > 0 && service > 0 {
		if waitLimit := now.Add(service * time.Duration(w.turns+1)); waitLimit.Before(deadline) {
			deadline, p.lateReason = waitLimit, outcome.Busy
		}
	}
	evicted, err := t.limiter.Offer(now, p, limit.Class(w.class), deadline)
	if evicted != nil {
		(*evicted).result <- t.newRefusal(outcome.Overload, "a request of a higher class took its place in the queue")
	}
	switch {
	case errors.Is(err, limit.ErrFull):
		return t.newRefusal(outcome.Overload, "the queue is full")
	case errors.Is(err, limit.ErrTooLate) && now.Add(t.limiter.ServiceTime(now)).After(deadline):
		return t.newRefusal(outcome.Deadline, "it takes longer than the deadline allows")
	case err != nil && p.lateReason == outcome.Busy:
		return t.newRefusal(outcome.Busy, "the queue is longer than the request may wait")
	case err != nil:
		return t.newRefusal(outcome.Overload, "the queue is too long for the deadline")
	}
	t.grantSlots(now)
	return outcome.Outcome{}
}

// free returns how many slots a request may use at once: those that the
// target's state allows this host, less those that are in use or waited for.
// That is the one measure of free slots; room, lends and borrows differ in what
// else they ask. The caller holds t.mu.
func (t *ownedTarget) freeSlots(now time.Time) int {
	if t.refusalAt(now).Reason != outcome.None {
		return 0
	}
	return max(0, t.ramp.Allowed(now, t.limits.mayUseCold)-t.limiter.InUse()-t.limiter.Waiting())
}

// isWarm reports whether the target is known to be warm and takes work. The
// caller holds t.mu.
func (t *ownedTarget) isWarm() bool {
	return t.ramp.State() == warmup.Warm && !t.ramp.Draining()
}

// lends reports whether a request of the target's other owner runs at once. The
// slots of a target that is not known to be warm are not lent. The caller holds
// t.mu.
func (t *ownedTarget) mayLend(now time.Time) bool { return t.isWarm() && t.freeSlots(now) > 0 }

// borrows reports whether a request would have to wait here for a slot of a warm
// target, and the other owner is to be asked.
func (t *ownedTarget) shouldBorrow(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isWarm() && t.freeSlots(now) == 0 && !now.Before(t.borrowAfter)
}

// refused returns a refusal that says when a slot should be free. The caller
// holds t.mu.
func (t *ownedTarget) newRefusal(reason outcome.Reason, why string) outcome.Outcome {
	o := outcome.Refused(reason, "target %s: %s", t.id, why)
	o.RetryAfter = max(t.limiter.ServiceTime(time.Now()), time.Millisecond)
	return o
}

// settle applies the state of the target to the queue. The caller holds t.mu.
func (t *ownedTarget) applyState(now time.Time) {
	slots := t.ramp.Allowed(now, t.limits.mayUseCold)
	if t.ramp.State() == warmup.Unproven && !t.ramp.Draining() {
		slots = t.limits.slots
	}
	t.limiter.Resize(slots)
	if o := t.refusalAt(now); o.Reason != outcome.None {
		for _, p := range t.limiter.Drain() {
			p.result <- o
		}
	}
}

// pump hands out free slots. The caller holds t.mu.
func (t *ownedTarget) grantSlots(now time.Time) {
	for {
		p, expired, ok := t.limiter.Next(now)
		switch {
		case !ok:
			return
		case expired:
			p.result <- t.newRefusal(p.lateReason, "the wait left no time for the service")
		default:
			p.result <- outcome.Outcome{}
		}
	}
}
