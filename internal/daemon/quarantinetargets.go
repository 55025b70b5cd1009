package daemon

import (
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
)

// maxCanaries is how many targets a query tries to run its canary on.
const maxCanaries = 3

// canaryTarget is where a canary may run. Lower scores are tried first, and
// targets that take no work at present last.
type canaryTarget struct {
	group, target string
	placeRank     uint64 // rank of its place for the query
	score         uint64 // among those of a place
	closed        bool
}

// candidates lists where the canary may run, in the order of trial. The order
// follows from the query and the targets alone, so that hosts that get a killer
// query at the same time lose the same target to it.
func (g *gather) candidates(states []*groupState, plan quarantine.Plan) []canaryTarget {
	var all []canaryTarget
	for _, id := range plan.Prefer {
		if info, ok := g.entry.config.tree().Target(id); ok {
			all = append(all, g.canaryAt(info.Group, id, info.Place))
		}
	}
	sortTargets(all)
	if !plan.PreferredOnly {
		var others []canaryTarget
		for _, state := range states {
			if slices.Contains(plan.Avoid, state.planned.group.ID) {
				continue
			}
			places := g.usableTargets(state)
			if len(states) > 1 || plan.Suspect {
				places = places[:min(len(places), 1)]
			}
			others = append(others, places...)
		}
		sortTargets(others)
		all = append(all, others...)
	}
	return all[:min(len(all), maxCanaries)]
}

// usableTargets returns the usable targets of a group that were not asked yet, in
// the order of trial.
func (g *gather) usableTargets(state *groupState) []canaryTarget {
	p := state.planned
	var all []canaryTarget
	now := time.Now()
	g.entry.mu.Lock()
	for i, o := range p.options.Candidates {
		if p.targets[i].MayServe(g.merger.Version()) && !state.tried(o.Target) {
			at := g.canaryAt(p.group.ID, o.Target, o.Place)
			at.closed = !g.entry.router.Available(now, o, true)
			all = append(all, at)
		}
	}
	g.entry.mu.Unlock()
	sortTargets(all)
	return all
}

func (g *gather) canaryAt(group, target, place string) canaryTarget {
	at := canaryTarget{group: group, target: target, score: g.rank(target)}
	if len(g.groups) > 1 { // one group needs one target, and may have several in a place
		at.placeRank = g.placeRank(place)
	}
	return at
}

func sortTargets(all []canaryTarget) { slices.SortFunc(all, compareTargets) }

// canaryOwners leaves a suspect's canary to the first listed owner of each
// target, so that the canaries on a target wait for each other on one host.
func (g *gather) canaryOwners(state *groupState) *routing.Group {
	group := &state.planned.options
	if !state.held && !g.suspectCanary() {
		return group
	}
	first := &routing.Group{ID: group.ID, Candidates: make([]routing.Candidate, len(group.Candidates))}
	for i, o := range group.Candidates {
		first.Candidates[i] = o.FirstOwnerOnly()
	}
	return first
}
