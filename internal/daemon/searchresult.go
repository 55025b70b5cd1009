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

// handlePart takes one result and returns the groups to be sent again.
func (g *gather) handlePart(b *batch, part *wire.PartResult, arrived time.Time) []*groupState {
	a, ok := b.attempts[part.Group]
	if ok && a.ended && a.hedge && a.path.Target == part.Target && part.Outcome.DidNotRun() {
		g.refundToken(a)
	}
	if !ok || a.ended || a.path.Target != part.Target {
		return nil // not something this query asked for, or no longer wanted
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
	// After Silent the next request uses a new connection, and after Busy it may
	// wait longer: perhaps no other target serves the version.
	a.repeatable = part.Outcome.Reason == outcome.Silent || part.Outcome.Reason == outcome.Busy
	if a.gap {
		return nil // fillGaps asks the next target
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

// lostToBusy returns how long before an attempt the group was first sent, if
// the attempt follows one that was refused as busy.
func (s *groupState) busyDelay(a *attempt) time.Duration {
	if !s.firstWasBusy || a.hedge {
		return 0
	}
	return a.sent.Sub(s.attempts[0].sent)
}

// returnToken takes back the token of a hedge that was withdrawn before its
// target ran it, for example while its connection was being opened.
func (g *gather) refundToken(a *attempt) {
	a.hedge = false
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	g.state.budget.Refund()
}

// merge adds an answer. An answer that cannot be merged, such as one of another
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
		var other *coverage.VersionError
		if errors.As(err, &other) {
			state.lastOutcome.Reason = outcome.VersionGone
			a.repeatable = true // it may serve the query's version as well
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
		state.lastOutcome = outcome.Uncertain(outcome.Internal, "target %s covered its range in part", part.Target)
	}
	return nil
}

// finishCovered finishes every group whose range is covered, after an answer
// for other ranges than those configured.
func (g *gather) finishCovered() {
	for _, state := range g.groups {
		if !state.done && g.merger.Covers(state.planned.group.Range) {
			g.finishGroup(state)
		}
	}
}

// retry decides whether a group is sent again after an attempt ended without
// an answer.
func (g *gather) retry(state *groupState, o outcome.Outcome) []*groupState {
	// A silent connection says little about the target, and the progress
	// deadline bounds how often it can happen within the query's own.
	exhausted := state.retries >= g.policy.RetryLimit && o.Reason != outcome.Silent
	if o.Reason == outcome.VersionGone && !g.replanned && (exhausted || !g.versionServed(state)) {
		g.replanNeeded = true
		return nil
	}
	if state.inProgress() > 0 {
		return nil // the hedge goes on
	}
	if exhausted || g.canary.holdsGroups || g.ctx.Err() != nil {
		g.closeIfIdle(state)
		return nil
	}
	if o.Reason == outcome.Busy && len(state.attempts) == 1 {
		state.firstWasBusy = true
		return []*groupState{state} // nothing ran, and the next attempt may wait
	}
	if !g.mayRetry(state, o) {
		return nil
	}
	state.countRetry(o)
	return []*groupState{state}
}

// countRetry counts a retry by its cause.
func (s *groupState) countRetry(o outcome.Outcome) {
	if o.Reason == outcome.Silent {
		s.silentRetries++
	} else {
		s.retries++
	}
}

// mayRetry takes a token for a retry unless it is free. Without a token the
// group waits for one. In overload a query of which nothing was answered does
// not wait, so that its caller is refused at once.
func (g *gather) mayRetry(state *groupState, o outcome.Outcome) bool {
	now := time.Now()
	g.entry.mu.Lock()
	overloaded := g.state.load.Overloaded(now)
	// What may have run costs extra load if it is sent again, which a ratio of 0 forbids.
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

// versionServed reports whether some target of the group may still serve the
// query's version.
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

// handleEnd takes the end of a batch: attempts without a result are lost.
func (g *gather) handleBatchEnd(event batchEvent) []*groupState {
	var again []*groupState
	for id, a := range event.batch.attempts {
		if a.ended {
			continue
		}
		o := outcome.Uncertain(outcome.ConnLost, "%v", event.err)
		var notReached *notDeliveredError
		if errors.As(event.err, &notReached) {
			o = outcome.Refused(outcome.Unavailable, "%v", event.err)
		}
		part := &wire.PartResult{Group: id, Target: a.path.Target, Outcome: o}
		again = append(again, g.handlePart(event.batch, part, event.arrived)...)
	}
	return again
}

// finish marks a group as covered and withdraws its other attempts.
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

// closeIfIdle gives a group up if nothing is in progress for it.
func (g *gather) closeIfIdle(state *groupState) {
	if state.done || state.gap || state.retryPending || state.inProgress() > 0 {
		return
	}
	state.done = true
	g.openGroups--
}
