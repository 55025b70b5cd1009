package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// ewmaWeight is the weight of a new latency sample.
	ewmaWeight = 0.2
	// priorLatency stands in for a path that was never measured.
	priorLatency = 5 * time.Millisecond
	// failurePenalty is added per recent failure, so that a failing replica
	// is used last but still used when the others are gone.
	failurePenalty = 50 * time.Millisecond
	// failureMemory is how long a failure counts. A path without traffic would
	// otherwise never be tried again.
	failureMemory = 2 * time.Second
	maxFailures   = 20
)

// Path is the way to a target: one of its owners.
type Path struct {
	Target  string
	Place   string
	Ordinal int // the owning host's ordinal in the place
}

// Option is a target that may answer for a group, with the owners through
// which it can be reached.
type Option struct {
	Target string
	Place  string
	Owners []int
}

// Group is a shard group with its usable targets.
type Group struct {
	ID      string
	Options []Option
}

// Assignment is the chosen path for a group.
type Assignment struct {
	Group string
	Path  Path
}

// Router holds what is known about each path.
type Router struct {
	place  string
	delays map[string]time.Duration
	paths  map[Path]*pathStats
	rng    *rand.Rand
}

type pathStats struct {
	latency  time.Duration
	inFlight int
	failures int
	failedAt time.Time
}

// NewRouter returns a router for a host in the given place.
func NewRouter(place string, rng *rand.Rand) *Router {
	return &Router{place: place, delays: map[string]time.Duration{}, paths: map[Path]*pathStats{}, rng: rng}
}

// SetDelay records the round-trip time to a place. Unknown places count as
// local until their answers show otherwise.
func (r *Router) SetDelay(place string, roundTrip time.Duration) { r.delays[place] = roundTrip }

// Plan chooses a path for every group that has an option. Owners of a place
// are preferred in one random order per plan, so that a query sends few
// messages to a place while the load spreads over its hosts.
func (r *Router) Plan(now time.Time, groups []Group) []Assignment {
	order := map[string][]int{}
	plan := make([]Assignment, 0, len(groups))
	for _, g := range groups {
		if path, ok := r.best(now, g.Options, order); ok {
			plan = append(plan, Assignment{g.ID, path})
		}
	}
	return plan
}

// Next chooses a path for one group among the options left.
func (r *Router) Next(now time.Time, g Group) (Assignment, bool) {
	path, ok := r.best(now, g.Options, map[string][]int{})
	return Assignment{g.ID, path}, ok
}

func (r *Router) best(now time.Time, options []Option, order map[string][]int) (Path, bool) {
	var best Path
	bestCost := time.Duration(-1)
	for _, o := range options {
		if len(o.Owners) == 0 {
			continue
		}
		path := Path{o.Target, o.Place, r.owner(o, order)}
		if cost := r.Cost(now, path); bestCost < 0 || cost < bestCost {
			best, bestCost = path, cost
		}
	}
	return best, bestCost >= 0
}

// owner picks the owner that comes first in the plan's random order of the
// place's ordinals.
func (r *Router) owner(o Option, order map[string][]int) int {
	for _, ordinal := range order[o.Place] {
		if slices.Contains(o.Owners, ordinal) {
			return ordinal
		}
	}
	ordinal := o.Owners[r.rng.IntN(len(o.Owners))]
	order[o.Place] = append(order[o.Place], ordinal)
	return ordinal
}

// Cost estimates the time until an answer arrives over a path.
func (r *Router) Cost(now time.Time, p Path) time.Duration {
	cost := r.delays[p.Place]
	stats, ok := r.paths[p]
	if !ok {
		return cost + priorLatency
	}
	// Each request in flight is expected to hold the path up by about one
	// latency, shared over the few slots that an owner holds.
	cost += stats.latency + stats.latency*time.Duration(stats.inFlight)/2
	if now.Sub(stats.failedAt) < failureMemory {
		cost += failurePenalty * time.Duration(stats.failures)
	}
	return cost
}

// Sent records that a request went out on a path.
func (r *Router) Sent(p Path) { r.stats(p).inFlight++ }

// Answered records the latency of an answer, without the link's delay.
func (r *Router) Answered(p Path, latency time.Duration) {
	s := r.stats(p)
	s.inFlight = max(0, s.inFlight-1)
	s.failures = 0
	s.latency += time.Duration(ewmaWeight * float64(latency-s.latency))
}

// Failed records a refusal, a lost connection or a missed deadline.
func (r *Router) Failed(now time.Time, p Path) {
	s := r.stats(p)
	s.inFlight = max(0, s.inFlight-1)
	s.failures = min(s.failures+1, maxFailures)
	s.failedAt = now
}

// Canceled records that the answer was no longer wanted after waiting for it
// that long. The wait is a lower bound of the latency.
func (r *Router) Canceled(p Path, waited time.Duration) {
	s := r.stats(p)
	s.inFlight = max(0, s.inFlight-1)
	if waited > s.latency {
		s.latency += time.Duration(ewmaWeight * float64(waited-s.latency))
	}
}

func (r *Router) stats(p Path) *pathStats {
	s, ok := r.paths[p]
	if !ok {
		s = &pathStats{latency: priorLatency}
		r.paths[p] = s
	}
	return s
}
