package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// ewmaWeight is the weight of a new latency sample.
	ewmaWeight = 0.2
	// delayRise and delayFall are the weights of a new sample of a link's delay.
	delayRise, delayFall = 0.1, 0.5
	// priorLatency stands in for the latency of a group without a measurement.
	priorLatency = 5 * time.Millisecond
	// remoteDelay stands in for the round trip to a place that was never
	// measured. It is above that of most links, so that a local replica comes
	// first until a measurement shows otherwise.
	remoteDelay = 10 * time.Millisecond
	// messageCost is added for a branch host that the plan does not use yet,
	// so that a query sends few messages.
	messageCost = 300 * time.Microsecond
	// spread is the largest relative change of a cost at random. Hosts see
	// nearly the same latencies; without it all of them would move to the same
	// replica at the same moment.
	spread = 0.3
	// slotsPerPath stands in for the slots of an owner that are not stated.
	slotsPerPath = 2
	// forgetAfter is the half-life with which an estimate without new samples
	// returns to that of the group's other replicas. A path that is avoided
	// gets no samples and would stay avoided.
	forgetAfter = 2 * time.Second
	// samePlaceCost and sameHostCost make an alternative in another place or
	// through another host preferable, because place and host may be the cause
	// of the delay.
	samePlaceCost = 10 * time.Millisecond
	sameHostCost  = 20 * time.Millisecond
)

// Path is the way to a target: one of its owners.
type Path struct {
	Target  string
	Place   string
	Ordinal int // the owning host's ordinal in the place
}

// Candidate is a target that may answer for a group, with the owners through
// which it can be reached.
type Candidate struct {
	Target string
	Place  string
	Owners []int
	Slots  []int // each owner's share of the target's slots; nil if not known

	paths []*pathStats // by index in Owners, filled by Link
}

// FirstOwnerOnly returns the option with its first owner only.
func (o Candidate) FirstOwnerOnly() Candidate {
	o.Owners, o.paths = o.Owners[:min(1, len(o.Owners))], o.paths[:min(1, len(o.paths))]
	return o
}

// Group is a shard group with its usable targets.
type Group struct {
	ID         string
	Candidates []Candidate
	// Retry says that an attempt was refused: a path that refused before and has
	// not answered since is left to other requests.
	Retry bool
}

// Assignment is the chosen path for a group.
type Assignment struct {
	Group string
	Path  Path
	// Trial is set if the target's last attempts were lost: it is asked to find
	// out whether it answers again. The caller sends a second attempt at once,
	// so that the query does not wait for the trial, or takes an Alternative.
	Trial bool

	stats *pathStats
}

// seat is a branch host.
type seat struct {
	place   string
	ordinal int
}

// Router holds what is known about each path.
type Router struct {
	self    seat
	delays  map[string]time.Duration
	paths   map[Path]*pathStats
	targets map[string]*targetStats
	seats   map[seat]*seatStats
	plans   uint64
	rng     *rand.Rand
	hosts   int
	room    func(target string) bool
}

// NewRouter returns a router for the host with an ordinal in a place.
func NewRouter(place string, ordinal int, rng *rand.Rand) *Router {
	return &Router{
		self: seat{place, ordinal}, delays: map[string]time.Duration{}, paths: map[Path]*pathStats{},
		targets: map[string]*targetStats{}, seats: map[seat]*seatStats{}, rng: rng,
	}
}

// ObserveRoundTrip records the round trip to another host of a place: the time of
// an exchange minus what the host reports as queue and target time.
func (r *Router) ObserveRoundTrip(place string, roundTrip time.Duration) {
	roundTrip = max(roundTrip, 0)
	known, ok := r.delays[place]
	if !ok {
		r.delays[place] = roundTrip
		return
	}
	// The first exchange of a connection holds its handshake and a lost packet
	// holds a retransmission, so a lower sample says more than a higher one.
	weight := delayRise
	if roundTrip < known {
		weight = delayFall
	}
	r.delays[place] = known + time.Duration(weight*float64(roundTrip-known))
}

// RoundTrip returns the estimated round trip to a place's hosts.
func (r *Router) RoundTrip(place string) time.Duration {
	if d, ok := r.delays[place]; ok {
		return d
	}
	if place == r.self.place {
		return messageCost
	}
	return remoteDelay
}

// Prepare resolves the statistics of a group's paths, so that plans with it need
// no lookups. The options must not change afterwards.
func (r *Router) Prepare(g *Group) {
	for i := range g.Candidates {
		r.link(&g.Candidates[i])
	}
}

func (r *Router) link(o *Candidate) {
	o.paths = make([]*pathStats, len(o.Owners))
	for i, ordinal := range o.Owners {
		o.paths[i] = r.stats(Path{o.Target, o.Place, ordinal})
		o.paths[i].first, o.paths[i].slots = i == 0, slotsPerPath
		if i < len(o.Slots) {
			o.paths[i].slots = max(1, o.Slots[i])
		}
	}
}

// Usable reports whether the option with an index may be used for the group
// with an index.
type Usable func(group, option int) bool

// Plan chooses a path for every group that has a usable option and appends the
// choices to plan. A nil usable accepts every option.
func (r *Router) Plan(now time.Time, groups []*Group, usable Usable, plan []Assignment) []Assignment {
	r.plans++
	for i, g := range groups {
		if best := r.best(now, i, g, usable, nil); best != nil {
			best.seat.plan = r.plans
			r.chosen(now, best)
			plan = append(plan, assign(g, best))
		}
	}
	return plan
}

// Choose chooses a path for one group among the options left.
func (r *Router) Choose(now time.Time, g Group) (Assignment, bool) {
	return r.Alternative(now, &g, nil, nil)
}

// Alternative chooses a path for another attempt for a group, preferably in
// another place than the attempts in progress, or else through another host.
func (r *Router) Alternative(now time.Time, g *Group, usable Usable, avoid []Path) (Assignment, bool) {
	r.plans++
	best := r.best(now, 0, g, usable, avoid)
	if best == nil {
		return Assignment{}, false
	}
	r.chosen(now, best)
	return assign(g, best), true
}

func assign(g *Group, s *pathStats) Assignment {
	return Assignment{Group: g.ID, Path: s.path, Trial: s.target.onTrial(), stats: s}
}

// best returns the path with the least cost, an open one if there is any.
func (r *Router) best(now time.Time, index int, g *Group, usable Usable, avoid []Path) *pathStats {
	var best *pathStats
	var bestCost time.Duration
	bestClosed := false
	usual := usualLatency(g, usable, index)
	for i := range g.Candidates {
		o := &g.Candidates[i]
		if usable != nil && !usable(index, i) {
			continue
		}
		if o.paths == nil {
			r.link(o)
		}
		for _, s := range o.paths {
			cost, closed := r.cost(now, s, usual)+avoidCost(s.path, avoid), r.closed(now, s, g.Retry)
			if best == nil || bestClosed && !closed || bestClosed == closed && cost < bestCost {
				best, bestCost, bestClosed = s, cost, closed
			}
		}
	}
	return best
}

// usualLatency returns the least measured latency among a group's paths; it
// stands in for paths without a recent measurement.
func usualLatency(g *Group, usable Usable, index int) time.Duration {
	usual := time.Duration(0)
	for i := range g.Candidates {
		if usable != nil && !usable(index, i) {
			continue
		}
		for _, s := range g.Candidates[i].paths {
			if s.latency > 0 && (usual == 0 || s.latency < usual) {
				usual = s.latency
			}
		}
	}
	if usual == 0 {
		return priorLatency
	}
	return usual
}

func avoidCost(p Path, avoid []Path) time.Duration {
	var cost time.Duration
	for _, a := range avoid {
		if a.Place == p.Place {
			cost += samePlaceCost
			if a.Ordinal == p.Ordinal {
				cost += sameHostCost
			}
		}
	}
	return cost
}

// cost estimates the time until an answer arrives over a path.
func (r *Router) cost(now time.Time, s *pathStats, usual time.Duration) time.Duration {
	cost := time.Duration(0)
	if s.at != r.self {
		cost = r.RoundTrip(s.at.place)
		if s.seat.plan != r.plans {
			cost += messageCost
		}
	}
	// Each request in flight beyond the slots holds the next one up.
	latency := s.estimate(now, usual)
	latency += latency * time.Duration(s.inFlight) / time.Duration(s.slots)
	// Each slot draws: of paths that look alike, one with two slots is chosen
	// twice as often as one with a single slot.
	draw := r.rng.Float64()
	for range s.slots - 1 {
		draw = min(draw, r.rng.Float64())
	}
	latency += time.Duration(spread * (draw - 0.5) * float64(latency))
	return cost + latency + s.penalty(now) + s.target.penalty(now)
}
