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
	canaryShare = 4
	// canaryPause is the wait before a canary tries again a target that is
	// down: a searcher that crashed is mostly back within the deadline.
	canaryPause = 25 * time.Millisecond
)

// canary is the quarantine's part of a search in progress.
type canary struct {
	fp         quarantine.Fingerprint
	uncleared  bool              // this host has no answer of all groups to the query
	bound      bool              // an uncleared query for which every host chooses the same replicas
	ranks      map[string]uint64 // by place, for the choice of targets
	holding    bool              // the other groups wait for one target's answer
	suspect    bool              // a connection died under the query before
	group      string            // the group that the canary was sent to last
	plan       quarantine.Plan
	known      bool // answers of single groups are recorded
	candidates []canaryTarget
	slow       <-chan time.Time // a precaution holds up the others no longer
	again      <-chan time.Time // the targets that died before are tried again
	wait       bool             // they may be waited for
	giveUp     time.Time        // until then
	died       bool             // a connection died under this query, which is not cleared
	dirty      bool             // a death is to be shared
	shared     sync.WaitGroup
}

// begin sends a query as the quarantine allows: to all groups, to one target
// first, or not at all.
func (g *gather) begin(states []*groupState) {
	g.canary.fp = quarantine.FingerprintOf(g.service, g.req.Terms)
	g.canary.holding, g.canary.suspect, g.canary.again = false, false, nil // a second plan decides anew
	if g.canary.giveUp.IsZero() {
		g.canary.giveUp = time.Now().Add(remaining(g.ctx) * (canaryShare - 1) / canaryShare)
	}
	g.findBinding()
	verdict, plan := g.decide()
	g.canary.plan, g.canary.known = plan, plan.Restricted != nil || plan.Answered != nil
	switch {
	case verdict == quarantine.Refuse:
		g.refuse(quarantined(0))
	case verdict == quarantine.Canary && len(states) > 0:
		g.canary.holding, g.canary.suspect = true, plan.Suspect
		g.canary.candidates, g.canary.wait = g.candidates(states, plan), plan.PreferredOnly
		if !g.canary.suspect {
			g.canary.slow = time.After(remaining(g.ctx) / canaryShare)
		}
		g.nextCanary()
	default:
		g.sendHeld(states)
	}
}

func (g *gather) decide() (quarantine.Verdict, quarantine.Plan) {
	return g.entry.guard.decide(g.canary.fp, g.merger.Version(), g.policy.Canary)
}

// sendHeld sends groups that need not wait for a canary. A group in which the
// query died and that has not answered since gets it as a canary: on one
// target, without hedges or retries.
func (g *gather) sendHeld(states []*groupState) {
	if len(g.canary.plan.Restricted) == 0 || g.policy.Canary == settings.CanaryNever {
		g.sendAll(states)
		return
	}
	var free, held []*groupState
	for _, state := range states {
		group := state.planned.group.ID
		hold, ok := g.canary.plan.Restricted[group]
		if !ok {
			free = append(free, state)
			continue
		}
		if hold.Refuse {
			state.last = quarantinedIn(group)
			g.closeIfIdle(state)
			continue
		}
		// The target that died first, so that no sister replica is lost.
		state.only, state.held, state.hedges = hold.Targets[0], true, maxHedges
		held = append(held, state)
	}
	g.sendAll(append(free, held...))
}

// heldElsewhere lets a held group run on the next target in the order of trial
// if the one that died takes no work and had the time to restart.
func (g *gather) heldElsewhere(state *groupState, o outcome.Outcome) bool {
	if g.canary.plan.Restricted[state.planned.group.ID].TargetsOnly || !o.DidNotRun() || o.Reason == outcome.Quarantined {
		return false
	}
	places := g.usableTargets(state)
	if len(places) == 0 {
		return false
	}
	state.only = places[0].target
	return true
}

// nextCanary sends the canary to the next candidate. Without one left it gives
// the query up.
func (g *gather) nextCanary() {
	for len(g.canary.candidates) > 0 {
		at := g.canary.candidates[0]
		g.canary.candidates = g.canary.candidates[1:]
		state, ok := g.byID[at.group]
		if !ok {
			continue
		}
		g.reopen(state)
		state.only, g.canary.group = at.target, at.group
		g.send([]*groupState{state})
		if g.pending > 0 {
			return
		}
	}
	g.canary.holding = false
	if g.canary.wait && time.Now().Before(g.canary.giveUp) {
		g.reopenAll() // keeps the query going
		g.canary.again = time.After(canaryPause)
		return
	}
	g.refuse(outcome.Refused(outcome.Quarantined, "no target for a canary of the query is usable"))
}

// suspectCanary reports whether the canary of a suspect is in progress.
func (g *gather) suspectCanary() bool { return g.canary.holding && g.canary.suspect }

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
func (g *gather) refuse(o outcome.Outcome) {
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
func (g *gather) reopenAll() []*groupState {
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
func (g *gather) canarySlow() {
	if g.canary.holding && !g.canary.suspect {
		g.release()
	}
}

// release sends the groups that waited for the canary.
func (g *gather) release() {
	g.canary.holding, g.canary.slow = false, nil
	for _, state := range g.groups {
		state.only = ""
	}
	_, g.canary.plan = g.decide()
	g.sendHeld(g.reopenAll())
}

// inspect takes what a part says about the quarantine. It returns false if the
// group must not be sent to a sister replica.
func (g *gather) inspect(part *wire.PartResult) (mayRetry bool) {
	guard, state := g.entry.guard, g.byID[part.Group]
	if part.Outcome.Kind == outcome.Answered && g.canary.known {
		guard.answered(g.canary.fp, guard.groupOf(part))
	}
	if !part.Died {
		guard.learn(part.Known)
		return part.Outcome.Reason != outcome.Quarantined && (!state.held || g.heldElsewhere(state, part.Outcome))
	}
	// Only the group's own answer shows that the query does not crash its
	// shard. It allows one sister replica.
	group := guard.groupOf(part)
	mayRetry = (g.canary.plan.Answered[group] || !g.canary.uncleared && !state.died) && !state.held
	delete(g.canary.plan.Answered, group)
	state.died = true
	guard.saw(g.canary.fp, quarantine.Death{
		Target: part.Target, Group: group, Canary: g.suspectCanary() || state.held, Version: g.merger.Version(),
	}, len(g.groups) < 2, part.Known)
	g.canary.dirty = true
	if !mayRetry {
		g.canary.died = true
	}
	if g.canary.holding && !mayRetry {
		g.canary.candidates, g.canary.wait = nil, false
	}
	return mayRetry
}

// settle goes on after events: it shares deaths, and releases the held groups
// or moves the canary on.
func (g *gather) settle() {
	if g.canary.dirty {
		g.canary.dirty = false
		g.canary.shared.Go(func() { g.entry.guard.share(g.canary.fp) })
	}
	if !g.canary.holding {
		return
	}
	if g.merger.Coverage() > 0 {
		g.entry.guard.succeeded(g.canary.fp, g.service, g.canary.group)
		g.canary.known = true
		g.release()
	} else if g.pending == 0 {
		g.moveCanary()
	}
}

// moveCanary goes on after a canary that was refused. If the refusal told that
// the query is a suspect, its canary is planned anew, so that it does not take
// down another target.
func (g *gather) moveCanary() {
	verdict, plan := g.decide()
	if !g.canary.died && (verdict == quarantine.Refuse || plan.Suspect && !g.canary.suspect) {
		g.begin(g.reopenAll())
		return
	}
	g.nextCanary()
}
