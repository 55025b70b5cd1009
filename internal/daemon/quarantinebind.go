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

// noticeWait is how long a query that this host has not cleared waits after a
// target refused it because it is down. The query itself may have taken the
// target down through another host, and a sister replica would be the next one;
// the notice of that host takes the delay of a link and the time to handle a
// dead connection there.
const noticeWait = 50 * time.Millisecond

// findBinding decides whether the query is bound: with canary always, all hosts
// choose the same replica of each group for a query that they have not cleared,
// so that a killer query that they get within the delay of the links between
// them meets on it. The replicas are those of one place wherever possible: the
// query then crosses one link at most, and for one of the places none. With
// canary auto the choice follows the load: bound to a place, new queries lost
// 13 in 1,000 of their coverage beside stragglers (docs/decisions/quarantine.md).
func (g *gather) decideBinding() {
	g.canary.uncleared = !g.entry.guard.isCleared(g.canary.fp, g.merger.Version())
	g.canary.bound = g.canary.uncleared && g.policy.Canary == settings.CanaryAlways
}

// rank returns the rank of a place, or of a target in its place, for the query.
func (g *gather) hashRank(name string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(uint64(g.canary.fp), 16) + "/" + name)
}

// placeRank returns the rank of a place; the lowest is asked first.
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

// bind chooses the only target to which each group may be sent next. A group
// that was answered or refused elsewhere in the meantime is free, except after a
// target that is down: the query dies on no shard that answers it, and a killer
// of all shards gets no answer at all.
func (g *gather) bind(states []*groupState) {
	if !g.canary.bound {
		return
	}
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	now := time.Now()
	for _, state := range states {
		state.bound = ""
		if state.only != "" || state.held || len(state.attempts) > 0 && g.merger.Coverage() > 0 && state.last.Reason != outcome.Unavailable {
			continue
		}
		var best canaryCandidate
		options := state.planned.options.Candidates
		for i := range options {
			if !g.usable(state, i) {
				continue
			}
			candidate := g.newCanaryCandidate(state.planned.group.ID, options[i].Target, options[i].Place)
			candidate.unavailable = !g.entry.router.Available(now, options[i], false)
			if best.target == "" || compareCandidates(candidate, best) < 0 {
				best = candidate
			}
		}
		state.bound = best.target
	}
}

// mayHedge reports whether a late group may be sent to a sister replica: a
// bound query of which nothing was answered may be about to kill the first.
func (g *gather) mayHedge() bool {
	return !g.canary.bound || g.merger.Coverage() > 0
}

// awaitNotices makes a group of a bound query wait before it is sent on from a target
// that is down.
func (g *gather) awaitNotices(state *groupState, part *wire.PartResult) bool {
	if !g.canary.bound || g.canary.holdsGroups || !part.Outcome.DidNotRun() ||
		part.Outcome.Reason != outcome.Unavailable || part.Status.State == wire.TargetCold {
		return false
	}
	now := time.Now()
	state.waiting, state.awaiting, state.due = true, true, now.Add(noticeWait)
	g.arm(now)
	return true
}

// stopped ends the wait for notices of a group and reports whether the group must
// not be sent on: the query died in it elsewhere, or died in some group and was
// answered by none.
func (g *gather) stopAfterNotices(state *groupState) bool {
	if !state.awaiting {
		return false
	}
	state.awaiting = false
	verdict, plan := g.decide()
	g.canary.plan = plan
	_, held := plan.Restricted[state.planned.group.ID]
	if verdict != quarantine.Refuse && !held && (!plan.Suspect || g.merger.Coverage() > 0) {
		return false
	}
	state.waiting = false
	state.last = outcome.Refused(outcome.Quarantined, "the query crashed a target, perhaps of group %s", state.planned.group.ID)
	g.closeIfIdle(state)
	return true
}

// clear records an answer of all groups.
func (g *gather) markCleared() {
	if g.merger.Full() {
		g.entry.guard.markCleared(g.canary.fp, g.merger.Version())
	}
}

func compareCandidates(a, b canaryCandidate) int {
	if a.unavailable != b.unavailable {
		if b.unavailable {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.placeRank, b.placeRank), cmp.Compare(a.score, b.score))
}
