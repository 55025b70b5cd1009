package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
)

const (
	// gapFanout is the number of targets asked for missing keys in the first round.
	// The number doubles with each round, up to maxGapDoublings times, so that even
	// the targets of 1,300 groups are asked within a deadline.
	gapFanout       = 3
	maxGapDoublings = 12
	// gapMissTTL is how long a target that held none of the missing keys is asked
	// for missing keys only with a token of the extra-load budget. Otherwise, keys
	// that no target holds would make every query search all targets. With the limit
	// they add at most one sub-request per second, host and target.
	gapMissTTL = time.Second
	// hedgeReserve is the balance of the extra-load budget, in tokens, that is
	// reserved for hedges.
	hedgeReserve = 0.5
)

// fillGaps searches for keys that the target of their group did not cover, because
// the key ranges of targets were split, merged or moved after the configuration was
// written. It waits until no attempt is in progress, since the answers of other groups may cover the
// keys; a group that is due does not wait.
func (g *gather) fillGaps() {
	if g.openAttempts > 0 {
		return
	}
	for _, state := range g.groups {
		if !state.done && state.gap {
			g.fillGap(state)
		}
	}
}

// fillGap asks the next targets for the missing keys of a group, and closes the
// group if no target is left.
func (g *gather) fillGap(state *groupState) {
	now := time.Now()
	var plan []routing.Assignment
	if !g.withdrawn() {
		plan = g.planGap(now, state)
	}
	for _, a := range plan {
		g.sendBatch(now, ordinalID{a.Path.Place, a.Path.Ordinal}, []routing.Assignment{a}, wire.CauseGap)
	}
	if g.openAttempts == 0 {
		state.gap = false
		g.closeIfIdle(state)
		return
	}
	g.armTimer(now)
}

// planGap chooses targets to ask for the missing keys of a group.
func (g *gather) planGap(now time.Time, state *groupState) (plan []routing.Assignment) {
	missing := g.merger.Missing(state.planned.group.Range)
	width := gapFanout << min(state.gapRounds, maxGapDoublings)
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	overloaded := g.state.load.Overloaded(now)
	candidates := g.gapCandidates(now, state, missing)
	for _, c := range candidates {
		if len(plan) == width || !g.mayAskForGap(c, overloaded) || len(plan) > 0 && c.rank > candidates[0].rank {
			break
		}
		// The group of the message is the one with the gap, so that the answer
		// is matched to it.
		group := routing.Group{ID: state.planned.group.ID, Candidates: []routing.Candidate{c.candidate}}
		if a, ok := g.entry.router.Alternative(now, &group, nil, nil); ok {
			plan = append(plan, a)
		}
		if c.rank == rankKnown {
			break // this target alone may cover the gap
		}
	}
	g.entry.router.SentAll(now, plan)
	if len(plan) > 0 {
		state.gapRounds++
		state.dueAt = now.Add(g.state.latencies.Delay(state.planned.group.ID, g.hedgeRule(), 1))
	}
	return plan
}

// mayAskForGap reports whether a target may be asked for missing keys. Without these
// keys the answer is incomplete, so the sub-request is not extra load unless the service
// is overloaded. A target that held none of the missing keys within gapMissTTL
// always needs a token. The caller holds entry.mu.
func (g *gather) mayAskForGap(c gapCandidate, overloaded bool) bool {
	if c.rank == rankKnown || c.rank < rankGapMiss && !overloaded {
		return true
	}
	return g.state.budget.Balance() > hedgeReserve && g.state.budget.TryExtra(g.policy.ExtraLoadRatio)
}

// Ranks of candidates, the most promising first.
const (
	rankKnown   = iota // the last answer of the target covered some of the missing keys
	rankReplica        // a replica of the group itself
	rankOther          // a target of another group
	rankGapMiss        // the target held none of the missing keys within gapMissTTL
)

// gapCandidate is a target that may hold missing keys.
type gapCandidate struct {
	candidate routing.Candidate
	rank      int
	distance  int // number of groups between its group and the one with the gap
}

// gapCandidates returns the targets not yet asked for the group, ordered by rank and
// distance. The caller holds entry.mu.
func (g *gather) gapCandidates(now time.Time, state *groupState, missing []keyspace.Range) []gapCandidate {
	index := slices.Index(g.groups, state)
	var found []gapCandidate
	for i, other := range g.groups {
		for j, candidate := range other.planned.routingGroup.Candidates {
			if !other.planned.targets[j].MayServe(g.merger.Version()) || state.tried(candidate.Target) || other.answering(candidate.Target) {
				continue
			}
			c := gapCandidate{candidate: candidate, rank: rankOther, distance: max(i-index, index-i)}
			switch {
			case g.state.reportedKeysIn(candidate.Target, missing):
				c.rank = rankKnown
			case now.Sub(g.state.gapMisses[candidate.Target]) < gapMissTTL:
				c.rank = rankGapMiss
			case other == state:
				c.rank = rankReplica
			}
			found = append(found, c)
		}
	}
	slices.SortStableFunc(found, func(a, b gapCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.distance, b.distance))
	})
	return found
}

// reportedKeysIn reports whether the last answer of a target covered some keys of
// the ranges. Only answers for other ranges than that of the target's group count.
func (st *serviceState) reportedKeysIn(target string, ranges []keyspace.Range) bool {
	return slices.ContainsFunc(st.reportedRanges[target], func(c coverage.Covered) bool { return overlaps(c.Range, ranges) })
}

// answering reports whether a target has answered for the group or has an attempt in
// progress.
func (s *groupState) answering(target string) bool {
	return slices.ContainsFunc(s.attempts, func(a *attempt) bool {
		return a.path.Target == target && (a.answered || !a.ended)
	})
}

// overlaps reports whether a range has a key in common with any of the others.
func overlaps(r keyspace.Range, ranges []keyspace.Range) bool {
	return slices.ContainsFunc(ranges, func(other keyspace.Range) bool { return r.From < other.To && other.From < r.To })
}
