package daemon

import (
	"time"

	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
)

// observe records the result of a request to a target in the routing state.
func (e *entry) observe(path routing.Path, o outcome.Outcome, status wire.TargetStatus, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observeLocked(time.Now(), path, o, status, took)
}

// observeLocked is observe for callers that hold e.mu; now is the time of the result.
func (e *entry) observeLocked(now time.Time, path routing.Path, o outcome.Outcome, status wire.TargetStatus, took time.Duration) {
	if e.versions.Observe(now, path.Target, status.BootID, status.Versions) {
		e.router.Forget(path.Target)
	}
	switch o.Reason {
	case outcome.ConnLost, outcome.Unavailable, outcome.Deadline, outcome.Canceled:
		// The host itself may be unreachable.
	default:
		e.router.Replied(path)
	}
	switch {
	case o.Kind == outcome.Answered:
		e.router.Answered(now, path, took)
		e.router.ObserveCold(now, path, status.State == wire.TargetCold)
	case o.Reason == outcome.Canceled:
		e.router.Canceled(now, path, took)
	case o.Reason == outcome.VersionGone:
		// The target works but no longer serves the version.
		e.router.Ended(path)
	default:
		if o.Reason == outcome.ConnLost || o.Reason == outcome.Unavailable {
			e.versions.Forget(path.Target) // it may restart with other versions
		}
		if o.DidNotRun() && (o.Reason == outcome.Unavailable || o.Reason == outcome.Draining || o.Reason == outcome.PlaceOut) {
			e.router.Refused(now, path)
		} else {
			e.router.Failed(now, path)
		}
	}
}

// observePart records the result of one sub-request of a search.
func (e *entry) observePart(st *serviceState, a *attempt, part *wire.PartResult, arrived time.Time) {
	queued := time.Duration(part.QueueUS) * time.Microsecond
	served := time.Duration(part.TargetUS) * time.Microsecond
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observeLocked(arrived, a.path, part.Outcome, part.Status, queued+served)
	st.load.Observe(arrived, part.Outcome, queued, served)
	if part.Outcome.Kind == outcome.Answered {
		st.latencies.Observe(part.Group, arrived.Sub(a.sent))
	}
}

// observeAbandoned records that an attempt was abandoned without a result.
func (e *entry) observeAbandoned(st *serviceState, group string, a *attempt) {
	now := time.Now()
	waited := now.Sub(a.sent)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observeLocked(now, a.path, outcome.Uncertain(outcome.Canceled, ""), wire.TargetStatus{}, waited)
	st.latencies.Observe(group, waited)
}

// observeLink records the round trip to a branch host's place, estimated from the
// first results of an exchange: the least difference between the total time and the
// reported queue and service time. It records one round trip per batch, and none for
// a batch to this host.
func (e *entry) observeLink(b *batch, parts []wire.PartResult, arrived time.Time) {
	if b.local || b.roundTripMeasured || len(parts) == 0 {
		return
	}
	b.roundTripMeasured = true
	total := arrived.Sub(b.sent)
	roundTrip := total
	for i := range parts {
		roundTrip = min(roundTrip, total-time.Duration(parts[i].QueueUS+parts[i].TargetUS)*time.Microsecond)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.router.ObserveRoundTrip(b.at.place, roundTrip)
}
