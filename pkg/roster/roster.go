package roster

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Retention is how long a silent host still counts in the division of shared
	// limits: it may be running without being heard.
	Retention = 30 * time.Second
	// SettleTime is the time after the start of this host from which the number of
	// hosts in the roster is used as the size of the fleet.
	SettleTime = 3 * time.Second
	// ReaderDelay is the time after its start from which a host of a large fleet may read
	// the store for all: a round of heartbeats. With a watch, which may take a third of the
	// bound on changes, it has to be shorter than the age at which every host reads.
	ReaderDelay = 500 * time.Millisecond
	// AssumedFleetHosts is the smallest size of the fleet assumed before SettleTime,
	// in hosts, while this host may not know all others.
	AssumedFleetHosts = 64
)

// State is what a host reports about itself.
type State struct {
	Name          string `cbor:"1,keyasint"`
	Incarnation   int64  `cbor:"2,keyasint"` // increases with each start of the host
	Sequence      uint64 `cbor:"3,keyasint"` // increases with each message of the incarnation
	Place         string `cbor:"4,keyasint"`
	CallerAddress string `cbor:"5,keyasint"` // address for callers
	PeerAddress   string `cbor:"6,keyasint"` // address for state exchange
	GossipAddress string `cbor:"7,keyasint"` // address for heartbeats
	Ready         bool   `cbor:"8,keyasint"`
	Leaving       bool   `cbor:"9,keyasint"`
	Revision      uint64 `cbor:"10,keyasint"` // of the store, up to which the host has all changes
	// ConfirmedAge is the time in milliseconds, when the state is sent, since the
	// store last confirmed that Revision is the latest.
	ConfirmedAge int64 `cbor:"11,keyasint"`
	// Capacity is the largest rate of the host in sends to targets per second; Load
	// is the fraction of Capacity in use.
	Capacity float64 `cbor:"13,keyasint"`
	Load     float64 `cbor:"14,keyasint"`
	// KnownHosts is the number of hosts that the host knows of, itself included.
	KnownHosts int `cbor:"15,keyasint,omitempty"`
	// Era is that of Revision, and ConfigVersion that of the configuration in force; see
	// package published.
	Era           uint64 `cbor:"16,keyasint,omitempty"`
	ConfigVersion uint64 `cbor:"17,keyasint,omitempty"`
	// RolledBack is set for a while after the store came back from an older copy: the host
	// knows of writes that were lost.
	RolledBack bool `cbor:"18,keyasint,omitempty"`
	// Age is the time in milliseconds since this state left its host, when it is
	// relayed; 0 in the sender's own state.
	Age int64 `cbor:"12,keyasint"`
}

// newer reports whether s replaces another state of the same host.
func (s *State) newer(o *State) bool {
	if s.Incarnation != o.Incarnation {
		return s.Incarnation > o.Incarnation
	}
	return s.Sequence > o.Sequence
}

// Host is the roster's entry for another host.
type Host struct {
	State
	StateSentAt  time.Time // when State was sent, by this host's clock
	LastSentAt   time.Time // when the latest message known of was sent, by this host's clock
	lastSequence uint64    // highest sequence known of
}

// Liveness is a liveness record: it tells a receiver that has the state of a host
// that the host was alive at a later time, without sending the state again.
type Liveness struct {
	_ struct{} `cbor:",toarray"`
	// Key is a hash of the name and incarnation of the host. In two of ten thousand
	// fleets of 1,300 hosts, two hosts have the same key. One of them then counts as
	// alive for as long as the other is alive.
	Key      uint32
	Sequence uint64
	Age      int64 // time since the message with Sequence was sent, in milliseconds
}

// processKey returns the Key of liveness records of an incarnation of a host.
func processKey(name string, incarnation int64) uint32 {
	h := xxhash.New()
	_, _ = h.WriteString(name) // writing to a hash never fails
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(incarnation)))
	return uint32(h.Sum64())
}

// Roster is the membership table: the other hosts that were heard of, directly or
// through others.
type Roster struct {
	self    string
	place   string
	started time.Time
	hosts   map[string]*Host
	byKey   map[uint32]*Host
}

// New returns the empty roster of the host self in a place, started now.
func New(self, place string, now time.Time) *Roster {
	return &Roster{self: self, place: place, started: now, hosts: map[string]*Host{}, byKey: map[uint32]*Host{}}
}

// Observe records a state that arrived now, and reports whether the state is
// newer than the one in the roster. States of this host and those older than
// Retention are ignored.
func (r *Roster) Observe(now time.Time, s State) bool {
	if s.Name == "" || s.Name == r.self || s.Age < 0 || time.Duration(s.Age)*time.Millisecond > Retention {
		return false
	}
	sentAt := now.Add(-time.Duration(s.Age) * time.Millisecond)
	h, ok := r.hosts[s.Name]
	switch {
	case !ok:
		h = &Host{}
		r.hosts[s.Name] = h
	case !s.newer(&h.State):
		return false
	case s.Incarnation != h.Incarnation:
		delete(r.byKey, processKey(h.Name, h.Incarnation))
		h.lastSequence = 0
	}
	h.State, h.StateSentAt = s, sentAt
	r.byKey[processKey(s.Name, s.Incarnation)] = h
	h.recordLiveness(s.Sequence, sentAt)
	return true
}

// recordLiveness records that the host sent a message at a time.
func (h *Host) recordLiveness(sequence uint64, at time.Time) {
	h.lastSequence = max(h.lastSequence, sequence)
	if at.After(h.LastSentAt) {
		h.LastSentAt = at
	}
}

// ObserveLiveness records a liveness record that arrived now. A record of a host
// or incarnation that is not in the roster is ignored.
func (r *Roster) ObserveLiveness(now time.Time, l Liveness) {
	if h, ok := r.byKey[l.Key]; ok && l.Age >= 0 && l.Sequence > h.lastSequence {
		h.recordLiveness(l.Sequence, now.Add(-time.Duration(l.Age)*time.Millisecond))
	}
}

// IsAlive reports whether the latest known message of a host was sent within the
// failure timeout of its place.
func (r *Roster) IsAlive(now time.Time, h *Host) bool {
	params := r.HeartbeatParams()
	if h.Place == r.place {
		return now.Sub(h.LastSentAt) < params.FailureTimeout
	}
	return now.Sub(h.LastSentAt) < params.FarFailureTimeout
}

// HasSeen reports whether the incarnation that a state describes, or a later one
// of that host, is in the roster. It is true for this host itself.
func (r *Roster) HasSeen(s State) bool {
	if s.Name == r.self {
		return true
	}
	h, ok := r.hosts[s.Name]
	return ok && h.Incarnation >= s.Incarnation
}

// Forget drops the hosts whose latest known message was sent longer than Retention
// ago.
func (r *Roster) Forget(now time.Time) {
	for name, h := range r.hosts {
		if now.Sub(h.LastSentAt) > Retention {
			delete(r.hosts, name)
			delete(r.byKey, processKey(h.Name, h.Incarnation))
		}
	}
}

// Alive returns the hosts that are alive, in the order of their names.
func (r *Roster) Alive(now time.Time) []*Host {
	alive := make([]*Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		if r.IsAlive(now, h) {
			alive = append(alive, h)
		}
	}
	slices.SortFunc(alive, func(a, b *Host) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// Find returns another host by its name, or nil if it is not in the roster.
func (r *Roster) Find(name string) *Host { return r.hosts[name] }

// Known returns all hosts of the roster, silent ones included, in the order of
// their names.
func (r *Roster) Known() []*Host {
	known := make([]*Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		known = append(known, h)
	}
	slices.SortFunc(known, func(a, b *Host) int { return cmp.Compare(a.Name, b.Name) })
	return known
}

// FleetSize returns the number of hosts that may be running, this one included,
// and how many of them are in this host's place. Before SettleTime the first is at
// least AssumedFleetHosts.
func (r *Roster) FleetSize(now time.Time) (all, here int) {
	all, here = 1, 1
	for _, h := range r.hosts {
		all++
		if h.Place == r.place {
			here++
		}
	}
	if now.Sub(r.started) < SettleTime {
		all = max(all, AssumedFleetHosts)
	}
	return all, here
}

// Shares returns the fractions of shared limits that this host, with the given
// capacity in sends per second, may use: of the limits of the fleet and of those
// of its place. Over hosts that know the same fleet the fractions add up to at
// most 1. Large hosts, to which callers are sent, get most of a limit.
func (r *Roster) Shares(now time.Time, capacity float64) (fleet, place float64) {
	largest := map[string]float64{r.place: capacity}
	for _, h := range r.hosts {
		largest[h.Place] = max(largest[h.Place], h.Capacity)
	}
	isLarge := func(in string, c float64) bool { return c >= LargeCapacityRatio*largest[in] }
	var all, here [2]int // large and small hosts
	count := func(in string, c float64) {
		class := 1
		if isLarge(in, c) {
			class = 0
		}
		all[class]++
		if in == r.place {
			here[class]++
		}
	}
	count(r.place, capacity)
	for _, h := range r.hosts {
		count(h.Place, h.Capacity)
	}
	if missing := AssumedFleetHosts - all[0] - all[1]; now.Sub(r.started) < SettleTime && missing > 0 {
		all[0] += missing
		here[0] += missing
	}
	large := isLarge(r.place, capacity)
	return hostShare(large, all), hostShare(large, here)
}

// Owns reports whether this host is one of the given number of owners of a target
// in a place. The owners are the hosts of the place, or of all places if that one
// has no hosts, that rank highest by rendezvous hashing of their names with the
// target's.
func (r *Roster) Owns(target, place string, owners int) bool {
	inPlace := r.place == place
	for _, h := range r.hosts {
		inPlace = inPlace || h.Place == place
	}
	if inPlace && r.place != place {
		return false
	}
	weight := func(name string) uint64 { return xxhash.Sum64String(name + "\x00" + target) }
	own, higher := weight(r.self), 0
	for _, h := range r.hosts {
		if (!inPlace || h.Place == place) && weight(h.Name) > own {
			higher++
		}
	}
	return higher < owners
}

// LargeCapacityRatio is the fraction of the largest capacity in a place from which
// a host counts as large.
const LargeCapacityRatio = 0.5

// largeHostsShare is the fraction of a limit that the large hosts divide among
// themselves if there are small ones.
const largeHostsShare = 0.75

// hostShare returns the fraction of a limit for one host, given the numbers of
// large and of small hosts.
func hostShare(large bool, counts [2]int) float64 {
	switch {
	case counts[1] == 0:
		return 1 / float64(counts[0])
	case large:
		return largeHostsShare / float64(counts[0])
	default:
		return (1 - largeHostsShare) / float64(counts[1])
	}
}

// Sample returns what a heartbeat relays, chosen at random with ages as of now: at
// most the given number of states of hosts that are alive, and liveness records of
// at most the given numbers of hosts of this place and of other places. Two thirds
// of the states are of this place, to whose hosts local callers are sent. Besides, it relays
// the given number of states of large hosts, which get most callers once they are known.
func (r *Roster) Sample(now time.Time, states, large, nearLiveness, farLiveness int, rng *rand.Rand) ([]State, []Liveness) {
	near, far := r.shuffled(now, rng)
	fromFar := min(len(far), max(states/3, states-len(near)))
	fromNear := min(len(near), states-fromFar)
	chosen := slices.Concat(near[:fromNear], far[:fromFar])
	if extra := slices.Concat(near[fromNear:], far[fromFar:]); large > 0 && len(extra) > 0 {
		rng.Shuffle(len(extra), func(i, j int) { extra[i], extra[j] = extra[j], extra[i] })
		chosen = append(chosen, r.largeFirst(extra, large)[:min(large, len(extra))]...)
	}
	var liveness []Liveness
	for _, h := range slices.Concat(near[:min(len(near), nearLiveness)], far[:min(len(far), farLiveness)]) {
		liveness = append(liveness, Liveness{Key: processKey(h.Name, h.Incarnation), Sequence: h.lastSequence, Age: now.Sub(h.LastSentAt).Milliseconds()})
	}
	return relayedStates(now, chosen), liveness
}

// KnowsFew reports whether a host that sent its state knows less than half of the hosts that
// this one knows. Others may not know it either, so that it gets no heartbeats; it is
// answered until it knows enough.
func (r *Roster) KnowsFew(s State) bool {
	return s.KnownHosts > 0 && 2*s.KnownHosts < r.Size()
}

// SampleForReply returns what a reply to a host of a place that knows few others relays: at
// most the given number of states of hosts that are alive, half of them of large hosts, and
// those of the place first. A host that knows no large ones directs callers to small ones.
func (r *Roster) SampleForReply(now time.Time, place string, states int, rng *rand.Rand) []State {
	near, far := r.shuffled(now, rng)
	all := slices.Concat(near, far)
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	there := slices.DeleteFunc(slices.Clone(all), func(h *Host) bool { return h.Place != place })
	elsewhere := slices.DeleteFunc(all, func(h *Host) bool { return h.Place == place })
	chosen := r.largeFirst(slices.Concat(there, elsewhere), (states+1)/2)
	return relayedStates(now, chosen[:min(states, len(chosen))])
}

// largeFirst returns hosts in their order, but with up to count large ones first.
func (r *Roster) largeFirst(hosts []*Host, count int) []*Host {
	largest := map[string]float64{}
	for _, h := range r.hosts {
		largest[h.Place] = max(largest[h.Place], h.Capacity)
	}
	first := make([]*Host, 0, len(hosts))
	var others []*Host
	for _, h := range hosts {
		if len(first) < count && h.Capacity >= LargeCapacityRatio*largest[h.Place] {
			first = append(first, h)
		} else {
			others = append(others, h)
		}
	}
	return append(first, others...)
}

// relayedStates returns the states of hosts with ages as of now.
func relayedStates(now time.Time, hosts []*Host) []State {
	var relayed []State
	for _, h := range hosts {
		s := h.State
		age := now.Sub(h.StateSentAt).Milliseconds()
		s.ConfirmedAge += age - s.Age
		s.Age = age
		relayed = append(relayed, s)
	}
	return relayed
}

// shuffled returns the hosts of this place and of other places that are alive, in
// random order.
func (r *Roster) shuffled(now time.Time, rng *rand.Rand) (near, far []*Host) {
	alive := r.Alive(now)
	rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	for _, h := range alive {
		if h.Place == r.place {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	return near, far
}

// ReadsStore reports whether this host is one of the given number that read the
// store on behalf of all: those whose names have the highest hashes among the
// hosts that are alive and not leaving.
//
// In a large fleet a host that has just started knows few others, so that nearly all hosts
// would count themselves as readers after a restart of all. Until ReaderDelay after its
// start it reads only what the age of its state requires.
func (r *Roster) ReadsStore(now time.Time, readers int) bool {
	return r.ReaderRank(now) < readers
}

// ReaderRank returns the number of hosts that read the store before this one; see ReadsStore.
func (r *Roster) ReaderRank(now time.Time) int {
	if now.Sub(r.started) < ReaderDelay && r.HeardHosts() > FullMeshHosts {
		return math.MaxInt
	}
	own := xxhash.Sum64String(r.self)
	higher := 0
	for _, h := range r.hosts {
		if r.IsAlive(now, h) && !h.Leaving && xxhash.Sum64String(h.Name) > own {
			higher++
		}
	}
	return higher
}
