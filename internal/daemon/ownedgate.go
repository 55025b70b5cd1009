package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/target"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/warmup"
)

const (
	// minProbeInterval is the shortest time between two probes of a target that
	// takes no requests from this host.
	minProbeInterval = 100 * time.Millisecond
	// maxConnectionAttempts bounds the connections tried for one request while the
	// target restarts.
	maxConnectionAttempts = 3
)

// acquireConnection returns a connection on which the request may be sent, or a
// refusal. The request then counts as in flight.
func (t *ownedTarget) acquireConnection(ctx context.Context, w *work) (*target.Client, outcome.Outcome) {
	for range maxConnectionAttempts {
		client, err := t.pool.Acquire(ctx, w.once)
		if errors.Is(err, target.ErrUnreachable) {
			return nil, outcome.Refused(outcome.Unavailable, "target %s accepts no connection", t.id)
		}
		if err != nil {
			return nil, notSent(ctx, "while a connection to target %s opened", t.id)
		}
		reserved, o := t.reserveSend(ctx, client)
		if reserved {
			return client, outcome.Outcome{}
		}
		client.Release()
		if o.Reason != outcome.None {
			return nil, o
		}
	}
	return nil, outcome.Refused(outcome.Unavailable, "target %s is restarting", t.id)
}

// reserveSend decides by the state of the process behind a connection whether the
// target may get a request now, and counts the request as in flight. If it returns
// neither true nor a refusal, the caller may try another connection.
func (t *ownedTarget) reserveSend(ctx context.Context, client *target.Client) (reserved bool, refusal outcome.Outcome) {
	t.mu.Lock()
	unproven := t.ramp.State() == warmup.Unproven
	t.mu.Unlock()
	if unproven && client.Probe(ctx) != nil {
		return false, outcome.Outcome{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if client.BootID() != t.ramp.BootID() {
		client.Discard() // the connection leads to a former process, or to one whose state is not recorded yet
		return false, outcome.Outcome{}
	}
	now := time.Now()
	if o := t.refusalAt(now); o.Reason != outcome.None {
		return false, o
	}
	if t.inFlight >= t.ramp.Allowed(now, t.limits.mayUseCold) {
		return false, t.newRefusal(outcome.Unavailable, "its state has just become "+t.ramp.State().String())
	}
	t.inFlight++
	return true, outcome.Outcome{}
}

// refusalAt returns a refusal if the target takes no requests from this host. For
// a target whose state is not known, reserveSend decides. The caller holds t.mu.
func (t *ownedTarget) refusalAt(now time.Time) outcome.Outcome {
	switch {
	case t.ramp.Draining():
		return t.newRefusal(outcome.Draining, "draining")
	case t.ramp.State() == warmup.Cold && t.ramp.Allowed(now, t.limits.mayUseCold) == 0:
		return t.newRefusal(outcome.Unavailable, "cold, and this host does not hold the cold allowance")
	}
	return outcome.Outcome{}
}

// refusalNow is refusalAt for the current time. It takes the lock.
func (t *ownedTarget) refusalNow() outcome.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusalAt(time.Now())
}

// probeIfDue starts a probe of a target that takes no requests, at most one per
// minProbeInterval. The caller holds t.mu.
func (t *ownedTarget) probeIfDue(now time.Time) {
	if now.Sub(t.lastProbe) >= minProbeInterval {
		t.lastProbe = now
		go t.pool.Probe()
	}
}
