package daemon

import (
	"context"
	"sync"
	"time"

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
	limiter  *limit.Limiter[*waiter]
	ramp     *warmup.Ramp
	sending  int // requests that the target may be working on
	probedAt time.Time
	borrowAt time.Time // the other owner is not asked for a slot before
}

func newOwnedTarget(id, address string, terms shareTerms, dial target.Dialer, usual *usual) *ownedTarget {
	t := &ownedTarget{
		id: id, address: address, usual: usual, terms: terms,
		limiter: limit.NewLimiter[*waiter](terms.slots, terms.queue),
		ramp:    warmup.NewRamp(terms.rampConfig()),
	}
	t.pool = target.NewPool(address, terms.connections, terms.ahead(), dial, target.Events{
		Probed: t.probed,
		Broke: func(at time.Time) {
			t.learn(func(time.Time) { t.ramp.ConnectionLost(at) })
		},
	})
	return t
}

func (s shareTerms) rampConfig() warmup.Config {
	return warmup.Config{ColdConcurrency: s.cold, RampStep: s.step, Share: s.slots}
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
	t.end(sent, result, client)
	return result
}

// end learns from the end of a request and returns its connection, and its slot
// as soon as the target has ended the request.
func (t *ownedTarget) end(sent time.Time, d done, client *target.Client) {
	usual := t.usual.get()
	var ended <-chan struct{}
	t.learn(func(now time.Time) {
		t.observe(now, sent, d, usual)
		ended = client.Release()
		select {
		case <-ended: // the usual case, which needs no second turn of the lock
			ended = nil
			t.release(true)
		default:
		}
	})
	if ended != nil {
		go func() {
			<-ended
			t.leave(true)
		}()
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
	t.learn(func(now time.Time) { t.ramp.ObserveReport(now, sent, status.BootID, mark(status.State)) })
}

// progress returns how long the request may be without an answer. A request
// that may not be repeated, or that is a retry itself, gains nothing from an
// early end. half is half of the time that the request had before it waited for
// a slot: half of what is left after a long wait is less than many answers take.
func (t *ownedTarget) progress(w *work, timeout, half time.Duration) time.Duration {
	if w.once || w.retry {
		return timeout
	}
	t.mu.Lock()
	service := t.limiter.ServiceTime(time.Now())
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

// leave returns the slot; sent tells whether the request passed the gate.
func (t *ownedTarget) leave(sent bool) {
	t.learn(func(time.Time) { t.release(sent) })
}

// release is leave for a caller that holds t.mu and applies the change.
func (t *ownedTarget) release(sent bool) {
	if sent {
		t.sending--
	}
	t.limiter.Release()
}
