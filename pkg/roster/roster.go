package roster

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Retention is how long a host that is gone still counts for the division of
	// shared limits: it may run unheard.
	Retention = 30 * time.Second
	// SettleTime is the time after the start from which the number of hosts heard of
	// is taken for the size of the fleet.
	SettleTime = 3 * time.Second
	// AssumedFleetHosts is the size assumed before that.
	AssumedFleetHosts = 64
)

// State is what a host says of itself.
type State struct {
	Name          string `cbor:"1,keyasint"`
	Incarnation   int64  `cbor:"2,keyasint"` // grows with each start of the host
	Sequence      uint64 `cbor:"3,keyasint"` // grows with each message
	Place         string `cbor:"4,keyasint"`
	CallerAddress string `cbor:"5,keyasint"` // address for callers
	PeerAddress   string `cbor:"6,keyasint"` // address for state exchange
	GossipAddress string `cbor:"7,keyasint"` // address for heartbeats
	Ready         bool   `cbor:"8,keyasint"`
	Leaving       bool   `cbor:"9,keyasint"`
	Revision      uint64 `cbor:"10,keyasint"` // of the store, up to which it knows all changes
	// ConfirmedAge is how long before sending the store confirmed that nothing is
	// newer, in milliseconds.
	ConfirmedAge int64 `cbor:"11,keyasint"`
	// Capacity is what the host can carry, in sends to targets per second, and Load
	// the fraction of it in use.
	Capacity float64 `cbor:"13,keyasint"`
	Load     float64 `cbor:"14,keyasint"`
	// Age is how long before sending this state was heard, in milliseconds; 0 for
	// the sender's own.
	Age int64 `cbor:"12,keyasint"`
}

// newer reports whether a state replaces another of the same host.
func (s *State) newer(o *State) bool {
	if s.Incarnation != o.Incarnation {
		return s.Incarnation > o.Incarnation
	}
	return s.Sequence > o.Sequence
}

// Host is what is known of a host.
type Host struct {
	State
	StateSentAt time.Time // when the state was sent, by this host's clock
	LastHeard   time.Time // last sign of life
	last        uint64    // sequence of that
}

// Liveness is a sign of life of a host whose state the receiver has.
type Liveness struct {
	_ struct{} `cbor:",toarray"`
	// Key stands for the name and the start of the host. Two of 1,300 hosts have the
	// same in two fleets of ten thousand; the one then seems to live as long as the
	// other does.
	Key      uint32
	Sequence uint64
	Age      int64 // since it was sent, in milliseconds
}

// key returns the key of a process of a host.
func key(name string, incarnation int64) uint32 {
	h := xxhash.New()
	_, _ = h.WriteString(name) // a hash never fails
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(incarnation)))
	return uint32(h.Sum64())
}

// Roster holds the hosts that were heard of, this one not included.
type Roster struct {
	self  string
	place string
	began time.Time
	hosts map[string]*Host
	keys  map[uint32]*Host
}

// New returns a roster of the host with a name in a place.
func New(self, place string, now time.Time) *Roster {
	return &Roster{self: self, place: place, began: now, hosts: map[string]*Host{}, keys: map[uint32]*Host{}}
}

// Observe takes a state that arrived now. It returns true if it is news.
func (r *Roster) Observe(now time.Time, s State) bool {
	if s.Name == "" || s.Name == r.self || s.Age < 0 || time.Duration(s.Age)*time.Millisecond > Retention {
		return false
	}
	heard := now.Add(-time.Duration(s.Age) * time.Millisecond)
	h, ok := r.hosts[s.Name]
	switch {
	case !ok:
		h = &Host{}
		r.hosts[s.Name] = h
	case !s.newer(&h.State):
		return false
	case s.Incarnation != h.Incarnation:
		delete(r.keys, key(h.Name, h.Incarnation))
		h.last = 0
	}
	h.State, h.StateSentAt = s, heard
	r.keys[key(s.Name, s.Incarnation)] = h
	h.sign(s.Sequence, heard)
	return true
}

// sign records a sign of life.
func (h *Host) sign(sequence uint64, at time.Time) {
	h.last = max(h.last, sequence)
	if at.After(h.LastHeard) {
		h.LastHeard = at
	}
}

// ObserveLiveness takes a sign of life that arrived now. One of a host that is not known is
// ignored.
func (r *Roster) ObserveLiveness(now time.Time, p Liveness) {
	if h, ok := r.keys[p.Key]; ok && p.Age >= 0 && p.Sequence > h.last {
		h.sign(p.Sequence, now.Add(-time.Duration(p.Age)*time.Millisecond))
	}
}

// IsAlive reports whether there was news of a host lately.
func (r *Roster) IsAlive(now time.Time, h *Host) bool {
	pace := r.HeartbeatParams()
	if h.Place == r.place {
		return now.Sub(h.LastHeard) < pace.FailureTimeout
	}
	return now.Sub(h.LastHeard) < pace.FarFailureTimeout
}

// HasSeen reports whether the process that a state describes was heard of before, or
// is this host itself.
func (r *Roster) HasSeen(s State) bool {
	if s.Name == r.self {
		return true
	}
	h, ok := r.hosts[s.Name]
	return ok && h.Incarnation >= s.Incarnation
}

// Forget drops the hosts that were gone for long.
func (r *Roster) Forget(now time.Time) {
	for name, h := range r.hosts {
		if now.Sub(h.LastHeard) > Retention {
			delete(r.hosts, name)
			delete(r.keys, key(h.Name, h.Incarnation))
		}
	}
}

// Alive returns the hosts heard of lately, in the order of their names.
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

// Known returns all hosts that are remembered, in the order of their names.
func (r *Roster) Known() []*Host {
	known := make([]*Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		known = append(known, h)
	}
	slices.SortFunc(known, func(a, b *Host) int { return cmp.Compare(a.Name, b.Name) })
	return known
}

// FleetSize returns the number of hosts that may be running, this one included, and
// how many of them are in its place.
func (r *Roster) FleetSize(now time.Time) (all, here int) {
	all, here = 1, 1
	for _, h := range r.hosts {
		all++
		if h.Place == r.place {
			here++
		}
	}
	if now.Sub(r.began) < SettleTime {
		all = max(all, AssumedFleetHosts)
	}
	return all, here
}

// Shares returns the parts of limits that all hosts share which this host, with
// the given capacity, may use: of limits of the fleet, and of those of its place.
// Hosts that know the same fleet use no more than the whole. Large hosts, to which
// callers are sent, get most.
func (r *Roster) Shares(now time.Time, capacity float64) (fleet, place float64) {
	largest := map[string]float64{r.place: capacity}
	for _, h := range r.hosts {
		largest[h.Place] = max(largest[h.Place], h.Capacity)
	}
	isLarge := func(in string, c float64) bool { return c >= LargeCapacityRatio*largest[in] }
	var all, here [2]int // large and small hosts
	count := func(in string, c float64) {
		kind := 1
		if isLarge(in, c) {
			kind = 0
		}
		all[kind]++
		if in == r.place {
			here[kind]++
		}
	}
	count(r.place, capacity)
	for _, h := range r.hosts {
		count(h.Place, h.Capacity)
	}
	if missing := AssumedFleetHosts - all[0] - all[1]; now.Sub(r.began) < SettleTime && missing > 0 {
		all[0] += missing
		here[0] += missing
	}
	large := isLarge(r.place, capacity)
	return part(large, all), part(large, here)
}

// Owns reports whether this host is one of the given number of hosts of a place,
// or of all hosts if the place has none, that are responsible for a target: those
// whose names and the target's have the highest hashes together.
func (r *Roster) Owns(target, place string, owners int) bool {
	inPlace := r.place == place
	for _, h := range r.hosts {
		inPlace = inPlace || h.Place == place
	}
	if inPlace && r.place != place {
		return false
	}
	rank := func(name string) uint64 { return xxhash.Sum64String(name + "\x00" + target) }
	mine, higher := rank(r.self), 0
	for _, h := range r.hosts {
		if (!inPlace || h.Place == place) && rank(h.Name) > mine {
			higher++
		}
	}
	return higher < owners
}

// LargeCapacityRatio is the fraction of the largest capacity in a place from which a host
// counts as large.
const LargeCapacityRatio = 0.5

// largePart is the part of a limit that the large hosts get if there are small
// ones.
const largePart = 0.75

// part returns the share of one host among the given numbers of large and small
// ones.
func part(large bool, counts [2]int) float64 {
	switch {
	case counts[1] == 0:
		return 1 / float64(counts[0])
	case large:
		return largePart / float64(counts[0])
	default:
		return (1 - largePart) / float64(counts[1])
	}
}

// Sample returns the states to pass on with a heartbeat, at most states of them,
// and signs of life of at most the given numbers of hosts of this place and of
// others, all with their ages. Two thirds of the states are of this place, whose
// hosts callers here are sent to.
func (r *Roster) Sample(now time.Time, states, nearPulses, farPulses int, rng *rand.Rand) ([]State, []Liveness) {
	near, far := r.shuffled(now, rng)
	fromFar := min(len(far), max(states/3, states-len(near)))
	var passed []State
	for _, h := range slices.Concat(near[:min(len(near), states-fromFar)], far[:fromFar]) {
		s := h.State
		age := now.Sub(h.StateSentAt).Milliseconds()
		s.ConfirmedAge += age - s.Age
		s.Age = age
		passed = append(passed, s)
	}
	var pulses []Liveness
	for _, h := range slices.Concat(near[:min(len(near), nearPulses)], far[:min(len(far), farPulses)]) {
		pulses = append(pulses, Liveness{Key: key(h.Name, h.Incarnation), Sequence: h.last, Age: now.Sub(h.LastHeard).Milliseconds()})
	}
	return passed, pulses
}

// shuffled returns the hosts heard of lately, of this place and of others, in a
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
// store for all: those whose names have the highest hashes among the hosts that
// live and take callers.
func (r *Roster) ReadsStore(now time.Time, readers int) bool {
	mine := xxhash.Sum64String(r.self)
	higher := 0
	for _, h := range r.hosts {
		if r.IsAlive(now, h) && !h.Leaving && xxhash.Sum64String(h.Name) > mine {
			higher++
		}
	}
	return higher < readers
}
