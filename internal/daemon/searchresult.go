package daemon

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/hedge"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// handlePart processes the result of one sub-request and returns the groups to be
// sent again.
func (g *gather) handlePart(b *batch, part *wire.PartResult, arrived time.Time) []*groupState {
	a, ok := b.attempts[part.Group]
	if ok && a.ended && a.hedge && a.path.Target == part.Target && part.Outcome.DidNotRun() {
		g.refundToken(a)
	}
	if !ok || a.ended || a.path.Target != part.Target {
		return nil // not requested by this query, or abandoned
	}
	a.ended = true
	g.openAttempts--
	state := g.byID[part.Group]
	mayRetry := g.inspectPart(part)
	g.entry.observePart(g.state, a, part, arrived)
	g.admitted.recordPart(part.Outcome, state.busyDelay(a)+time.Duration(part.QueueUS)*time.Microsecond, time.Duration(part.TargetUS)*time.Microsecond)
	if !part.Outcome.DidNotRun() {
		g.mayHaveRun = true
	}
	if state.done {
		return nil
	}
	if part.Outcome.Kind == outcome.Answered {
		return g.mergePart(state, a, part)
	}
	state.lastOutcome = part.Outcome
	if part.Outcome.Reason == outcome.PlaceOut {
		state.outPlace = a.path.Place
	}
	// The same target may be asked again, since perhaps no other one serves the
	// version: after Silent on a new connection, after Busy with a longer wait.
	a.repeatable = part.Outcome.Reason == outcome.Silent || part.Outcome.Reason == outcome.Busy
	if a.gap {
		return nil // fillGaps asks the next targets
	}
	if !mayRetry {
		g.closeIfIdle(state)
		return nil
	}
	if g.awaitNotices(state, part) {
		return nil
	}
	return g.retry(state, part.Outcome)
}

// busyDelay returns the time from the first attempt to this one if the first was
// refused as busy, and 0 otherwise.
func (s *groupState) busyDelay(a *attempt) time.Duration {
	if !s.firstWasBusy || a.hedge {
		return 0
	}
	return a.sent.Sub(s.attempts[0].sent)
}

// refundToken returns the token of a hedge that was canceled before its target ran
// it, for example while its connection was being opened.
func (g *gather) refundToken(a *attempt) {
	a.hedge = false
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	g.state.budget.Refund()
}

// mergePart adds an answer. An answer that cannot be merged, such as one of another
// index version, counts as a failed attempt.
func (g *gather) mergePart(state *groupState, a *attempt, part *wire.PartResult) []*groupState {
	r := state.planned.group.Range
	var missing []keyspace.Range
	if a.gap {
		missing = g.merger.Missing(r)
	}
	err := g.merger.Add(coverage.Part{Version: part.Version, Covered: part.Covered, Records: part.Records, Limit: g.req.Limit})
	if err != nil {
		state.lastOutcome = outcome.Uncertain(outcome.Internal, "%v", err)
		var versionError *coverage.VersionError
		if errors.As(err, &versionError) {
			state.lastOutcome.Reason = outcome.VersionGone
			a.repeatable = true // the target may serve the query's version as well
		}
		if a.gap {
			return nil
		}
		return g.retry(state, state.lastOutcome)
	}
	a.answered = true
	g.entry.mu.Lock()
	g.state.recordRanges(part.Target, part.Version, part.Covered)
	if a.gap && slices.Equal(missing, g.merger.Missing(r)) {
		g.state.recordGapMiss(part.Target, part.Covered)
	}
	g.entry.mu.Unlock()
	if len(part.Covered) == 1 && part.Covered[0].Range == r {
		g.finishGroup(state)
		return nil
	}
	g.finishCovered()
	if !state.done {
		state.gap = true
		state.lastOutcome = outcome.Uncertain(outcome.Internal, "target %s covered only a part of its range", part.Target)
	}
	return nil
}

// finishCovered finishes every group whose range is covered. It is called after an
// answer for other ranges than those in the configuration.
func (g *gather) finishCovered() {
	for _, state := range g.groups {
		if !state.done && g.merger.Covers(state.planned.group.Range) {
			g.finishGroup(state)
		}
	}
}

// retry decides whether a group is sent again after an attempt without an answer,
// and returns the group if so.
func (g *gather) retry(state *groupState, o outcome.Outcome) []*groupState {
	// A silent connection is little evidence of a failed target. Such retries need no
	// limit, since detecting each silent connection takes a part of the query's
	// deadline.
	exhausted := state.retries >= g.policy.RetryLimit && o.Reason != outcome.Silent
	if o.Reason == outcome.VersionGone && !g.replanned && (exhausted || !g.versionServed(state)) {
		g.replanNeeded = true
		return nil
	}
	if state.inProgress() > 0 {
		return nil // another attempt is in progress
	}
	if exhausted || g.canary.holdsGroups || g.ctx.Err() != nil {
		g.closeIfIdle(state)
		return nil
	}
	if o.Reason == outcome.Busy && len(state.attempts) == 1 {
		state.firstWasBusy = true
		return []*groupState{state} // nothing ran, and the next attempt may wait for a slot
	}
	if !g.mayRetry(state, o) {
		return nil
	}
	state.countRetry(o)
	return []*groupState{state}
}

// countRetry counts a retry. Those after silent connections are counted separately.
func (s *groupState) countRetry(o outcome.Outcome) {
	if o.Reason == outcome.Silent {
		s.silentRetries++
	} else {
		s.retries++
	}
}

// mayRetry takes a token for a retry, unless the retry needs none. If no token is
// left, the group waits for one. In overload, a query without any answer does not
// wait, so that its caller is refused at once.
func (g *gather) mayRetry(state *groupState, o outcome.Outcome) bool {
	now := time.Now()
	g.entry.mu.Lock()
	overloaded := g.state.load.Overloaded(now)
	// A retry of what may have run is extra load, which a ratio of 0 forbids.
	forbidden := g.policy.ExtraLoadRatio <= 0 && !o.DidNotRun()
	granted := !forbidden && hedge.RetryIsFree(o, state.retries+state.silentRetries+state.hedges, overloaded) || g.state.budget.TryExtra(g.policy.ExtraLoadRatio)
	g.entry.mu.Unlock()
	if granted {
		return true
	}
	if overloaded && g.merger.Coverage() == 0 {
		g.closeIfIdle(state)
		return false
	}
	state.retryPending = true
	state.dueAt = now.Add(tokenPollInterval)
	g.armTimer(now)
	return false
}

// versionServed reports whether any target of the group may still serve the query's
// version.
func (g *gather) versionServed(state *groupState) bool {
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	for _, t := range state.planned.targets {
		if t.MayServe(g.merger.Version()) {
			return true
		}
	}
	return false
}

// handleBatchEnd processes the end of a batch: attempts without a result have failed.
func (g *gather) handleBatchEnd(event batchEvent) []*groupState {
	var resend []*groupState
	for id, a := range event.batch.attempts {
		if a.ended {
			continue
		}
		o := outcome.Uncertain(outcome.ConnLost, "%v", event.err)
		var notDelivered *notDeliveredError
		if errors.As(event.err, &notDelivered) {
			o = outcome.Refused(outcome.Unavailable, "%v", event.err)
		}
		part := &wire.PartResult{Group: id, Target: a.path.Target, Outcome: o}
		resend = append(resend, g.handlePart(event.batch, part, event.arrived)...)
	}
	return resend
}

// finishGroup marks a group as covered and cancels its other attempts.
func (g *gather) finishGroup(state *groupState) {
	state.done = true
	g.openGroups--
	now := time.Now()
	g.entry.mu.Lock()
	g.state.budget.Completed(g.policy.ExtraLoadRatio, g.state.load.Overloaded(now))
	g.entry.mu.Unlock()
	for _, a := range state.attempts {
		if !a.ended {
			g.abandonAttempt(state, a)
			a.batch.cancelGroups <- state.planned.group.ID
		}
	}
}

// closeIfIdle closes a group without an answer if nothing is in progress or planned
// for it.
func (g *gather) closeIfIdle(state *groupState) {
	if state.done || state.gap || state.retryPending || state.inProgress() > 0 {
		return
	}
	state.done = true
	g.openGroups--
}
