package roster

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// HeartbeatParams sets how often and to how many hosts heartbeats are sent, and
// after how long a silence a host counts as dead. Most heartbeats stay in the
// place: traffic between places is expensive, and callers of a place are sent to
// its own hosts, whose state therefore has to be the most recent.
type HeartbeatParams struct {
	Interval time.Duration // between two heartbeats
	// NearFanout and FarFanout are the numbers of hosts of the same place and of
	// other places that get a heartbeat. A NearFanout of 0 sends it to all hosts.
	// Every FarEvery-th heartbeat goes to other places as well.
	NearFanout, FarFanout, FarEvery int
	// States is the largest number of states of other hosts in a heartbeat, LargeStates that
	// of further states of large hosts;
	// NearLiveness and FarLiveness are the largest numbers of liveness records of
	// hosts of the same place and of other places.
	States, LargeStates, NearLiveness, FarLiveness int
	// FailureTimeout and FarFailureTimeout are the silences after which a host of the
	// same place, and of another place, counts as dead.
	FailureTimeout, FarFailureTimeout time.Duration
}

const (
	// FullMeshHosts is the largest number of hosts with which each host sends its
	// heartbeats to all others.
	FullMeshHosts = 16
	// HugeFleetHosts is the number of hosts beyond which heartbeats are less frequent,
	// so that a host sends less than 4 KB/s of control traffic.
	HugeFleetHosts = 400
	// FailureTimeout is the silence after which a host counts as dead: five heartbeat
	// intervals. On a link that drops one heartbeat in a thousand, five in a row are
	// hardly ever lost.
	FailureTimeout = 2500 * time.Millisecond
	// FarFailureTimeout is the timeout for hosts of other places in a fleet of more than
	// FullMeshHosts, whose state arrives through intermediate hosts.
	FarFailureTimeout = 5 * time.Second
	// HugeFleetFailureTimeout is the timeout for all hosts of a fleet of more than
	// HugeFleetHosts. Callers may get the address of a dead host for some seconds.
	HugeFleetFailureTimeout = 6 * time.Second
)

// HeartbeatParamsFor returns the parameters for a fleet of the given number of
// hosts.
func HeartbeatParamsFor(hosts int) HeartbeatParams {
	switch {
	case hosts <= FullMeshHosts:
		return HeartbeatParams{Interval: 500 * time.Millisecond, FarEvery: 1, States: 11, FailureTimeout: FailureTimeout, FarFailureTimeout: FailureTimeout}
	case hosts <= HugeFleetHosts:
		return HeartbeatParams{Interval: 500 * time.Millisecond, NearFanout: 5, FarFanout: 1, FarEvery: 1,
			States: 3, LargeStates: 2, NearLiveness: 40, FarLiveness: 20, FailureTimeout: FailureTimeout, FarFailureTimeout: FarFailureTimeout}
	default:
		return HeartbeatParams{Interval: time.Second, NearFanout: 2, FarFanout: 1, FarEvery: 2,
			States: 1, NearLiveness: 60, FarLiveness: 5, FailureTimeout: HugeFleetFailureTimeout, FarFailureTimeout: HugeFleetFailureTimeout}
	}
}

// HeartbeatParams returns the parameters for the number of hosts in the roster,
// this host included.
func (r *Roster) HeartbeatParams() HeartbeatParams { return HeartbeatParamsFor(len(r.hosts) + 1) }

// Receivers returns the hosts to which the heartbeat with the given number is
// sent. With a fanout, a host sends in turn to the hosts of its place at distances
// 1, 2, 4 and so on in the order of names, so that its state reaches each of n
// hosts in about log2(n) hops. With a random choice, one host would now and then
// be left out for many heartbeats in a row.
func (r *Roster) Receivers(now time.Time, number uint64, rng *rand.Rand) []*Host {
	alive := r.Alive(now)
	params := r.HeartbeatParams()
	if params.NearFanout == 0 {
		return alive
	}
	var near, far []*Host
	position := 0 // of this host in its place, in the order of names
	for _, h := range alive {
		switch {
		case h.Place != r.place:
			far = append(far, h)
		default:
			near = append(near, h)
			if h.Name < r.self {
				position++
			}
		}
	}
	to := r.ringNeighbours(near, position, params.NearFanout, number)
	if number%uint64(params.FarEvery) > 0 {
		return to
	}
	rng.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(to, far[:min(len(far), params.FarFanout)]...)
}

// ringNeighbours returns the next count hosts, in turn, of those at distances of
// powers of two from this host's position in the ring of its place.
func (r *Roster) ringNeighbours(near []*Host, position, count int, number uint64) []*Host {
	ring := slices.Insert(slices.Clone(near), position, nil)
	steps := bits.Len(uint(len(near)))
	var to []*Host
	for i := range min(count, steps) {
		step := (number*uint64(count) + uint64(i)) % uint64(steps)
		to = append(to, ring[(position+1<<step)%len(ring)])
	}
	return slices.DeleteFunc(to, func(h *Host) bool { return h == nil })
}
