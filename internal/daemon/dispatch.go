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

// dispatcher sends requests to the targets that this host owns, within its share
// of their slots and connections. Safe for concurrent use.
type dispatcher struct {
	self   *settings.Process
	config *config
	dial   target.Dialer

	// rules is set before the first request.
	rules usageRules

	mu      sync.Mutex
	owned   map[string]*ownedTarget
	medians map[string]*medianLatency // by service
	closed  bool
}

// usageRules restricts the use of targets by the state of other hosts and by the
// host list. If mayUseCold is nil, the owner of rank 0 holds the cold allowance; a
// nil mayUseShare or isLeaving restricts nothing.
type usageRules struct {
	mayUseCold  func(t *settings.TargetInfo) bool
	mayUseShare func(target string) bool
	isLeaving   func(target string) bool // whether the host list names the target as leaving
}

// work is one request to a target.
type work struct {
	target              string
	service             string
	class               settings.Priority
	once                bool  // the request is the lookup of a command, which may not be repeated
	borrow              bool  // sent by the other owner; refused unless a slot is free
	mayBorrow           bool  // ends with shouldBorrow instead of a wait if the other owner may be asked for a slot
	retry               bool  // an earlier attempt failed, so little time is left for another
	maxWaitServiceTimes uint8 // longest wait for a slot, in service times; 0 means no bound
	// recheck returns a refusal if the request may no longer be sent. It runs
	// immediately before sending, because an operator may take the target out of
	// service, or this host may be paused, while the request waits. The dispatcher
	// sets recheck.
	recheck func() outcome.Outcome
	send    func(ctx context.Context, c *target.Client, timeout time.Duration) (wire.TargetStatus, outcome.Outcome)
}

// workResult is the outcome of a request, with the target's status and the times it took.
type workResult struct {
	outcome     outcome.Outcome
	status      wire.TargetStatus
	queueTime   time.Duration // wait for a slot and a connection
	serviceTime time.Duration // from sending to the answer

	// shouldBorrow means that the request was not sent, for want of a slot that the
	// other owner may have.
	shouldBorrow bool
}

func newDispatcher(self *settings.Process, config *config, dial target.Dialer) *dispatcher {
	return &dispatcher{self: self, config: config, dial: dial, owned: map[string]*ownedTarget{}, medians: map[string]*medianLatency{}}
}

func (d *dispatcher) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, t := range d.owned {
		t.pool.Close()
	}
}

// do runs a request on its target as soon as one of this host's slots is free.
func (d *dispatcher) do(ctx context.Context, w *work) workResult {
	t, refusal := d.target(w)
	if t == nil {
		return workResult{outcome: refusal}
	}
	w.recheck = func() outcome.Outcome {
		if refusal, refused := d.config.workRefusal(w.once); refused {
			return refusal
		}
		_, refusal := d.target(w)
		return refusal
	}
	return t.run(ctx, w)
}

// target returns the target of a request with this host's current limits, or a
// refusal if this host may not use the target.
func (d *dispatcher) target(w *work) (*ownedTarget, outcome.Outcome) {
	id := w.target
	tree := d.config.tree()
	info, ok := tree.Target(id)
	if !ok {
		return nil, outcome.Refused(outcome.Unavailable, "target %s does not exist in configuration version %d", id, tree.Doc.Version)
	}
	rank := ownership.Rank(info.Owners, d.self.Ordinal)
	if info.Place != d.self.Place || rank < 0 {
		return nil, outcome.Refused(outcome.Unavailable, "host %s does not own target %s", d.self.Name, id)
	}
	if info.Out || !tree.PlaceInService(info.Place) {
		return nil, outcome.Refused(outcome.PlaceOut, "target %s was taken out of service", id)
	}
	if d.rules.isLeaving != nil && d.rules.isLeaving(id) {
		return nil, outcome.Refused(outcome.Draining, "target %s is leaving", id)
	}
	if d.rules.mayUseShare != nil && !d.rules.mayUseShare(id) {
		return nil, outcome.Refused(outcome.Unavailable, "host %s may not use its share of target %s yet", d.self.Name, id)
	}
	policy := tree.Effective(info.Place, info.Service)
	limits := shareLimits{
		slots:       ownership.Share(usableSlots(info.Slots, policy), rank, len(info.Owners)),
		connections: ownership.Share(info.Connections, rank, len(info.Owners)),
		queueLimit:  policy.QueueLimit, coldConcurrency: policy.ColdConcurrency, rampStep: policy.ColdRampStep,
		mayUseCold: rank == 0,
	}
	if d.rules.mayUseCold != nil {
		limits.mayUseCold = d.rules.mayUseCold(info)
	}
	if limits.slots == 0 || limits.connections == 0 {
		return nil, outcome.Refused(outcome.Unavailable, "host %s has no share of target %s", d.self.Name, id)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, outcome.Refused(outcome.Draining, "host %s is stopping", d.self.Name)
	}
	t, ok := d.owned[id]
	if ok && t.address != info.Address {
		t.pool.Close()
		ok = false
	}
	if !ok {
		t = newOwnedTarget(id, info.Address, limits, d.dial, d.medianOf(info.Service))
		d.owned[id] = t
	}
	t.configure(limits)
	return t, outcome.Outcome{}
}

// usableSlots returns how many slots of a target all owners together may use.
func usableSlots(slots int, policy *settings.Policy) int {
	if slots == 0 {
		return 0
	}
	return max(1, int(float64(slots)*policy.SlotLimitRatio))
}

// medianOf returns the median latency of a service's targets. The caller holds d.mu.
func (d *dispatcher) medianOf(service string) *medianLatency {
	m, ok := d.medians[service]
	if !ok {
		m = new(medianLatency)
		d.medians[service] = m
	}
	return m
}
