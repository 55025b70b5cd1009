package roster

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// HeartbeatParams says how often hosts tell each other that they live, and how long silence
// may last. Between places traffic is dear; callers of a place are sent to its
// hosts, so those have to be known best.
type HeartbeatParams struct {
	Interval time.Duration // between two heartbeats
	// NearFanout and FarFanout are the numbers of hosts of the same place and of others that get
	// a heartbeat; 0 means all. FarEvery is the number of heartbeats of which one
	// goes to other places.
	NearFanout, FarFanout, FarEvery int
	// States, NearLiveness and FarLiveness bound what a heartbeat passes on.
	States, NearLiveness, FarLiveness int
	// FailureTimeout and FarFailureTimeout are the times without news after which a host of the same
	// place, and of others, counts as gone.
	FailureTimeout, FarFailureTimeout time.Duration
}

const (
	// LargeFleetHosts is the number of hosts beyond which a host does not tell all others.
	LargeFleetHosts = 16
	// HugeFleetHosts is the number of hosts beyond which heartbeats are slower, so that a
	// host sends less than 4 KB/s for control.
	HugeFleetHosts = 400
	// FailureTimeout is the time without news after which a host counts as gone: five
	// heartbeats, of which a lossy link loses one in a thousand each.
	FailureTimeout = 2500 * time.Millisecond
	// FarFailureTimeout is the same for hosts of other places in a large fleet, which hear of
	// each other through others.
	FarFailureTimeout = 5 * time.Second
	// HugeFleetFailureTimeout is the same for hosts of the same place in a huge fleet. Callers may
	// be told of a lost host for some seconds.
	HugeFleetFailureTimeout = 6 * time.Second
)

// HeartbeatParamsFor returns the pace of a fleet with a number of hosts.
func HeartbeatParamsFor(hosts int) HeartbeatParams {
	switch {
	case hosts <= LargeFleetHosts:
		return HeartbeatParams{Interval: 500 * time.Millisecond, FarEvery: 1, States: 11, FailureTimeout: FailureTimeout, FarFailureTimeout: FailureTimeout}
	case hosts <= HugeFleetHosts:
		return HeartbeatParams{Interval: 500 * time.Millisecond, NearFanout: 5, FarFanout: 1, FarEvery: 1,
			States: 4, NearLiveness: 40, FarLiveness: 20, FailureTimeout: FailureTimeout, FarFailureTimeout: FarFailureTimeout}
	default:
		return HeartbeatParams{Interval: time.Second, NearFanout: 2, FarFanout: 1, FarEvery: 2,
			States: 1, NearLiveness: 60, FarLiveness: 5, FailureTimeout: HugeFleetFailureTimeout, FarFailureTimeout: HugeFleetFailureTimeout}
	}
}

// HeartbeatParams returns the pace for the hosts that are known.
func (r *Roster) HeartbeatParams() HeartbeatParams { return HeartbeatParamsFor(len(r.hosts) + 1) }

// Receivers returns the hosts that get the heartbeat with a number, all or some.
// In its place a host tells those at distances 1, 2, 4 and so on in the order of
// names, in turn, so that what it tells reaches each of n hosts in some log2(n)
// steps. Random choices would leave one out for many heartbeats now and then.
func (r *Roster) Receivers(now time.Time, beat uint64, rng *rand.Rand) []*Host {
	alive := r.Alive(now)
	pace := r.HeartbeatParams()
	if pace.NearFanout == 0 {
		return alive
	}
	var near, far []*Host
	after := 0 // hosts of this place whose names come before this host's
	for _, h := range alive {
		switch {
		case h.Place != r.place:
			far = append(far, h)
		default:
			near = append(near, h)
			if h.Name < r.self {
				after++
			}
		}
	}
	to := r.neighbours(near, after, pace.NearFanout, beat)
	if beat%uint64(pace.FarEvery) > 0 {
		return to
	}
	rng.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(to, far[:min(len(far), pace.FarFanout)]...)
}

// neighbours returns the next of the hosts at distances of powers of two from the
// position of this host among those of its place.
func (r *Roster) neighbours(near []*Host, position, count int, beat uint64) []*Host {
	ring := slices.Insert(slices.Clone(near), position, nil)
	steps := bits.Len(uint(len(near)))
	var to []*Host
	for i := range min(count, steps) {
		step := (beat*uint64(count) + uint64(i)) % uint64(steps)
		to = append(to, ring[(position+1<<step)%len(ring)])
	}
	return slices.DeleteFunc(to, func(h *Host) bool { return h == nil })
}
