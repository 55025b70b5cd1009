package daemon

import (
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
)

// gapWidth is the number of targets asked at a time for the rest of a range.
const gapWidth = 3

// fillGaps searches for keys that their group's target did not cover, because
// shards were split, merged or moved since the configuration was written. It
// does so when nothing else is in progress, since the answers of other groups
// may cover the keys; a group that is due does not wait for that.
func (g *gather) fillGaps() {
	if g.pending > 0 {
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
	plan, left := g.planGap(now, state)
	for _, a := range plan {
		g.sendBatch(now, seat{a.Path.Place, a.Path.Ordinal}, []routing.Assignment{a}, true)
	}
	if !left && state.inProgress() == 0 {
		state.gap = false
		g.closeIfIdle(state)
		return
	}
	g.arm(now)
}

// planGap chooses targets for the keys missing of a group. It reports whether
// any was left to ask.
func (g *gather) planGap(now time.Time, state *groupState) (plan []routing.Assignment, left bool) {
	missing := g.merger.Missing(state.planned.group.Range)
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	for _, c := range g.gapCandidates(state, missing) {
		left = true
		// A target known to hold the keys is necessary work; one that is only
		// a guess draws on the budget.
		if len(plan) == gapWidth || !c.known && !g.state.budget.TryExtra(g.policy.ExtraLoadRatio) {
			break
		}
		// The group of the message is the one with the gap, so that the answer
		// is matched to it.
		options := routing.Group{ID: state.planned.group.ID, Options: []routing.Option{c.option}}
		if a, ok := g.entry.router.Alternative(now, &options, nil, nil); ok {
			plan = append(plan, a)
		}
		if c.known {
			break
		}
	}
	g.entry.router.SendAll(plan)
	state.due = now.Add(tokenWait)
	if len(plan) > 0 {
		state.due = now.Add(g.state.latencies.Delay(state.planned.group.ID, g.hedgeRule(), 1))
	}
	return plan, left
}

// candidate is a target that may hold missing keys.
type candidate struct {
	option   routing.Option
	known    bool // its last answer covered some of the missing keys
	distance int  // between its group and the one with the gap
}

// gapCandidates returns the targets not yet asked for the group, the most
// promising first. The caller holds entry.mu.
func (g *gather) gapCandidates(state *groupState, missing []keyspace.Range) []candidate {
	at := slices.Index(g.groups, state)
	var found []candidate
	for i, other := range g.groups {
		for j, option := range other.planned.options.Options {
			if !other.planned.targets[j].Serves(g.merger.Version()) || state.tried(option.Target) || other.answering(option.Target) {
				continue
			}
			c := candidate{option: option, distance: max(i-at, at-i)}
			if covered, ok := g.state.stated[option.Target]; ok {
				for _, r := range covered {
					c.known = c.known || overlaps(r.Range, missing)
				}
				if !c.known {
					continue
				}
			}
			found = append(found, c)
		}
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		if a.known != b.known {
			if a.known {
				return -1
			}
			return 1
		}
		return a.distance - b.distance
	})
	return found
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
