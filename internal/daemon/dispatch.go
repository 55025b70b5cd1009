package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/target"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/ownership"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// dispatcher sends work to the targets that this host owns, within its share
// of their slots and connections.
type dispatcher struct {
	self   *settings.Process
	config *config
	dial   target.Dialer

	mu     sync.Mutex
	owned  map[string]*ownedTarget
	closed bool
}

// work is one request to a target.
type work struct {
	target  string
	service string
	class   settings.Priority
	send    func(ctx context.Context, c *target.Client, timeout time.Duration) (wire.TargetStatus, outcome.Outcome)
}

// done is the result of work.
type done struct {
	outcome outcome.Outcome
	status  wire.TargetStatus
	queued  time.Duration // wait for a slot
	served  time.Duration // from sending to the answer
}

// ownedTarget is a target with this host's share of its limits.
type ownedTarget struct {
	address string
	client  *target.Client
	slots   chan struct{} // holds a token per slot in use
}

func newDispatcher(self *settings.Process, config *config, dial target.Dialer) *dispatcher {
	return &dispatcher{self: self, config: config, dial: dial, owned: map[string]*ownedTarget{}}
}

func (d *dispatcher) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, t := range d.owned {
		t.client.Close()
	}
}

// do runs work on its target as soon as one of this host's slots is free.
func (d *dispatcher) do(ctx context.Context, w *work) done {
	t, refusal := d.target(w.target)
	if t == nil {
		return done{outcome: refusal}
	}
	start := time.Now()
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		return done{outcome: outcome.Refused(outcome.Deadline, "no slot of target %s became free", w.target), queued: time.Since(start)}
	}
	defer func() { <-t.slots }()
	sent := time.Now()
	deadline, _ := ctx.Deadline()
	timeout := time.Until(deadline)
	if ctx.Err() != nil || timeout <= 0 {
		return done{outcome: outcome.Refused(outcome.Deadline, "deadline passed before sending"), queued: sent.Sub(start)}
	}
	status, o := w.send(ctx, t.client, timeout)
	return done{outcome: o, status: status, queued: sent.Sub(start), served: time.Since(sent)}
}

// target returns the owned target, or the refusal if this host may not use it.
func (d *dispatcher) target(id string) (*ownedTarget, outcome.Outcome) {
	tree := d.config.tree()
	info, ok := tree.Target(id)
	if !ok {
		return nil, outcome.Refused(outcome.Unavailable, "target %s does not exist in configuration version %d", id, tree.Doc.Version)
	}
	rank := ownership.Rank(info.Owners, d.self.Ordinal)
	if info.Place != d.self.Place || rank < 0 {
		return nil, outcome.Refused(outcome.Unavailable, "host %s does not own target %s", d.self.Name, id)
	}
	if info.Out || !tree.PlaceIsIn(info.Place) {
		return nil, outcome.Refused(outcome.PlaceOut, "target %s was taken out of service", id)
	}
	slots := ownership.Share(info.Slots, rank, len(info.Owners))
	connections := ownership.Share(info.Connections, rank, len(info.Owners))
	if slots == 0 || connections == 0 {
		return nil, outcome.Refused(outcome.Unavailable, "host %s has no share of target %s", d.self.Name, id)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, outcome.Refused(outcome.Draining, "host %s is stopping", d.self.Name)
	}
	t, ok := d.owned[id]
	if !ok || t.address != info.Address || cap(t.slots) != slots {
		t = &ownedTarget{
			address: info.Address,
			client:  newClient(tree, info, connections, d.dial),
			slots:   make(chan struct{}, slots),
		}
		d.owned[id] = t
	}
	return t, outcome.Outcome{}
}
