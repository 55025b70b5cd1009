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
	// spareConnections is the number of connections kept open beyond one per slot.
	// A canceled request closes its connection, and a new one takes up to 6 ms to
	// open.
	spareConnections = 2
	// A connection counts as silent if it brings no answer within
	// progressTimeoutFactor times the expected latency, at least minProgressTimeout.
	progressTimeoutFactor = 8
	minProgressTimeout    = 50 * time.Millisecond
)

// shareLimits is this host's share of a target's limits.
type shareLimits struct {
	slots, connections        int
	queueLimit                int
	coldConcurrency, rampStep int  // cold allowance, and its increase while the target warms up
	mayUseCold                bool // whether this owner holds the cold allowance
}

// ownedTarget is a target with this host's share of its limits. A request waits
// for a slot, takes a connection, and is then admitted by the state of the target
// process at the other end of that connection. Safe for concurrent use.
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
	borrowAfter time.Time // earliest time to ask the other owner for a slot
}

func newOwnedTarget(id, address string, limits shareLimits, dial target.Dialer, median *medianLatency) *ownedTarget {
	t := &ownedTarget{
		id: id, address: address, median: median, limits: limits,
		limiter: limit.NewLimiter[*waiter](limits.slots, limits.queueLimit),
		ramp:    warmup.NewRamp(limits.rampConfig()),
	}
	t.pool = target.NewPool(address, limits.connections, limits.openConnections(), dial, target.Events{
		Probed: t.handleProbe,
		Broken: func(at time.Time) {
			t.update(func(time.Time) { t.ramp.ConnectionLost(at) })
		},
	})
	return t
}

func (s shareLimits) rampConfig() warmup.Config {
	return warmup.Config{ColdConcurrency: s.coldConcurrency, RampStep: s.rampStep, Share: s.slots}
}

func (s shareLimits) openConnections() int { return s.slots + spareConnections }

// configure applies changed limits; requests in progress continue.
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

// run waits for a slot and a connection, sends the request and returns its result.
func (t *ownedTarget) run(ctx context.Context, w *work) workResult {
	start := time.Now()
	if o, shouldBorrow := t.waitForSlot(ctx, w, start); o.Reason != outcome.None || shouldBorrow {
		return workResult{outcome: o, queueTime: time.Since(start), shouldBorrow: shouldBorrow}
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
		o = t.refusalNow() // the cold allowance may have moved to the other owner since reserveSend
	}
	if !ok || ctx.Err() != nil || timeout <= 0 {
		o = notSent(ctx, "before sending to target %s", t.id)
	}
	if o.Reason != outcome.None {
		client.Release()
		t.releaseSlot(true)
		return workResult{outcome: o, queueTime: sent.Sub(start)}
	}
	client.SetProgressTimeout(t.progressTimeout(w, timeout, deadline.Sub(start)/2))
	status, o := w.send(ctx, client, timeout)
	result := workResult{outcome: o, status: status, queueTime: sent.Sub(start), serviceTime: time.Since(sent)}
	t.finish(sent, result, client)
	return result
}

// finish records the result of a request and releases its connection. It releases
// the slot as soon as the target has ended the request.
func (t *ownedTarget) finish(sent time.Time, d workResult, client *target.Client) {
	median := t.median.get()
	var ended <-chan struct{}
	t.update(func(now time.Time) {
		t.observeResult(now, sent, d, median)
		ended = client.Release()
		select {
		case <-ended: // the common case, in which the lock is held already
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

// update changes the target's observed state under the lock and applies the new state.
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

// progressTimeout returns how long a connection may be silent before the request
// ends. The lookup of a command, or a retry, gets its whole
// timeout, because no other attempt follows. half is half of the time that the
// request had before it waited for a slot; half of what a long wait leaves is less
// than many answers take.
func (t *ownedTarget) progressTimeout(w *work, timeout, half time.Duration) time.Duration {
	if w.once || w.retry {
		return timeout
	}
	t.mu.Lock()
	service := t.limiter.ServiceTime(time.Now())
	warm := t.ramp.State() == warmup.Warm
	t.mu.Unlock()
	if !warm {
		// A cold target may take longer than half the deadline, even if it needs an
		// eighth when warm. Ended early, its requests would never warm it up.
		return timeout
	}
	expected := max(t.median.get(), service)
	if expected == 0 {
		return half
	}
	return min(max(progressTimeoutFactor*expected, minProgressTimeout), half)
}

// releaseSlot returns a slot. sent is true if reserveSend admitted the request.
func (t *ownedTarget) releaseSlot(sent bool) {
	t.update(func(time.Time) { t.releaseSlotLocked(sent) })
}

// releaseSlotLocked is releaseSlot for functions that run inside update.
func (t *ownedTarget) releaseSlotLocked(sent bool) {
	if sent {
		t.inFlight--
	}
	t.limiter.Release()
}
