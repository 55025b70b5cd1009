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
	// gapWidth is the number of targets asked in the first round for the rest
	// of a range; it doubles with each round, so that even the targets of 1,300
	// groups are asked within a deadline.
	gapFanout       = 3
	maxGapDoublings = 12
	// fruitlessFor is how long a target that held none of the missing keys is
	// asked for such keys only with a token. Without it, keys that no target
	// holds would add a whole search of all targets to every query; with it
	// they add at most one sub-request a second, host and target.
	fruitlessTTL = time.Second
	// gapReserve is the balance of the budget that is left to hedges.
	hedgeReserve = 0.5
)

// fillGaps searches for keys that their group's target did not cover, because
// shards were split, merged or moved since the configuration was written. It
// does so when nothing else is in progress, since the answers of other groups
// may cover the keys; a group that is due does not wait for that.
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

// fillGap asks the next targets for what is missing of a group, and closes the
// group if none is left.
func (g *gather) fillGap(state *groupState) {
	now := time.Now()
	plan := g.planGap(now, state)
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

// planGap chooses targets for the keys missing of a group.
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
		options := routing.Group{ID: state.planned.group.ID, Candidates: []routing.Candidate{c.option}}
		if a, ok := g.entry.router.Alternative(now, &options, nil, nil); ok {
			plan = append(plan, a)
		}
		if c.rank == rankKnown {
			break // one may be enough
		}
	}
	g.entry.router.SentAll(now, plan)
	if len(plan) > 0 {
		state.gapRounds++
		state.dueAt = now.Add(g.state.latencies.Delay(state.planned.group.ID, g.hedgeRule(), 1))
	}
	return plan
}

// mayFill reports whether a target may be asked for missing keys. The answer
// cannot be complete without it, so it is no extra load as long as the service
// bears it; only a target that held none of such keys a moment ago needs a
// token. The caller holds entry.mu.
func (g *gather) mayAskForGap(c gapCandidate, overloaded bool) bool {
	if c.rank == rankKnown || c.rank < rankFruitless && !overloaded {
		return true
	}
	return g.state.budget.Balance() > hedgeReserve && g.state.budget.TryExtra(g.policy.ExtraLoadRatio)
}

// Ranks of candidates, the most promising first.
const (
	rankKnown     = iota // its last answer covered some of the missing keys
	rankReplica          // of the group itself
	rankOther            // of another group
	rankFruitless        // held none of the missing keys a moment ago
)

// candidate is a target that may hold missing keys.
type gapCandidate struct {
	option   routing.Candidate
	rank     int
	distance int // between its group and the one with the gap
}

// gapCandidates returns the targets not yet asked for the group, the most
// promising first. The caller holds entry.mu.
func (g *gather) gapCandidates(now time.Time, state *groupState, missing []keyspace.Range) []gapCandidate {
	at := slices.Index(g.groups, state)
	var found []gapCandidate
	for i, other := range g.groups {
		for j, option := range other.planned.options.Candidates {
			if !other.planned.targets[j].MayServe(g.merger.Version()) || state.tried(option.Target) || other.answering(option.Target) {
				continue
			}
			c := gapCandidate{option: option, rank: rankOther, distance: max(i-at, at-i)}
			switch {
			case g.state.reportedKeysIn(option.Target, missing):
				c.rank = rankKnown
			case now.Sub(g.state.gapMisses[option.Target]) < fruitlessTTL:
				c.rank = rankFruitless
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

// holds reports whether the last answer of a target, for other ranges than
// those of its group, covered some keys of the ranges.
func (st *serviceState) reportedKeysIn(target string, ranges []keyspace.Range) bool {
	return slices.ContainsFunc(st.reportedRanges[target], func(c coverage.Covered) bool { return overlaps(c.Range, ranges) })
}

// answering reports whether a target has answered or may still answer.
func (s *groupState) answering(target string) bool {
	return slices.ContainsFunc(s.attempts, func(a *attempt) bool {
		return a.path.Target == target && (a.answered || !a.ended)
	})
}

func overlaps(r keyspace.Range, ranges []keyspace.Range) bool {
	return slices.ContainsFunc(ranges, func(other keyspace.Range) bool { return r.From < other.To && other.From < r.To })
}
