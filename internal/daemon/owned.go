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
	progressTimeoutFactor = 8
	minProgressTimeout    = 50 * time.Millisecond
)

// shareTerms are this host's limits on a target.
type shareLimits struct {
	slots, connections        int
	queueLimit                int
	coldConcurrency, rampStep int  // cold allowance and ramp
	mayUseCold                bool // this owner holds the cold allowance
}

// ownedTarget is a target with this host's share of its limits. A request takes
// a slot, then a connection, then passes the gate, which decides with the state
// of the process at the other end of that connection.
type ownedTarget struct {
	id      string
	address string
	pool    *target.Pool
	median  *medianLatency

	mu          sync.Mutex // guards what follows
	limits      shareLimits
	limiter     *limit.Limiter[*waiter]
	ramp        *warmup.Ramp
	inFlight    int // requests that the target may be working on
	lastProbe   time.Time
	borrowAfter time.Time // the other owner is not asked for a slot before
}

func newOwnedTarget(id, address string, limits shareLimits, dial target.Dialer, median *medianLatency) *ownedTarget {
	t := &ownedTarget{
		id: id, address: address, median: median, limits: limits,
		limiter: limit.NewLimiter[*waiter](limits.slots, limits.queueLimit),
		ramp:    warmup.NewRamp(limits.rampConfig()),
	}
	t.pool = target.NewPool(address, limits.connections, limits.openConnections(), dial, target.Events{
		Probed: t.handleProbe,
		Broke: func(at time.Time) {
			t.update(func(time.Time) { t.ramp.ConnectionLost(at) })
		},
	})
	return t
}

func (s shareLimits) rampConfig() warmup.Config {
	return warmup.Config{ColdConcurrency: s.coldConcurrency, RampStep: s.rampStep, Share: s.slots}
}

func (s shareLimits) openConnections() int { return s.slots + spareConnections }

// configure puts changed limits in force without losing what is in progress.
func (t *ownedTarget) configure(limits shareLimits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits == limits {
		return
	}
	t.limits = limits
	t.limiter.SetQueueLimit(limits.queueLimit)
	t.ramp.Configure(limits.rampConfig())
	t.pool.Resize(limits.connections, limits.openConnections())
	t.applyState(time.Now())
}

// run takes a request through queue, connection and gate to its answer.
func (t *ownedTarget) run(ctx context.Context, w *work) workResult {
	start := time.Now()
	if o := t.waitForSlot(ctx, w, start); o.Reason != outcome.None {
		return workResult{outcome: o, queueTime: time.Since(start)}
	}
	client, o := t.acquireConnection(ctx, w)
	if client == nil {
		t.releaseSlot(false)
		return workResult{outcome: o, queueTime: time.Since(start)}
	}
	sent := time.Now()
	deadline, ok := ctx.Deadline()
	timeout := deadline.Sub(sent)
	o = w.recheck()
	if o.Reason == outcome.None {
		o = t.refusalNow() // the allowance may have passed to the other owner since the gate
	}
	if !ok || ctx.Err() != nil || timeout <= 0 {
		o = notSent(ctx, "before sending to target %s", t.id)
	}
	if o.Reason != outcome.None {
		client.Release()
		t.releaseSlot(true)
		return workResult{outcome: o, queueTime: sent.Sub(start)}
	}
	client.SetProgress(t.progressTimeout(w, timeout, deadline.Sub(start)/2))
	status, o := w.send(ctx, client, timeout)
	result := workResult{outcome: o, status: status, queueTime: sent.Sub(start), serviceTime: time.Since(sent)}
	t.finish(sent, result, client)
	return result
}

// end learns from the end of a request and returns its connection, and its slot
// as soon as the target has ended the request.
func (t *ownedTarget) finish(sent time.Time, d workResult, client *target.Client) {
	median := t.median.get()
	var ended <-chan struct{}
	t.update(func(now time.Time) {
		t.observeResult(now, sent, d, median)
		ended = client.Release()
		select {
		case <-ended: // the usual case, which needs no second turn of the lock
			ended = nil
			t.releaseSlotLocked(true)
		default:
		}
	})
	if ended != nil {
		go func() {
			<-ended
			t.releaseSlot(true)
		}()
	}
}

// learn changes the belief about the target and applies it.
func (t *ownedTarget) update(change func(now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	change(now)
	t.applyState(now)
	t.grantSlots(now)
}

func (t *ownedTarget) handleProbe(sent time.Time, status wire.TargetStatus) {
	t.update(func(now time.Time) { t.ramp.ObserveReport(now, sent, status.BootID, reportedState(status.State)) })
}

// progress returns how long the request may be without an answer. A request
// that may not be repeated, or that is a retry itself, gains nothing from an
// early end. half is half of the time that the request had before it waited for
// a slot: half of what is left after a long wait is less than many answers take.
func (t *ownedTarget) progressTimeout(w *work, timeout, half time.Duration) time.Duration {
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
	expected := max(t.median.get(), service)
	if expected == 0 {
		return half
	}
	return min(max(progressTimeoutFactor*expected, minProgressTimeout), half)
}

// leave returns the slot; sent tells whether the request passed the gate.
func (t *ownedTarget) releaseSlot(sent bool) {
	t.update(func(time.Time) { t.releaseSlotLocked(sent) })
}

// release is leave for a caller that holds t.mu and applies the change.
func (t *ownedTarget) releaseSlotLocked(sent bool) {
	if sent {
		t.inFlight--
	}
	t.limiter.Release()
}
