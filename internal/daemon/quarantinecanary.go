package daemon

import (
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const (
	// The other groups wait for a precautionary canary, which is that of a query that
	// is no suspect, for the remaining time divided by canaryDeadlineDivisor. Targets
	// that are down are retried until that much time is left.
	canaryDeadlineDivisor = 4
	// canaryRetryDelay is the delay before a canary is sent again to targets that are
	// down. A crashed searcher usually restarts within the deadline.
	canaryRetryDelay = 25 * time.Millisecond
)

// canaryState is the quarantine state of a search in progress.
type canaryState struct {
	fp             quarantine.Fingerprint
	uncleared      bool              // this host has no record of an answer of all groups
	bound          bool              // every host chooses the same replicas for the query
	placeRanks     map[string]uint64 // by place
	holdsGroups    bool              // the other groups wait for the canary
	suspect        bool              // a target died under the query, and no group has answered since
	lastGroup      string            // group to which the canary was sent last
	plan           quarantine.Plan
	recordAnswers  bool // answers of single groups are recorded
	candidates     []canaryCandidate
	slowTimer      <-chan time.Time // ends the wait for a precautionary canary
	retryTimer     <-chan time.Time // sends the canary again to the targets that died
	retryPreferred bool             // the canary may wait for targets that died to restart
	retryDeadline  time.Time        // end of the canary's retries
	crashSuspected bool             // a target died under the query, which must not be sent to other replicas
	unsharedDeath  bool             // a recorded death is not yet sent to the peers
	notifications  sync.WaitGroup
}

// begin sends the query as the quarantine allows: to all groups, to one target
// first, or not at all.
func (g *gather) begin(states []*groupState) {
	g.canary.fp = quarantine.FingerprintOf(g.service, g.req.Terms)
	g.canary.holdsGroups, g.canary.suspect, g.canary.retryTimer = false, false, nil // a new plan decides them again
	if g.canary.retryDeadline.IsZero() {
		g.canary.retryDeadline = time.Now().Add(remaining(g.ctx) * (canaryDeadlineDivisor - 1) / canaryDeadlineDivisor)
	}
	g.decideBinding()
	verdict, plan := g.decide()
	g.canary.plan, g.canary.recordAnswers = plan, plan.Restricted != nil || plan.Answered != nil
	switch {
	case verdict == quarantine.Refuse:
		g.refuseUnsent(queryRefusal(0))
	case verdict == quarantine.Canary && len(states) > 0:
		g.canary.holdsGroups, g.canary.suspect = true, plan.Suspect
		g.canary.candidates, g.canary.retryPreferred = g.canaryCandidates(states, plan), plan.PreferredOnly
		if !g.canary.suspect {
			g.canary.slowTimer = time.After(remaining(g.ctx) / canaryDeadlineDivisor)
		}
		g.sendNextCanary()
	default:
		g.sendByPlan(states)
	}
}

func (g *gather) decide() (quarantine.Verdict, quarantine.Plan) {
	return g.entry.guard.decide(g.canary.fp, g.merger.Version(), g.policy.Canary)
}

// sendByPlan sends the groups that do not wait for a canary. A restricted group, in
// which a target died under the query and which has not answered since, gets the
// query as a canary: on one target, without hedges or retries.
func (g *gather) sendByPlan(states []*groupState) {
	if len(g.canary.plan.Restricted) == 0 || g.policy.Canary == settings.CanaryNever {
		g.sendAll(states)
		return
	}
	var unrestricted, restricted []*groupState
	for _, state := range states {
		group := state.planned.group.ID
		restriction, ok := g.canary.plan.Restricted[group]
		if !ok {
			unrestricted = append(unrestricted, state)
			continue
		}
		if restriction.Refuse {
			state.lastOutcome = groupRefusal(group)
			g.closeIfIdle(state)
			continue
		}
		// The target that died first, so that no other replica is lost.
		state.canaryTarget, state.restricted, state.hedges = restriction.Targets[0], true, maxHedges
		restricted = append(restricted, state)
	}
	g.sendAll(append(unrestricted, restricted...))
}

// moveRestricted moves a restricted group to its next target if the target that
// died takes no requests and has had time to restart. It reports whether the group
// was moved.
func (g *gather) moveRestricted(state *groupState, o outcome.Outcome) bool {
	if g.canary.plan.Restricted[state.planned.group.ID].TargetsOnly || !o.DidNotRun() || o.Reason == outcome.Quarantined {
		return false
	}
	targets := g.usableTargets(state)
	if len(targets) == 0 {
		return false
	}
	state.canaryTarget = targets[0].target
	return true
}

// sendNextCanary sends the canary to the next candidate. If none is left, it plans
// the canary again after canaryRetryDelay while the query waits for targets that died
// to restart, at most until retryDeadline; otherwise it refuses the query.
func (g *gather) sendNextCanary() {
	for len(g.canary.candidates) > 0 {
		candidate := g.canary.candidates[0]
		g.canary.candidates = g.canary.candidates[1:]
		state, ok := g.byID[candidate.group]
		if !ok {
			continue
		}
		g.reopen(state)
		state.canaryTarget, g.canary.lastGroup = candidate.target, candidate.group
		g.send([]*groupState{state})
		if g.openAttempts > 0 {
			return
		}
	}
	g.canary.holdsGroups = false
	if g.canary.retryPreferred && time.Now().Before(g.canary.retryDeadline) {
		g.reopenIdle() // keeps the search open
		g.canary.retryTimer = time.After(canaryRetryDelay)
		return
	}
	g.refuseUnsent(outcome.Refused(outcome.Quarantined, "no target for a canary of the query is usable"))
}

// isSuspectCanary reports whether the search waits for the canary of a suspect.
func (g *gather) isSuspectCanary() bool { return g.canary.holdsGroups && g.canary.suspect }

// reopen lets a group be sent again, also to targets that were asked before.
func (g *gather) reopen(state *groupState) {
	if state.done {
		state.done = false
		g.openGroups++
	}
	for _, a := range state.attempts {
		a.repeatable = a.ended
	}
	if state.restricted {
		state.restricted, state.hedges = false, 0
	}
	state.canaryTarget, state.retries, state.retryPending, state.awaitsNotices = "", 0, false, false
}

// refuseUnsent closes the groups that have no attempt or were only refused, with an
// outcome as the reason.
func (g *gather) refuseUnsent(o outcome.Outcome) {
	for _, state := range g.groups {
		if len(state.attempts) == 0 || state.lastOutcome.DidNotRun() && !g.merger.Covers(state.planned.group.Range) {
			state.lastOutcome = o
		}
		state.retryPending = false
		g.closeIfIdle(state)
	}
}

// reopenIdle reopens the groups that are neither covered nor in progress, and
// returns them.
func (g *gather) reopenIdle() []*groupState {
	var states []*groupState
	for _, state := range g.groups {
		if g.merger.Covers(state.planned.group.Range) || state.inProgress() > 0 {
			continue
		}
		g.reopen(state)
		states = append(states, state)
	}
	return states
}

// handleSlowCanary ends the wait for a precautionary canary whose target has
// neither answered nor died.
func (g *gather) handleSlowCanary() {
	if g.canary.holdsGroups && !g.canary.suspect {
		g.releaseGroups()
	}
}

// releaseGroups sends the groups that wait for the canary.
func (g *gather) releaseGroups() {
	g.canary.holdsGroups, g.canary.slowTimer = false, nil
	for _, state := range g.groups {
		state.canaryTarget = ""
	}
	_, g.canary.plan = g.decide()
	g.sendByPlan(g.reopenIdle())
}

// inspectPart updates the quarantine with the result of a part. It returns false if
// the group must not be sent to another replica.
func (g *gather) inspectPart(part *wire.PartResult) (mayRetry bool) {
	guard, state := g.entry.guard, g.byID[part.Group]
	if part.Outcome.Kind == outcome.Answered && g.canary.recordAnswers {
		guard.recordAnswer(g.canary.fp, guard.groupOf(part))
	}
	if !part.ConnectionLost {
		guard.importEntries(part.QuarantineEntries)
		return part.Outcome.Reason != outcome.Quarantined && (!state.restricted || g.moveRestricted(state, part.Outcome))
	}
	// Only an answer of the group itself shows that the query does not crash the
	// group's targets. Such an answer allows one other replica.
	group := guard.groupOf(part)
	mayRetry = (g.canary.plan.Answered[group] || !g.canary.uncleared && !state.connectionLost) && !state.restricted
	delete(g.canary.plan.Answered, group)
	state.connectionLost = true
	guard.recordReportedDeath(g.canary.fp, quarantine.Death{
		Target: part.Target, Group: group, Canary: g.isSuspectCanary() || state.restricted, Version: g.merger.Version(),
	}, len(g.groups) < 2, part.QuarantineEntries)
	g.canary.unsharedDeath = true
	if !mayRetry {
		g.canary.crashSuspected = true
	}
	if g.canary.holdsGroups && !mayRetry {
		g.canary.candidates, g.canary.retryPreferred = nil, false
	}
	return mayRetry
}

// advanceCanary continues the search after events: it sends recorded deaths to the
// peers, and releases the waiting groups or replaces a canary that was refused.
func (g *gather) advanceCanary() {
	if g.canary.unsharedDeath {
		g.canary.unsharedDeath = false
		g.canary.notifications.Go(func() { g.entry.guard.notifyPeers(g.canary.fp) })
	}
	if !g.canary.holdsGroups {
		return
	}
	if g.merger.Coverage() > 0 {
		g.entry.guard.recordCanarySuccess(g.canary.fp, g.service, g.canary.lastGroup)
		g.canary.recordAnswers = true
		g.releaseGroups()
	} else if g.openAttempts == 0 {
		g.replaceCanary()
	}
}

// replaceCanary continues after a refused canary. If the refusal showed that the
// query is a suspect, the canary is planned again, so that it does not crash another
// target.
func (g *gather) replaceCanary() {
	verdict, plan := g.decide()
	if !g.canary.crashSuspected && (verdict == quarantine.Refuse || plan.Suspect && !g.canary.suspect) {
		g.begin(g.reopenIdle())
		return
	}
	g.sendNextCanary()
}
