package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/pkg/limit"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/warmup"
)

// coldWaitDivisor bounds the wait for a slot of a cold target to the remaining time
// divided by coldWaitDivisor, so that the entry host has time left to ask a warm
// replica.
const coldWaitDivisor = 4

// waiter is a request in the queue. result gets exactly one value: an empty
// outcome once the request has a slot, or a refusal.
type waiter struct {
	result     chan outcome.Outcome
	lateReason outcome.Reason // reason of the refusal if the wait is too long
}

// waitForSlot queues a request and waits for a slot. An empty outcome means that it
// holds one, unless shouldBorrow is true.
func (t *ownedTarget) waitForSlot(ctx context.Context, w *work, now time.Time) (refusal outcome.Outcome, shouldBorrow bool) {
	p := &waiter{result: make(chan outcome.Outcome, 1), lateReason: outcome.Overload}
	if refusal, shouldBorrow = t.enqueue(ctx, p, w, now); refusal.Reason != outcome.None || shouldBorrow {
		return refusal, shouldBorrow
	}
	select {
	case o := <-p.result:
		return o, false
	case <-ctx.Done():
	}
	t.mu.Lock()
	waiting := t.limiter.Remove(func(other *waiter) bool { return other == p })
	t.mu.Unlock()
	if !waiting {
		if o := <-p.result; o.Reason != outcome.None {
			return o, false
		}
		t.releaseSlot(false)
	}
	return notSent(ctx, "while waiting for a slot of target %s", t.id), false
}

// enqueue puts a request in the queue, or returns a refusal. The wait is bounded
// by the deadline, by the request's maxWaitServiceTimes and, for a cold target, by
// coldWaitDivisor. The limiter's deadline includes the service, so one service time is
// added to the longest wait. Whether to borrow is decided under the lock that grants
// slots, so that requests that arrive together do not all count on one free slot.
func (t *ownedTarget) enqueue(ctx context.Context, p *waiter, w *work, now time.Time) (refusal outcome.Outcome, shouldBorrow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyState(now)
	if o := t.refusalAt(now); o.Reason != outcome.None {
		t.probeIfDue(now)
		return o, false
	}
	if w.borrow && !t.mayLend(now) {
		return t.newRefusal(outcome.Overload, "no slot is free to lend"), false
	}
	if w.mayBorrow && t.isWarm() && t.freeSlots(now) == 0 && !now.Before(t.borrowAfter) {
		return outcome.Outcome{}, true
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return outcome.Refused(outcome.Invalid, "request to target %s has no deadline", t.id), false
	}
	if t.ramp.State() == warmup.Cold && t.limiter.InUse()+t.limiter.Waiting() >= t.limiter.Slots() {
		deadline = now.Add(deadline.Sub(now) / coldWaitDivisor)
	}
	if service := t.limiter.ServiceTime(now); w.maxWaitServiceTimes > 0 && service > 0 {
		if waitLimit := now.Add(service * time.Duration(w.maxWaitServiceTimes+1)); waitLimit.Before(deadline) {
			deadline, p.lateReason = waitLimit, outcome.Busy
		}
	}
	evicted, err := t.limiter.Offer(now, p, limit.Class(w.class), deadline)
	if evicted != nil {
		(*evicted).result <- t.newRefusal(outcome.Overload, "displaced from the full queue by a request of a higher class")
	}
	switch {
	case errors.Is(err, limit.ErrFull):
		return t.newRefusal(outcome.Overload, "the queue is full"), false
	case errors.Is(err, limit.ErrTooLate) && now.Add(t.limiter.ServiceTime(now)).After(deadline):
		return t.newRefusal(outcome.Deadline, "the service time exceeds the deadline"), false
	case err != nil && p.lateReason == outcome.Busy:
		return t.newRefusal(outcome.Busy, "the expected wait is longer than the request allows"), false
	case err != nil:
		return t.newRefusal(outcome.Overload, "the queue is too long for the deadline"), false
	}
	t.grantSlots(now)
	return outcome.Outcome{}, false
}

// freeSlots returns how many further requests would get a slot without waiting:
// the slots that the target's state allows this host, less those in use and those
// that queued requests wait for. Routing, lending and borrowing all use this
// number. The caller holds t.mu.
func (t *ownedTarget) freeSlots(now time.Time) int {
	if t.refusalAt(now).Reason != outcome.None {
		return 0
	}
	return max(0, t.ramp.Allowed(now, t.limits.mayUseCold)-t.limiter.InUse()-t.limiter.Waiting())
}

// isWarm reports whether the target is known to be warm and is not draining. The
// caller holds t.mu.
func (t *ownedTarget) isWarm() bool {
	return t.ramp.State() == warmup.Warm && !t.ramp.Draining()
}

// mayLend reports whether a request of the target's other owner gets a slot
// without waiting. Only slots of a warm target are lent. The caller holds t.mu.
func (t *ownedTarget) mayLend(now time.Time) bool { return t.isWarm() && t.freeSlots(now) > 0 }

// newRefusal returns a refusal with the time after which a slot should be free. The
// caller holds t.mu.
func (t *ownedTarget) newRefusal(reason outcome.Reason, why string) outcome.Outcome {
	o := outcome.Refused(reason, "target %s: %s", t.id, why)
	o.RetryAfter = max(t.limiter.ServiceTime(time.Now()), time.Millisecond)
	return o
}

// applyState sets the slots by the target's state, and refuses the queued requests
// if the target takes none. The caller holds t.mu.
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

// grantSlots gives free slots to queued requests and refuses those whose time has
// run out. The caller holds t.mu.
func (t *ownedTarget) grantSlots(now time.Time) {
	for {
		p, expired, ok := t.limiter.Next(now)
		switch {
		case !ok:
			return
		case expired:
			p.result <- t.newRefusal(p.lateReason, "the wait left too little time for the target to answer")
		default:
			p.result <- outcome.Outcome{}
		}
	}
}
