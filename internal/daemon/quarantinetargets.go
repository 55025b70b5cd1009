package daemon

import (
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
)

// maxCanaries is how many targets a query tries to run its canary on.
const maxCanaryCandidates = 3

// canaryTarget is where a canary may run. Lower scores are tried first, and
// targets that take no work at present last.
type canaryCandidate struct {
	group, target string
	placeRank     uint64 // rank of its place for the query
	score         uint64 // among those of a place
	unavailable   bool
}

// candidates lists where the canary may run, in the order of trial. The order
// follows from the query and the targets alone, so that hosts that get a killer
// query at the same time lose the same target to it.
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

// usableTargets returns the usable targets of a group that were not asked yet, in
// the order of trial.
func (g *gather) usableTargets(state *groupState) []canaryCandidate {
	p := state.planned
	var all []canaryCandidate
	now := time.Now()
	g.entry.mu.Lock()
	for i, o := range p.options.Candidates {
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
	if len(g.groups) > 1 { // one group needs one target, and may have several in a place
		candidate.placeRank = g.placeRank(place)
	}
	return candidate
}

func sortCandidates(all []canaryCandidate) { slices.SortFunc(all, compareCandidates) }

// canaryOwners leaves a suspect's canary to the first listed owner of each
// target, so that the canaries on a target wait for each other on one host.
func (g *gather) routingOptions(state *groupState) *routing.Group {
	group := &state.planned.options
	if !state.held && !g.isSuspectCanary() {
		return group
	}
	first := &routing.Group{ID: group.ID, Candidates: make([]routing.Candidate, len(group.Candidates))}
	for i, o := range group.Candidates {
		first.Candidates[i] = o.FirstOwnerOnly()
	}
	return first
}
