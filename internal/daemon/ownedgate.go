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
	// probeEvery is the shortest time between probes of a target that takes no
	// work from this host.
	minProbeInterval = 100 * time.Millisecond
	// maxTakes bounds the connections tried for one request while the target
	// restarts.
	maxConnectionAttempts = 3
)

// take gets a connection and passes the gate.
func (t *ownedTarget) acquireConnection(ctx context.Context, w *work) (*target.Client, outcome.Outcome) {
	for range maxConnectionAttempts {
		client, err := t.pool.Take(ctx, w.once)
		if errors.Is(err, target.ErrDown) {
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

// gate decides whether the target may get a request over this connection now.
// Without a refusal, another connection may pass.
func (t *ownedTarget) reserveSend(ctx context.Context, client *target.Client) (reserved bool, refusal outcome.Outcome) {
	t.mu.Lock()
	unproven := t.ramp.State() == warmup.Unproven
	t.mu.Unlock()
	if unproven && client.Prove(ctx) != nil {
		return false, outcome.Outcome{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if client.BootID() != t.ramp.BootID() {
		client.Discard() // it leads to a process that is gone, or is about to be known
		return false, outcome.Outcome{}
	}
	now := time.Now()
	if o := t.refusalAt(now); o.Reason != outcome.None {
		return false, o
	}
	if t.inFlight >= t.ramp.Allowed(now, t.limits.mayUseCold) {
		return false, t.newRefusal(outcome.Unavailable, "it has just turned "+t.ramp.State().String())
	}
	t.inFlight++
	return true, outcome.Outcome{}
}

// closedFor returns the refusal if the target takes no work from this host. A
// target of which nothing is known is decided on at the gate. The caller holds
// t.mu.
func (t *ownedTarget) refusalAt(now time.Time) outcome.Outcome {
	switch {
	case t.ramp.Draining():
		return t.newRefusal(outcome.Draining, "draining")
	case t.ramp.State() == warmup.Cold && t.ramp.Allowed(now, t.limits.mayUseCold) == 0:
		return t.newRefusal(outcome.Unavailable, "cold, and this host does not hold the cold allowance")
	}
	return outcome.Outcome{}
}

// closed is closedFor at the present time.
func (t *ownedTarget) refusalNow() outcome.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusalAt(time.Now())
}

// probeLater asks a target that takes no work whether that has changed. The
// caller holds t.mu.
func (t *ownedTarget) probeIfDue(now time.Time) {
	if now.Sub(t.lastProbe) >= minProbeInterval {
		t.lastProbe = now
		go t.pool.Probe()
	}
}
