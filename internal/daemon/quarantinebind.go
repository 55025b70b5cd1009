package daemon

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// noticeWait is how long a query that this host has not cleared waits after it was
// refused because its target is down. The same query, sent by another host, may
// have crashed the target, and would crash the next replica. The notice of the
// other host takes one link delay and the time to handle the lost connection there.
const noticeWait = 50 * time.Millisecond

// decideBinding decides whether the query is bound: with canary always, all hosts
// choose the same replica of each group for a query that they have not cleared. A
// killer query, which crashes the targets that run it, and which reaches several hosts within the delay of the links between
// them so crashes only that replica. The replicas are in one place wherever
// possible, so that the query crosses at most one link, and none from a host of that
// place. With canary auto the choice follows the load: bound to a place, new queries
// lost 13 in 1,000 of their coverage beside stragglers (docs/decisions/quarantine.md).
func (g *gather) decideBinding() {
	g.canary.uncleared = !g.entry.guard.isCleared(g.canary.fp, g.merger.Version())
	g.canary.bound = g.canary.uncleared && g.policy.Canary == settings.CanaryAlways
}

// hashRank returns the query's hash rank of a place, or of a target within its place.
func (g *gather) hashRank(name string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(uint64(g.canary.fp), 16) + "/" + name)
}

// placeRank returns the query's rank of a place; lower ranks are asked first.
func (g *gather) placeRank(place string) uint64 {
	rank, ok := g.canary.placeRanks[place]
	if !ok {
		if g.canary.placeRanks == nil {
			g.canary.placeRanks = map[string]uint64{}
		}
		rank = g.hashRank(place)
		g.canary.placeRanks[place] = rank
	}
	return rank
}

// bind chooses the one target to which each group of a bound query may be sent next.
// A group is not bound on a further attempt if some group has answered and the last
// refusal was not by a target that is down: a query that was answered does not
// crash the targets of every group, and one that crashes those gets no answer.
func (g *gather) bind(states []*groupState) {
	if !g.canary.bound {
		return
	}
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	now := time.Now()
	for _, state := range states {
		state.boundTarget = ""
		if state.canaryTarget != "" || state.restricted || len(state.attempts) > 0 && g.merger.Coverage() > 0 && state.lastOutcome.Reason != outcome.Unavailable {
			continue
		}
		var best canaryCandidate
		candidates := state.planned.routingGroup.Candidates
		for i := range candidates {
			if !g.usable(state, i) {
				continue
			}
			candidate := g.newCanaryCandidate(state.planned.group.ID, candidates[i].Target, candidates[i].Place)
			candidate.unavailable = !g.entry.router.Available(now, candidates[i], false)
			if best.target == "" || compareCandidates(candidate, best) < 0 {
				best = candidate
			}
		}
		state.boundTarget = best.target
	}
}

// mayHedge reports whether a late group may be sent to a second replica. A bound
// query without any answer may be about to crash the first one.
func (g *gather) mayHedge() bool {
	return !g.canary.bound || g.merger.Coverage() > 0
}

// awaitNotices delays the retry of a group of a bound query after its target was
// down, so that notices of other hosts can arrive. It reports whether the group
// waits.
func (g *gather) awaitNotices(state *groupState, part *wire.PartResult) bool {
	if !g.canary.bound || g.canary.holdsGroups || !part.Outcome.DidNotRun() ||
		part.Outcome.Reason != outcome.Unavailable || part.Status.State == wire.TargetCold {
		return false
	}
	now := time.Now()
	state.retryPending, state.awaitsNotices, state.dueAt = true, true, now.Add(noticeWait)
	g.armTimer(now)
	return true
}

// stopAfterNotices ends a group's wait for notices and reports whether the group must
// not be sent to another replica: the query is refused, a target of the group died
// under it, or it is a suspect and no group has answered.
func (g *gather) stopAfterNotices(state *groupState) bool {
	if !state.awaitsNotices {
		return false
	}
	state.awaitsNotices = false
	verdict, plan := g.decide()
	g.canary.plan = plan
	_, held := plan.Restricted[state.planned.group.ID]
	if verdict != quarantine.Refuse && !held && (!plan.Suspect || g.merger.Coverage() > 0) {
		return false
	}
	state.retryPending = false
	state.lastOutcome = outcome.Refused(outcome.Quarantined, "the query crashed a target, perhaps of group %s", state.planned.group.ID)
	g.closeIfIdle(state)
	return true
}

// markCleared clears the query if all groups have answered.
func (g *gather) markCleared() {
	if g.merger.Full() {
		g.entry.guard.markCleared(g.canary.fp, g.merger.Version())
	}
}

// compareCandidates orders available targets first, then by place rank and score.
func compareCandidates(a, b canaryCandidate) int {
	if a.unavailable != b.unavailable {
		if b.unavailable {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.placeRank, b.placeRank), cmp.Compare(a.score, b.score))
}
