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
	// canaryShare is the part of the deadline after which a precautionary
	// canary no longer holds up the other groups.
	canaryDeadlineDivisor = 4
	// canaryPause is the wait before a canary tries again a target that is
	// down: a searcher that crashed is mostly back within the deadline.
	canaryRetryDelay = 25 * time.Millisecond
)

// canary is the quarantine's part of a search in progress.
type canaryState struct {
	fp             quarantine.Fingerprint
	uncleared      bool              // this host has no answer of all groups to the query
	bound          bool              // an uncleared query for which every host chooses the same replicas
	placeRanks     map[string]uint64 // by place, for the choice of targets
	holdsGroups    bool              // the other groups wait for one target's answer
	suspect        bool              // a connection died under the query before
	lastGroup      string            // the group that the canary was sent to last
	plan           quarantine.Plan
	recordAnswers  bool // answers of single groups are recorded
	candidates     []canaryCandidate
	slowTimer      <-chan time.Time // a precaution holds up the others no longer
	retryTimer     <-chan time.Time // the targets that died before are tried again
	retryPreferred bool             // they may be waited for
	retryDeadline  time.Time        // until then
	crashSuspected bool             // a connection died under this query, which is not cleared
	unsharedDeath  bool             // a death is to be shared
	notifications  sync.WaitGroup
}

// begin sends a query as the quarantine allows: to all groups, to one target
// first, or not at all.
func (g *gather) begin(states []*groupState) {
	g.canary.fp = quarantine.FingerprintOf(g.service, g.req.Terms)
	g.canary.holdsGroups, g.canary.suspect, g.canary.retryTimer = false, false, nil // a second plan decides anew
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

// sendHeld sends groups that need not wait for a canary. A group in which the
// query died and that has not answered since gets it as a canary: on one
// target, without hedges or retries.
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
			state.last = groupRefusal(group)
			g.closeIfIdle(state)
			continue
		}
		// The target that died first, so that no sister replica is lost.
		state.only, state.held, state.hedges = restriction.Targets[0], true, maxHedges
		restricted = append(restricted, state)
	}
	g.sendAll(append(unrestricted, restricted...))
}

// heldElsewhere lets a held group run on the next target in the order of trial
// if the one that died takes no work and had the time to restart.
func (g *gather) moveRestricted(state *groupState, o outcome.Outcome) bool {
	if g.canary.plan.Restricted[state.planned.group.ID].TargetsOnly || !o.DidNotRun() || o.Reason == outcome.Quarantined {
		return false
	}
	targets := g.usableTargets(state)
	if len(targets) == 0 {
		return false
	}
	state.only = targets[0].target
	return true
}

// nextCanary sends the canary to the next candidate. Without one left it gives
// the query up.
func (g *gather) sendNextCanary() {
	for len(g.canary.candidates) > 0 {
		candidate := g.canary.candidates[0]
		g.canary.candidates = g.canary.candidates[1:]
		state, ok := g.byID[candidate.group]
		if !ok {
			continue
		}
		g.reopen(state)
		state.only, g.canary.lastGroup = candidate.target, candidate.group
		g.send([]*groupState{state})
		if g.pending > 0 {
			return
		}
	}
	g.canary.holdsGroups = false
	if g.canary.retryPreferred && time.Now().Before(g.canary.retryDeadline) {
		g.reopenIdle() // keeps the query going
		g.canary.retryTimer = time.After(canaryRetryDelay)
		return
	}
	g.refuseUnsent(outcome.Refused(outcome.Quarantined, "no target for a canary of the query is usable"))
}

// suspectCanary reports whether the canary of a suspect is in progress.
func (g *gather) isSuspectCanary() bool { return g.canary.holdsGroups && g.canary.suspect }

// reopen lets a group be sent again, to targets that it was sent to as well.
func (g *gather) reopen(state *groupState) {
	if state.done {
		state.done = false
		g.open++
	}
	for _, a := range state.attempts {
		a.again = a.ended
	}
	if state.held {
		state.held, state.hedges = false, 0
	}
	state.only, state.retries, state.waiting, state.awaiting = "", 0, false, false
}

// refuse closes the groups that were not sent, with the reason.
func (g *gather) refuseUnsent(o outcome.Outcome) {
	for _, state := range g.groups {
		if len(state.attempts) == 0 || state.last.DidNotRun() && !g.merger.Covers(state.planned.group.Range) {
			state.last = o
		}
		state.waiting = false
		g.closeIfIdle(state)
	}
}

// reopenAll opens the groups that are neither covered nor in progress, and
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

// canarySlow ends the wait for a precautionary canary that neither answered
// nor died.
func (g *gather) handleSlowCanary() {
	if g.canary.holdsGroups && !g.canary.suspect {
		g.releaseGroups()
	}
}

// release sends the groups that waited for the canary.
func (g *gather) releaseGroups() {
	g.canary.holdsGroups, g.canary.slowTimer = false, nil
	for _, state := range g.groups {
		state.only = ""
	}
	_, g.canary.plan = g.decide()
	g.sendByPlan(g.reopenIdle())
}

// inspect takes what a part says about the quarantine. It returns false if the
// group must not be sent to a sister replica.
func (g *gather) inspectPart(part *wire.PartResult) (mayRetry bool) {
	guard, state := g.entry.guard, g.byID[part.Group]
	if part.Outcome.Kind == outcome.Answered && g.canary.recordAnswers {
		guard.recordAnswer(g.canary.fp, guard.groupOf(part))
	}
	if !part.Died {
		guard.importEntries(part.Known)
		return part.Outcome.Reason != outcome.Quarantined && (!state.held || g.moveRestricted(state, part.Outcome))
	}
	// Only the group's own answer shows that the query does not crash its
	// shard. It allows one sister replica.
	group := guard.groupOf(part)
	mayRetry = (g.canary.plan.Answered[group] || !g.canary.uncleared && !state.died) && !state.held
	delete(g.canary.plan.Answered, group)
	state.died = true
	guard.recordReportedDeath(g.canary.fp, quarantine.Death{
		Target: part.Target, Group: group, Canary: g.isSuspectCanary() || state.held, Version: g.merger.Version(),
	}, len(g.groups) < 2, part.Known)
	g.canary.unsharedDeath = true
	if !mayRetry {
		g.canary.crashSuspected = true
	}
	if g.canary.holdsGroups && !mayRetry {
		g.canary.candidates, g.canary.retryPreferred = nil, false
	}
	return mayRetry
}

// settle goes on after events: it shares deaths, and releases the held groups
// or moves the canary on.
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
	} else if g.pending == 0 {
		g.replaceCanary()
	}
}

// moveCanary goes on after a canary that was refused. If the refusal told that
// the query is a suspect, its canary is planned anew, so that it does not take
// down another target.
func (g *gather) replaceCanary() {
	verdict, plan := g.decide()
	if !g.canary.crashSuspected && (verdict == quarantine.Refuse || plan.Suspect && !g.canary.suspect) {
		g.begin(g.reopenIdle())
		return
	}
	g.sendNextCanary()
}
