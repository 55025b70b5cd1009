package daemon

import (
	"time"

	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
)

const (
	// maxHedges is the largest number of hedges for one group. It is above 1 because
	// a hedge may meet a straggler or a stuck replica as well.
	maxHedges = 2
	// tokenPollInterval is how often a group that waits for a token of the extra-load
	// budget checks for one.
	tokenPollInterval = 5 * time.Millisecond
)

// armTimer sets the timer to the next time that a group is due.
func (g *gather) armTimer(now time.Time) {
	if g.timer == nil {
		return // runLoop arms the timer when it starts
	}
	var next time.Time
	for _, state := range g.groups {
		if !state.done && !state.dueAt.IsZero() && (next.IsZero() || state.dueAt.Before(next)) {
			next = state.dueAt
		}
	}
	if !next.IsZero() {
		g.timer.Reset(max(0, next.Sub(now)))
	}
}

// handleTimer acts on the groups that are due: it retries those that waited for a
// token or for notices, asks for missing keys and hedges late answers.
func (g *gather) handleTimer() {
	now := time.Now()
	var resend []*groupState
	for _, state := range g.groups {
		if state.done || state.dueAt.IsZero() || state.dueAt.After(now) {
			continue
		}
		state.dueAt = time.Time{}
		switch {
		case state.retryPending && g.stopAfterNotices(state):
		case state.retryPending:
			state.retryPending = false
			if g.mayRetry(state, state.lastOutcome) {
				state.countRetry(state.lastOutcome)
				resend = append(resend, state)
			}
		case state.gap:
			g.fillGap(state)
		case state.inProgress() > 0:
			g.hedge(now, state)
		}
	}
	if len(resend) > 0 {
		g.send(resend)
	}
	g.armTimer(now)
}

// hedge sends another attempt for a group whose answer is late.
func (g *gather) hedge(now time.Time, state *groupState) {
	if state.hedges >= maxHedges || g.canary.crashSuspected || g.withdrawn() {
		return // a query that may have crashed a target is not sent to another replica
	}
	if g.canary.holdsGroups || !g.mayHedge() {
		state.dueAt = now.Add(tokenPollInterval)
		return
	}
	a, ok := g.planHedge(now, state)
	if !ok {
		return
	}
	state.hedges++
	g.sendBatch(now, ordinalID{a.Path.Place, a.Path.Ordinal}, []routing.Assignment{a}, wire.CauseHedge)
	state.attempts[len(state.attempts)-1].hedge = true
}

// planHedge chooses the path of a hedge: another replica, or if there is none the
// same replica through its other owner. It takes a token. If the hedge delay has not
// passed or no token is left, it sets when the group is due again.
func (g *gather) planHedge(now time.Time, state *groupState) (a routing.Assignment, ok bool) {
	version := g.merger.Version()
	p := state.planned
	avoid := make([]routing.Path, 0, len(state.attempts))
	for _, earlier := range state.attempts {
		avoid = append(avoid, earlier.path)
	}
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	budget := g.state.budget
	// The delay is computed again with the current balance, so that of two late
	// groups the one that is later takes the last token.
	delay := g.state.latencies.Delay(p.group.ID, g.hedgeRule(), budget.Balance())
	if state.trial && state.hedges == 0 {
		delay = 0
	}
	if due := state.attempts[len(state.attempts)-1].sent.Add(delay); due.After(now) {
		state.dueAt = due
		return a, false
	}
	state.dueAt = now.Add(tokenPollInterval)
	if g.state.load.Overloaded(now) || !budget.Has(1) {
		return a, false
	}
	a, ok = g.entry.router.Alternative(now, &p.routingGroup, func(_, candidate int) bool {
		return p.targets[candidate].MayServe(version) && !state.tried(p.routingGroup.Candidates[candidate].Target)
	}, avoid)
	if !ok && state.hedges == 0 {
		a, ok = g.entry.router.Alternative(now, &p.routingGroup, func(_, candidate int) bool { return p.targets[candidate].MayServe(version) }, avoid)
		ok = ok && a.Path != avoid[0]
	}
	if !ok {
		state.dueAt = time.Time{}
		return a, false
	}
	if !budget.TryExtra(g.policy.ExtraLoadRatio) {
		return a, false
	}
	g.entry.router.SentAll(now, []routing.Assignment{a})
	state.dueAt = now.Add(delay + g.entry.router.RoundTrip(a.Path.Place))
	return a, true
}
