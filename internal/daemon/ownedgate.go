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
	probeEvery = 100 * time.Millisecond
	// maxTakes bounds the connections tried for one request while the target
	// restarts.
	maxTakes = 3
)

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
	if client.BootID() != t.ramp.BootID() {
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

// probeLater asks a target that takes no work whether that has changed. The
// caller holds t.mu.
func (t *ownedTarget) probeLater(now time.Time) {
	if now.Sub(t.probedAt) >= probeEvery {
		t.probedAt = now
		go t.pool.Probe()
	}
}
