package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// ewmaWeight is the weight of a new sample in the moving averages of latency.
	ewmaWeight = 0.2
	// rttRiseWeight and rttFallWeight are the weights of a round-trip sample
	// above and below the estimate.
	rttRiseWeight, rttFallWeight = 0.1, 0.5
	// defaultLatency is assumed for a group without a measurement.
	defaultLatency = 5 * time.Millisecond
	// defaultRemoteRTT is assumed for a remote place without a measurement. It
	// exceeds the round trip of most links, so that local replicas are preferred
	// until a measurement shows otherwise.
	defaultRemoteRTT = 10 * time.Millisecond
	// messageCost is added for another branch host that the plan does not use
	// yet, so that a query sends few messages. It is also the round trip assumed
	// to a host of this place without a measurement.
	messageCost = 300 * time.Microsecond
	// costJitter is the width of the random relative change of a latency, up to
	// half of it in either direction. Hosts see nearly the same latencies;
	// without jitter they would all move to the same replica at the same moment.
	costJitter = 0.3
	// defaultSlots is assumed for an owner whose number of slots is not known.
	defaultSlots = 2
	// estimateHalfLife is the half-life with which a latency estimate without new
	// samples decays to the lowest one of the group. Without the decay, a path
	// that is avoided would get no samples and stay avoided.
	estimateHalfLife = 2 * time.Second
	// samePlaceCost and sameHostCost are added to alternatives in the place and
	// through the host of an attempt in progress, because the place or the host
	// may be the cause of the delay.
	samePlaceCost = 10 * time.Millisecond
	sameHostCost  = 20 * time.Millisecond
)

// Path is a route to a target through one of its owners.
type Path struct {
	Target  string
	Place   string
	Ordinal int // ordinal of the owning host within Place
}

// Candidate is a target that may answer for a group, with the owners through
// which it can be reached.
type Candidate struct {
	Target string
	Place  string
	Owners []int // ordinals of the live owners, by rank
	Slots  []int // share of the target's slots by index in Owners; nil if not known

	paths []*pathStats // by index in Owners, set by Prepare
}

// FirstOwnerOnly returns the candidate restricted to its first owner, the live one
// of the lowest rank number.
func (c Candidate) FirstOwnerOnly() Candidate {
	c.Owners, c.paths = c.Owners[:min(1, len(c.Owners))], c.paths[:min(1, len(c.paths))]
	return c
}

// Group is a shard group with its usable targets.
type Group struct {
	ID         string
	Candidates []Candidate
	// Retry is set after an attempt was refused. Paths that refused and have not
	// answered since are then avoided.
	Retry bool
}

// Assignment is the chosen path for a group.
type Assignment struct {
	Group string
	Path  Path
	// Trial is set if the target's last attempts were lost, that is canceled because
	// another attempt answered first, and this request is to find out whether the
	// target answers again. The caller either sends a second attempt
	// at once, so that the query does not wait for the trial, or uses an
	// Alternative instead.
	Trial bool

	stats *pathStats
}

// hostKey identifies a branch host.
type hostKey struct {
	place   string
	ordinal int
}

// Router chooses paths by estimated latency and records the outcome of requests.
// It is not safe for concurrent use.
type Router struct {
	self        hostKey
	roundTrips  map[string]time.Duration
	paths       map[Path]*pathStats
	targets     map[string]*targetStats
	hosts       map[hostKey]*hostStats
	planCount   uint64
	rng         *rand.Rand
	hostCount   int
	hasFreeSlot func(target string) bool
}

// NewRouter returns a router for the host with the given place and ordinal. rng
// is the source of jitter.
func NewRouter(place string, ordinal int, rng *rand.Rand) *Router {
	return &Router{
		self: hostKey{place, ordinal}, roundTrips: map[string]time.Duration{}, paths: map[Path]*pathStats{},
		targets: map[string]*targetStats{}, hosts: map[hostKey]*hostStats{}, rng: rng,
	}
}

// ObserveRoundTrip records a round trip to another host of a place: the duration
// of an exchange minus the queue and service time that the host reported.
// Negative values count as 0.
func (r *Router) ObserveRoundTrip(place string, roundTrip time.Duration) {
	roundTrip = max(roundTrip, 0)
	known, ok := r.roundTrips[place]
	if !ok {
		r.roundTrips[place] = roundTrip
		return
	}
	// Higher samples weigh less than lower ones, because the first exchange of a
	// connection includes the handshake and a lost packet a retransmission.
	weight := rttRiseWeight
	if roundTrip < known {
		weight = rttFallWeight
	}
	r.roundTrips[place] = known + time.Duration(weight*float64(roundTrip-known))
}

// RoundTrip returns the estimated round-trip time to the other hosts of a place.
// Without a measurement it assumes a short one in this place and a longer one to
// another place.
func (r *Router) RoundTrip(place string) time.Duration {
	if d, ok := r.roundTrips[place]; ok {
		return d
	}
	if place == r.self.place {
		return messageCost
	}
	return defaultRemoteRTT
}

// Prepare looks up the statistics of a group's paths once, so that plans for the
// group need no map lookups. Its candidates must not change afterwards.
func (r *Router) Prepare(g *Group) {
	for i := range g.Candidates {
		r.prepare(&g.Candidates[i])
	}
}

func (r *Router) prepare(c *Candidate) {
	c.paths = make([]*pathStats, len(c.Owners))
	for i, ordinal := range c.Owners {
		c.paths[i] = r.stats(Path{c.Target, c.Place, ordinal})
		c.paths[i].firstOwner, c.paths[i].slots = i == 0, defaultSlots
		if i < len(c.Slots) {
			c.paths[i].slots = max(1, c.Slots[i])
		}
	}
}

// Usable reports whether a candidate may be used. Both arguments are indexes:
// that of the group in the plan's groups, and that of the candidate in the group.
type Usable func(group, candidate int) bool

// Plan chooses a path for every group that has a usable candidate and appends
// the choices to plan. A nil usable accepts every candidate. The caller reports
// the requests that it sends with SentAll or Sent.
func (r *Router) Plan(now time.Time, groups []*Group, usable Usable, plan []Assignment) []Assignment {
	r.planCount++
	for i, g := range groups {
		if best := r.best(now, i, g, usable, nil); best != nil {
			best.host.lastPlan = r.planCount
			r.recordChoice(now, best)
			plan = append(plan, assign(g, best))
		}
	}
	return plan
}

// Choose chooses a path for one group among all its candidates. It returns false
// if there are none.
func (r *Router) Choose(now time.Time, g Group) (Assignment, bool) {
	return r.Alternative(now, &g, nil, nil)
}

// Alternative chooses a path for another attempt for a group, preferably in
// another place than the attempts inProgress, or else through another host. usable
// is called with group index 0. Alternative returns false if no candidate is
// usable.
func (r *Router) Alternative(now time.Time, g *Group, usable Usable, inProgress []Path) (Assignment, bool) {
	r.planCount++
	best := r.best(now, 0, g, usable, inProgress)
	if best == nil {
		return Assignment{}, false
	}
	r.recordChoice(now, best)
	return assign(g, best), true
}

func assign(g *Group, s *pathStats) Assignment {
	return Assignment{Group: g.ID, Path: s.path, Trial: s.target.needsTrial(), stats: s}
}

// best returns the path with the lowest cost, among those that need not be avoided
// (see avoided) if there are any. Paths that share a place or host with the attempts
// inProgress cost more. It returns nil if no candidate is usable.
func (r *Router) best(now time.Time, index int, g *Group, usable Usable, inProgress []Path) *pathStats {
	var best *pathStats
	var bestCost time.Duration
	bestAvoided := false
	baseline := baselineLatency(g, usable, index)
	for i := range g.Candidates {
		c := &g.Candidates[i]
		if usable != nil && !usable(index, i) {
			continue
		}
		if c.paths == nil {
			r.prepare(c)
		}
		for _, s := range c.paths {
			cost, avoided := r.cost(now, s, baseline)+sharedPlaceCost(s.path, inProgress), r.avoided(now, s, g.Retry)
			if best == nil || bestAvoided && !avoided || bestAvoided == avoided && cost < bestCost {
				best, bestCost, bestAvoided = s, cost, avoided
			}
		}
	}
	return best
}

// baselineLatency returns the lowest measured latency among a group's paths,
// which is assumed for paths without a recent measurement. It returns
// defaultLatency if no path is measured or the group is not prepared yet.
func baselineLatency(g *Group, usable Usable, index int) time.Duration {
	baseline := time.Duration(0)
	for i := range g.Candidates {
		if usable != nil && !usable(index, i) {
			continue
		}
		for _, s := range g.Candidates[i].paths {
			if s.latency > 0 && (baseline == 0 || s.latency < baseline) {
				baseline = s.latency
			}
		}
	}
	if baseline == 0 {
		return defaultLatency
	}
	return baseline
}

// sharedPlaceCost returns the cost added to a path for the attempts inProgress in its
// place and through its host.
func sharedPlaceCost(p Path, inProgress []Path) time.Duration {
	var cost time.Duration
	for _, a := range inProgress {
		if a.Place == p.Place {
			cost += samePlaceCost
			if a.Ordinal == p.Ordinal {
				cost += sameHostCost
			}
		}
	}
	return cost
}

// cost estimates the time until an answer arrives over a path, with penalties
// for recent failures and losses. baseline is that of baselineLatency.
func (r *Router) cost(now time.Time, s *pathStats, baseline time.Duration) time.Duration {
	cost := time.Duration(0)
	if s.hostKey != r.self {
		cost = r.RoundTrip(s.hostKey.place)
		if s.host.lastPlan != r.planCount {
			cost += messageCost
		}
	}
	// Requests in flight delay the next one in proportion to their number per slot.
	latency := s.estimate(now, baseline)
	latency += latency * time.Duration(s.inFlight) / time.Duration(s.slots)
	// The jitter is the minimum of one random number per slot, so that among
	// paths of equal cost one with two slots is chosen twice as often as one with
	// a single slot.
	jitter := r.rng.Float64()
	for range s.slots - 1 {
		jitter = min(jitter, r.rng.Float64())
	}
	latency += time.Duration(costJitter * (jitter - 0.5) * float64(latency))
	return cost + latency + s.penalty(now) + s.target.penalty(now)
}
