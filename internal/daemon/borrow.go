package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// borrowBackoffDivisor sets how long the other owner is not asked again after a
// refusal: the mean service time divided by borrowBackoffDivisor. In an
// overload the other owner so gets at most borrowBackoffDivisor such requests per
// service time and target.
const borrowBackoffDivisor = 8

// borrowFailureBackoff is how long the other owner is not asked after it returned
// no result. Heartbeats show only after seconds that a host has crashed or is paused.
const borrowFailureBackoff = 100 * time.Millisecond

// borrowResult is what became of a request for a slot of a target's other owner. Its text
// is a label of the metric of borrowed slots.
type borrowResult string

const (
	borrowNotAsked     borrowResult = "not_asked"     // there is no other owner to ask now
	borrowNotDelivered borrowResult = "not_delivered" // the other owner did not receive the part
	borrowRefused      borrowResult = "refused"       // the other owner did not run the part
	borrowLost         borrowResult = "lost"          // the other owner returned no result; it may have run the part
	borrowGranted      borrowResult = "granted"
)

// borrow runs a part for which this host has no free slot in a slot of the target's
// other owner, if that has one. At 60 % of capacity, requests wait three times as
// long for two shares of two slots as for one share of four. Each owner still
// enforces its own share, so the target's limit is kept. Unless the slot was granted, the
// part can run here.
func (b *branch) borrow(ctx context.Context, req *wire.SearchRequest, part wire.PartRequest, parent string) (wire.PartResult, borrowResult) {
	t, lender, ok := b.dispatcher.lender(part.Target)
	if !ok || !b.peers.mayBorrowFrom(lender) {
		return wire.PartResult{}, borrowNotAsked
	}
	start := time.Now()
	result, got := b.searchAtLender(ctx, lender, req, part, parent)
	if b.observer.metrics != nil {
		b.observer.metrics.BorrowedSlots.WithLabelValues(req.Service, string(got)).Inc()
	}
	switch got {
	case borrowLost, borrowNotDelivered:
		t.setBorrowAfter(time.Now().Add(borrowFailureBackoff))
	case borrowRefused:
		t.setBorrowAfter(time.Now().Add(t.serviceTime() / borrowBackoffDivisor))
	}
	result.Group, result.Target, result.Borrowed = part.Group, part.Target, true
	result.QueueUS = max(0, time.Since(start).Microseconds()-result.TargetUS)
	return result, got
}

// searchAtLender sends a part to the target's other owner. The result is valid if that owner
// granted a slot. After the deadline or a cancellation its outcome is unknown. A search of
// which no result came back before can be repeated here.
func (b *branch) searchAtLender(ctx context.Context, at ordinalID, req *wire.SearchRequest, part wire.PartRequest, parent string) (result wire.PartResult, got borrowResult) {
	lenderReq := *req
	lenderReq.Borrow, lenderReq.Traceparent = true, parent
	lenderReq.Parts = []wire.PartRequest{part}
	lenderReq.TimeoutMS = remaining(ctx).Milliseconds()
	err := b.peers.search(ctx, at, &lenderReq, nil, func(parts []wire.PartResult) { result = parts[0] })
	var notDelivered *notDeliveredError
	switch {
	case err == nil && result.Outcome.DidNotRun():
		return result, borrowRefused
	case err == nil:
	case errors.Is(ctx.Err(), context.Canceled):
		result.Outcome = outcome.Uncertain(outcome.Canceled, "canceled at the other owner of target %s", part.Target)
	case ctx.Err() != nil:
		result.Outcome = outcome.Uncertain(outcome.Deadline, "the other owner of target %s did not answer in time", part.Target)
	case errors.As(err, &notDelivered):
		return result, borrowNotDelivered
	default:
		return result, borrowLost
	}
	return result, borrowGranted
}

// lender returns a target of this host and its other owner; ok is false if there is
// none.
func (d *dispatcher) lender(id string) (t *ownedTarget, at ordinalID, ok bool) {
	info, known := d.config.tree().Target(id)
	if !known || info.Place != d.self.Place || len(info.Owners) < 2 {
		return nil, ordinalID{}, false
	}
	d.mu.Lock()
	t = d.owned[id]
	d.mu.Unlock()
	if t == nil {
		return nil, ordinalID{}, false
	}
	return t, ordinalID{info.Place, otherOwner(info, d.self.Ordinal)}, true
}

// otherOwner returns the ordinal of a target's other owner, or self if there is none.
func otherOwner(info *settings.TargetInfo, self int) int {
	for _, ordinal := range info.Owners {
		if ordinal != self {
			return ordinal
		}
	}
	return self
}

// setBorrowAfter sets the earliest time at which the other owner may be asked again.
func (t *ownedTarget) setBorrowAfter(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.borrowAfter = at
}

// serviceTime returns the mean service time of recent answers, or 0 if there are none.
func (t *ownedTarget) serviceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.ServiceTime(time.Now())
}

// mayBorrowFrom reports whether a host may be asked for a slot: the host list names it
// as live, its heartbeats arrive, it may use its shares, and a connection to it is
// open. Without an open connection the request would wait for a handshake, which
// may take longer than this host's own queue.
func (c *branchClient) mayBorrowFrom(at ordinalID) bool {
	host, ok := c.directory.hosts().byOrdinal[at]
	if !ok || host.State != platform.HostLive || !c.transport.Connected(host.Peers) {
		return false
	}
	if c.peerState == nil {
		return true
	}
	state, silent := c.peerState(host.Name)
	return !silent && !state.Waiting
}
