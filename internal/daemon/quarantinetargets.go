package daemon

import (
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
)

// maxCanaryCandidates bounds the targets to which the canary of a query is sent.
const maxCanaryCandidates = 3

// canaryCandidate is a target on which a canary may run. Lower ranks and scores are
// tried first, and targets that take no requests at present last.
type canaryCandidate struct {
	group, target string
	placeRank     uint64 // the query's rank of the place
	score         uint64 // the query's rank of the target in its place
	unavailable   bool
}

// canaryCandidates returns the targets on which the canary may run, in the order of
// trial. Apart from unavailable targets, the order depends only on the query and the
// targets, so that hosts that get a killer query at the same time send it to the same
// target.
func (g *gather) canaryCandidates(states []*groupState, plan quarantine.Plan) []canaryCandidate {
	var all []canaryCandidate
	for _, id := range plan.Prefer {
		if info, ok := g.entry.config.tree().Target(id); ok {
			all = append(all, g.newCanaryCandidate(info.Group, id, info.Place))
		}
	}
	sortCandidates(all)
	if !plan.PreferredOnly {
		var others []canaryCandidate
		for _, state := range states {
			if slices.Contains(plan.Avoid, state.planned.group.ID) {
				continue
			}
			targets := g.usableTargets(state)
			if len(states) > 1 || plan.Suspect {
				targets = targets[:min(len(targets), 1)]
			}
			others = append(others, targets...)
		}
		sortCandidates(others)
		all = append(all, others...)
	}
	return all[:min(len(all), maxCanaryCandidates)]
}

// usableTargets returns the usable targets of a group that were not asked yet, in the
// order of trial.
func (g *gather) usableTargets(state *groupState) []canaryCandidate {
	p := state.planned
	var all []canaryCandidate
	now := time.Now()
	g.entry.mu.Lock()
	for i, o := range p.routingGroup.Candidates {
		if p.targets[i].MayServe(g.merger.Version()) && !state.tried(o.Target) {
			candidate := g.newCanaryCandidate(p.group.ID, o.Target, o.Place)
			candidate.unavailable = !g.entry.router.Available(now, o, true)
			all = append(all, candidate)
		}
	}
	g.entry.mu.Unlock()
	sortCandidates(all)
	return all
}

func (g *gather) newCanaryCandidate(group, target, place string) canaryCandidate {
	candidate := canaryCandidate{group: group, target: target, score: g.hashRank(target)}
	if len(g.groups) > 1 { // a single group needs one target, so its targets need not be in one place
		candidate.placeRank = g.placeRank(place)
	}
	return candidate
}

func sortCandidates(all []canaryCandidate) { slices.SortFunc(all, compareCandidates) }

// routingCandidates returns the routing candidates of a group. For the canary of a
// suspect they have only the first listed owner of each target, so that the
// canaries on a target wait for each other on one host.
func (g *gather) routingCandidates(state *groupState) *routing.Group {
	group := &state.planned.routingGroup
	if !state.restricted && !g.isSuspectCanary() {
		return group
	}
	first := &routing.Group{ID: group.ID, Candidates: make([]routing.Candidate, len(group.Candidates))}
	for i, o := range group.Candidates {
		first.Candidates[i] = o.FirstOwnerOnly()
	}
	return first
}
