package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/target"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/limit"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/warmup"
)

const (
	// spareConnections are kept open beyond one per slot. A connection takes up
	// to 6 ms to open, a cancelled request costs one.
	spareConnections = 2
	// probeEvery is the shortest time between probes of a target that takes no
	// work from this host.
	probeEvery = 100 * time.Millisecond
	// maxTakes bounds the connections tried for one request while the target
	// restarts.
	maxTakes = 3
	// A request may wait for a cold target for this part of its time; after a
	// refusal the entry host still has time to ask a warm replica.
	coldPatience = 4
	// A connection counts as silent after progressFactor times the usual
	// service time.
	progressFactor = 8
	minProgress    = 50 * time.Millisecond
)

// shareTerms are this host's limits on a target.
type shareTerms struct {
	slots, connections int
	queue              int
	cold, step         int  // cold allowance and ramp
	mayUseCold         bool // this owner holds the cold allowance
}

// ownedTarget is a target with this host's share of its limits. A request takes
// a slot, then a connection, then passes the gate, which decides with the state
// of the process at the other end of that connection.
type ownedTarget struct {
	id      string
	address string
	pool    *target.Pool
	usual   *usual

	mu       sync.Mutex // guards what follows
	terms    shareTerms
	limiter  *limit.Limiter[*place]
	ramp     *warmup.Ramp
	sending  int // requests that the target may be working on
	probedAt time.Time
	borrowAt time.Time // the other owner is not asked for a slot before
}

// place is a request's place in the queue. Exactly one value is sent: an empty
// outcome if the request has a slot, or else the refusal.
type place struct {
	ready chan outcome.Outcome
	late  outcome.Reason // why it is refused if its wait is too long
}

// usual is a warmup.Usual shared by the targets of a service.
type usual struct {
	mu    sync.Mutex
	value warmup.Usual
}

func (u *usual) add(took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.value.Add(took)
}

func (u *usual) get() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.value.Value()
}

func newOwnedTarget(id, address string, terms shareTerms, dial target.Dialer, usual *usual) *ownedTarget {
	t := &ownedTarget{
		id: id, address: address, usual: usual, terms: terms,
		limiter: limit.NewLimiter[*place](terms.slots, terms.queue),
		ramp:    warmup.NewRamp(terms.rampConfig()),
	}
	t.pool = target.NewPool(address, terms.connections, terms.ahead(), dial, target.Events{
		Probed: t.probed,
		Broke: func(at time.Time) {
			t.learn(func(time.Time) { t.ramp.Broke(at) })
		},
	})
	return t
}

func (s shareTerms) rampConfig() warmup.Config {
	return warmup.Config{Concurrency: s.cold, Step: s.step, Share: s.slots}
}

func (s shareTerms) ahead() int { return s.slots + spareConnections }

// configure puts changed limits in force without losing what is in progress.
func (t *ownedTarget) configure(terms shareTerms) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.terms == terms {
		return
	}
	t.terms = terms
	t.limiter.SetQueueLimit(terms.queue)
	t.ramp.Configure(terms.rampConfig())
	t.pool.Resize(terms.connections, terms.ahead())
	t.settle(time.Now())
}

// run takes a request through queue, connection and gate to its answer.
func (t *ownedTarget) run(ctx context.Context, w *work) done {
	start := time.Now()
	if o := t.wait(ctx, w, start); o.Reason != outcome.None {
		return done{outcome: o, queued: time.Since(start)}
	}
	client, o := t.take(ctx, w)
	if client == nil {
		t.leave(false)
		return done{outcome: o, queued: time.Since(start)}
	}
	sent := time.Now()
	deadline, ok := ctx.Deadline()
	timeout := deadline.Sub(sent)
	o = w.allowed()
	if o.Reason == outcome.None {
		o = t.closed() // the allowance may have passed to the other owner since the gate
	}
	if !ok || ctx.Err() != nil || timeout <= 0 {
		o = gaveUp(ctx, "before sending to target %s", t.id)
	}
	if o.Reason != outcome.None {
		client.Release()
		t.leave(true)
		return done{outcome: o, queued: sent.Sub(start)}
	}
	client.SetProgress(t.progress(w, timeout, deadline.Sub(start)/2))
	status, o := w.send(ctx, client, timeout)
	result := done{outcome: o, status: status, queued: sent.Sub(start), served: time.Since(sent)}
	t.observe(sent, result)
	t.leaveAfter(client.Release())
	return result
}

// wait queues the request and waits for a slot.
func (t *ownedTarget) wait(ctx context.Context, w *work, now time.Time) outcome.Outcome {
	p := &place{ready: make(chan outcome.Outcome, 1), late: outcome.Overload}
	if o := t.offer(ctx, p, w, now); o.Reason != outcome.None {
		return o
	}
	select {
	case o := <-p.ready:
		return o
	case <-ctx.Done():
	}
	t.mu.Lock()
	waiting := t.limiter.Remove(func(other *place) bool { return other == p })
	t.mu.Unlock()
	if !waiting {
		if o := <-p.ready; o.Reason != outcome.None {
			return o
		}
		t.leave(false)
	}
	return gaveUp(ctx, "while waiting for a slot of target %s", t.id)
}

// offer puts the request in the queue, or returns the refusal.
func (t *ownedTarget) offer(ctx context.Context, p *place, w *work, now time.Time) outcome.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(now)
	if o := t.closedFor(now); o.Reason != outcome.None {
		t.probeLater(now)
		return o
	}
	if w.borrow && !t.spare() {
		return t.refused(outcome.Overload, "no slot is free to lend")
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return outcome.Refused(outcome.Invalid, "request to target %s has no deadline", t.id)
	}
	if t.ramp.State() == warmup.Cold && t.limiter.InUse()+t.limiter.Waiting() >= t.limiter.Slots() {
		deadline = now.Add(deadline.Sub(now) / coldPatience)
	}
	if service := t.limiter.Service(now); w.turns > 0 && service > 0 {
		if patient := now.Add(service * time.Duration(w.turns+1)); patient.Before(deadline) {
			deadline, p.late = patient, outcome.Busy
		}
	}
	evicted, err := t.limiter.Offer(now, p, limit.Class(w.class), deadline)
	if evicted != nil {
		(*evicted).ready <- t.refused(outcome.Overload, "a request of a higher class took its place in the queue")
	}
	switch {
	case errors.Is(err, limit.ErrFull):
		return t.refused(outcome.Overload, "the queue is full")
	case errors.Is(err, limit.ErrTooLate) && now.Add(t.limiter.Service(now)).After(deadline):
		return t.refused(outcome.Deadline, "it takes longer than the deadline allows")
	case err != nil && p.late == outcome.Busy:
		return t.refused(outcome.Busy, "the queue is longer than the request may wait")
	case err != nil:
		return t.refused(outcome.Overload, "the queue is too long for the deadline")
	}
	t.pump(now)
	return outcome.Outcome{}
}

// spare reports whether a slot is free and the target is known to be warm. The
// caller holds t.mu.
func (t *ownedTarget) spare() bool {
	return t.ramp.State() == warmup.Warm && t.limiter.InUse()+t.limiter.Waiting() < t.limiter.Slots()
}

// refused returns a refusal that says when a slot should be free. The caller
// holds t.mu.
func (t *ownedTarget) refused(reason outcome.Reason, why string) outcome.Outcome {
	o := outcome.Refused(reason, "target %s: %s", t.id, why)
	o.RetryAfter = max(t.limiter.Service(time.Now()), time.Millisecond)
	return o
}

// closedFor returns the refusal if the target takes no work from this host. A
// target of which nothing is known is decided on at the gate. The caller holds
// t.mu.
func (t *ownedTarget) closedFor(now time.Time) outcome.Outcome {
	switch {
	case t.ramp.Draining():
		return t.refused(outcome.Draining, "draining")
	case t.ramp.State() == warmup.Cold && t.ramp.Allowed(now, t.terms.mayUseCold) == 0:
		return t.refused(outcome.Unavailable, "cold, and this host does not hold the cold allowance")
	}
	return outcome.Outcome{}
}

// closed is closedFor at the present time.
func (t *ownedTarget) closed() outcome.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closedFor(time.Now())
}

// settle applies the state of the target to the queue. The caller holds t.mu.
func (t *ownedTarget) settle(now time.Time) {
	slots := t.ramp.Allowed(now, t.terms.mayUseCold)
	if t.ramp.State() == warmup.Unproven && !t.ramp.Draining() {
		slots = t.terms.slots
	}
	t.limiter.Resize(slots)
	if o := t.closedFor(now); o.Reason != outcome.None {
		for _, p := range t.limiter.Drain() {
			p.ready <- o
		}
	}
}

// pump hands out free slots. The caller holds t.mu.
func (t *ownedTarget) pump(now time.Time) {
	for {
		p, expired, ok := t.limiter.Next(now)
		switch {
		case !ok:
			return
		case expired:
			p.ready <- t.refused(p.late, "the wait left no time for the service")
		default:
			p.ready <- outcome.Outcome{}
		}
	}
}

// learn changes the belief about the target and applies it.
func (t *ownedTarget) learn(change func(now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	change(now)
	t.settle(now)
	t.pump(now)
}

func (t *ownedTarget) probed(sent time.Time, status wire.TargetStatus) {
	t.learn(func(now time.Time) { t.ramp.Probed(now, sent, status.BootID, mark(status.State)) })
}

// probeLater asks a target that takes no work whether that has changed. The
// caller holds t.mu.
func (t *ownedTarget) probeLater(now time.Time) {
	if now.Sub(t.probedAt) >= probeEvery {
		t.probedAt = now
		go t.pool.Probe()
	}
}

// take gets a connection and passes the gate.
func (t *ownedTarget) take(ctx context.Context, w *work) (*target.Client, outcome.Outcome) {
	for range maxTakes {
		client, err := t.pool.Take(ctx, w.once)
		if errors.Is(err, target.ErrDown) {
			return nil, outcome.Refused(outcome.Unavailable, "target %s accepts no connection", t.id)
		}
		if err != nil {
			return nil, gaveUp(ctx, "while a connection to target %s opened", t.id)
		}
		open, o := t.gate(ctx, client)
		if open {
			return client, outcome.Outcome{}
		}
		client.Release()
		if o.Reason != outcome.None {
			return nil, o
		}
	}
	return nil, outcome.Refused(outcome.Unavailable, "target %s is restarting", t.id)
}

// gate decides whether the target may get a request over this connection now.
// Without a refusal, another connection may pass.
func (t *ownedTarget) gate(ctx context.Context, client *target.Client) (open bool, refusal outcome.Outcome) {
	t.mu.Lock()
	unproven := t.ramp.State() == warmup.Unproven
	t.mu.Unlock()
	if unproven && client.Prove(ctx) != nil {
		return false, outcome.Outcome{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if client.BootID() != t.ramp.Boot() {
		client.Discard() // it leads to a process that is gone, or is about to be known
		return false, outcome.Outcome{}
	}
	now := time.Now()
	if o := t.closedFor(now); o.Reason != outcome.None {
		return false, o
	}
	if t.sending >= t.ramp.Allowed(now, t.terms.mayUseCold) {
		return false, t.refused(outcome.Unavailable, "it has just turned "+t.ramp.State().String())
	}
	t.sending++
	return true, outcome.Outcome{}
}

// progress returns how long the request may be without an answer. A request
// that may not be repeated, or that is a retry itself, gains nothing from an
// early end. half is half of the
// time that the request had before it waited for a slot: half of what is left
// after a long wait is less than many answers take.
func (t *ownedTarget) progress(w *work, timeout, half time.Duration) time.Duration {
	if w.once || w.retry {
		return timeout
	}
	t.mu.Lock()
	service := t.limiter.Service(time.Now())
	warm := t.ramp.State() == warmup.Warm
	t.mu.Unlock()
	if !warm {
		// Half the deadline is less than the service time of a cold target whose
		// usual one is an eighth of the deadline; it would never warm up.
		return timeout
	}
	expected := max(t.usual.get(), service)
	if expected == 0 {
		return half
	}
	return min(max(progressFactor*expected, minProgress), half)
}

// observe learns from the end of a request.
func (t *ownedTarget) observe(sent time.Time, d done) {
	sample := warmup.Sample{
		Sent: sent, BootID: d.status.BootID, Mark: mark(d.status.State), Took: d.served, Usual: t.usual.get(),
	}
	known := true
	sample.Result, known = result(d.outcome)
	t.learn(func(now time.Time) {
		if !known {
			t.ramp.Probed(now, sent, sample.BootID, sample.Mark)
			return
		}
		t.ramp.Observe(now, sample)
		if d.outcome.Kind == outcome.Answered {
			t.limiter.Served(now, d.served)
			if t.ramp.State() == warmup.Warm {
				t.usual.add(d.served)
			}
		}
	})
}

// leave returns the slot; sent tells whether the request passed the gate.
func (t *ownedTarget) leave(sent bool) {
	t.learn(func(time.Time) {
		if sent {
			t.sending--
		}
		t.limiter.Release()
	})
}

// leaveAfter returns the slot of a sent request when the target has ended it.
func (t *ownedTarget) leaveAfter(ended <-chan struct{}) {
	select {
	case <-ended:
		t.leave(true)
	default:
		go func() {
			<-ended
			t.leave(true)
		}()
	}
}

// gaveUp returns the outcome of a request that was not sent in time.
func gaveUp(ctx context.Context, format string, args ...any) outcome.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.Refused(outcome.Canceled, "canceled "+format, args...)
	}
	return outcome.Refused(outcome.Deadline, "the deadline passed "+format, args...)
}

// mark translates a target's statement about its state.
func mark(s wire.TargetState) warmup.Mark {
	switch s {
	case wire.TargetWarm:
		return warmup.MarkWarm
	case wire.TargetCold:
		return warmup.MarkCold
	case wire.TargetDraining:
		return warmup.MarkDraining
	}
	return warmup.MarkNone
}

// result translates an outcome. known is false if it tells nothing about the
// target's load.
func result(o outcome.Outcome) (r warmup.Result, known bool) {
	switch {
	case o.Kind == outcome.Answered:
		return warmup.Answered, true
	case o.Reason == outcome.Canceled || o.Reason == outcome.Deadline:
		return warmup.Abandoned, o.Kind == outcome.Unknown
	case o.Kind == outcome.NotRun:
		return warmup.Refused, o.Reason == outcome.Overload
	}
	return warmup.Lost, true
}
