package engine

import (
	"context"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/admission"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// admit decides whether a request runs, for which it may wait for capacity of this host. It
// returns the refusal of a request that does not.
func (x *execution) admit(ctx context.Context, t *tenant.Tenant) (outcome.Outcome, bool) {
	e, now := x.e, time.Now()
	x.ticket.Request = admission.Request{
		Class: x.route.Name, Priority: effectivePriority(x.route.Priority, t), Tenant: x.r.Tenant, Sends: len(x.shards),
		Received: x.r.Received, Objective: x.route.Objective, AnswerBy: x.answerBy,
	}
	e.mu.Lock()
	decision := e.admission.Offer(now, &x.ticket)
	var verdict chan admission.Decision
	if decision == admission.Wait {
		verdict = make(chan admission.Decision, 1)
		e.admissionWaits[&x.ticket] = verdict
	}
	e.admissionChanged(now)
	e.mu.Unlock()
	if decision == admission.Run {
		return outcome.Outcome{}, false
	}
	left := false
	if decision == admission.Wait {
		decision, left = x.awaitAdmission(ctx, verdict)
	}
	e.cfg.Observer.Limited(x.ticket.Priority, decision == admission.Refuse, time.Since(now))
	switch {
	case decision == admission.Run:
		return outcome.Outcome{}, false
	case left && ctx.Err() != nil:
		return outcome.Refused(outcome.Canceled, "the caller left"), true
	case left:
		return e.leavingRefusal("this host stops and has not sent the request to a target"), true
	}
	return e.refusal(outcome.Overload, max(x.overloadRetryAfter(), x.ticket.RetryAfter), "this host has no capacity for the request in time"), true
}

// effectivePriority returns the priority of a request: that of its tenant, if it has one, or
// that of its route.
func effectivePriority(route int, t *tenant.Tenant) int {
	if t != nil && t.HasPriority {
		return t.Priority
	}
	return route
}

// awaitAdmission waits for the verdict on a request. left is set if the caller left or the host
// stops, which refuses the request.
func (x *execution) awaitAdmission(ctx context.Context, verdict chan admission.Decision) (d admission.Decision, left bool) {
	timer := time.NewTimer(time.Until(x.ticket.Latest))
	defer timer.Stop()
	select {
	case d := <-verdict:
		return d, false
	case <-timer.C:
	case <-ctx.Done():
		left = true
	case <-x.e.abandoned:
		left = true
	}
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	select {
	case d := <-verdict: // arrived in the meantime
		if d == admission.Run && left {
			now := time.Now()
			x.e.admission.Done(now, &x.ticket, false)
			x.e.admissionChanged(now)
			d = admission.Refuse
		}
		return d, left
	default:
	}
	now := time.Now()
	delete(x.e.admissionWaits, &x.ticket)
	x.e.admission.Withdraw(now, &x.ticket)
	x.e.admissionChanged(now)
	return admission.Refuse, left
}

// admissionChanged passes verdicts to the requests that wait for them, and logs that the limit
// came into force or ended. The engine's lock must be held.
func (e *Engine) admissionChanged(now time.Time) {
	for _, v := range e.admission.Next(now) {
		e.admissionWaits[v.Ticket] <- v.Decision
		delete(e.admissionWaits, v.Ticket)
	}
	if inForce := e.admission.InForce(); inForce != e.overloaded.Load() {
		e.overloaded.Store(inForce)
		r := e.admission.Report()
		text := "most sends are delayed; the work in progress is limited"
		if !inForce {
			clear(e.recentUse)
			text = "the work in progress is no longer limited"
		}
		e.cfg.Log.Info(text, "limit_sends", r.Limit, "sends", r.InProgress, "answered_per_s", int(r.Rate))
	}
}

// admissionLate gives back the capacity of a request that has passed the time of its answer.
// late is set if it has too few parts to be answered.
func (x *execution) admissionLate(now time.Time, late bool) {
	if x.late {
		return
	}
	x.late = true
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.e.admission.Late(now, &x.ticket, late)
	x.e.admissionChanged(now)
}

// admissionDone gives back the capacity of a request that ends.
func (x *execution) admissionDone(now time.Time, answered bool) {
	if !now.Before(x.answerBy) {
		x.admissionLate(now, !answered)
	}
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.e.admission.Done(now, &x.ticket, answered)
	x.e.admissionChanged(now)
}

// mostUrgent reports whether no more urgent requests compete with the execution.
func (x *execution) mostUrgent() bool {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	return !x.e.admission.Outranked(x.ticket.Level())
}

// yields reports whether the execution leaves capacity of the targets of a service and extra
// sends to more urgent requests, which have lately been sent to it. The engine's lock must be
// held.
func (x *execution) yields(service string, now time.Time) bool {
	if !x.e.overloaded.Load() {
		return false
	}
	for level := range x.ticket.Level() {
		if used, ok := x.e.recentUse[waitKey{service, level}]; ok && now.Sub(used) < recentUseTime {
			return true
		}
	}
	return false
}

// givesUpLate reports whether the shards of a fan-out that are not sent yet are given up,
// because its answer is late and others compete for the capacity.
func (x *execution) givesUpLate(now time.Time) bool {
	if len(x.shards) == 1 || !x.e.overloaded.Load() || now.Before(x.answerBy) {
		return false
	}
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	return x.e.admission.Contended(now)
}

// Admission reports on the limit on this host's work.
func (e *Engine) Admission() admission.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.admission.Report()
}
