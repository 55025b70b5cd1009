// Package entries chooses the host addresses that are returned to a caller.
//
// No load balancer stands in front of the hosts: a caller asks any host, caches
// the answer and connects to the addresses itself. So the answer must spread
// callers over the hosts of their place, must not name a host that is leaving,
// out of service or unreachable, and must not be empty while any host could serve.
//
// The package does not decide how long callers cache an answer. It holds no state;
// the calling code passes what it knows of each host. All functions are safe for
// concurrent use if each call has its own random source.
package entries

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

// MaxAddresses is the largest number of addresses in an answer. Eight addresses cover
// every host of a small fleet; in a fleet of 1,300 hosts a longer list would only cost
// bytes, because a caller that has tried all addresses asks again.
const MaxAddresses = 8

// Host is the state of one host as the calling code knows it.
type Host struct {
	Name           string
	Place          string
	Address        string
	Leaving        bool    // it shuts down, is superseded or was taken out of service by operators
	PlaceInService bool    // its place is in service
	Reachable      bool    // it answered a recent heartbeat
	Load           float64 // fraction of its capacity in use, 0 to 1; 0 if unknown
	// Capacity is the load that the host can carry, in any unit that all hosts share;
	// 0 if unknown.
	Capacity float64
}

// preference is a preference class of hosts; lower is better.
type preference int

const (
	reachable   preference = iota // in service and reachable
	unreachable                   // in service, but not reachable from this host; callers may reach it
	unusable                      // leaving or out of service
)

func (h *Host) class() preference {
	switch {
	case h.Leaving || !h.PlaceInService:
		return unusable
	case h.Reachable:
		return reachable
	default:
		return unreachable
	}
}

// Choose returns up to MaxAddresses hosts, best first. Hosts of the given place come
// before others. Within a place the order is random, weighted by the free fraction of
// capacity, so that callers which take the first address are spread by load.
//
// Unreachable hosts are left out if this host reaches more than half of the usable
// ones: they have failed or are partitioned, and callers cache an answer for seconds.
// Otherwise this host may be partitioned itself, and they come last, because callers
// may reach them.
func Choose(hosts []Host, place string, rng *rand.Rand) []Host {
	type ranked struct {
		host    Host
		class   preference
		remote  int
		sortKey float64
	}
	candidates := make([]ranked, 0, len(hosts))
	worst := unreachable
	if mostReachable(hosts) {
		worst = reachable
	}
	for _, h := range hosts {
		class := h.class()
		if class > worst {
			continue
		}
		remote := 1
		if h.Place == place {
			remote = 0
		}
		candidates = append(candidates, ranked{h, class, remote, randomKey(h.Load, rng)})
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.remote, b.remote), cmp.Compare(a.sortKey, b.sortKey))
	})
	chosen := make([]Host, 0, min(MaxAddresses, len(candidates)))
	for _, c := range candidates[:min(MaxAddresses, len(candidates))] {
		chosen = append(chosen, c.host)
	}
	return chosen
}

// mostReachable reports whether more than half of the usable hosts are reachable.
func mostReachable(hosts []Host) bool {
	n := map[preference]int{}
	for _, h := range hosts {
		n[h.class()]++
	}
	return n[reachable] > n[unreachable]
}

// minFreeCapacity is the least weight of a host. A host that reports full load stays
// eligible, because its report may be old.
const minFreeCapacity = 0.05

// randomKey returns the sort key of a weighted random order, an exponential variable whose
// rate is the weight: each host has the smallest key with a probability proportional
// to its weight.
func randomKey(load float64, rng *rand.Rand) float64 {
	free := max(minFreeCapacity, 1-load)
	return -math.Log(1-rng.Float64()) / free
}

// enoughLocal is the number of hosts in the caller's place that suffice without hosts of
// other places, as one of them may fail.
const enoughLocal = 2

// remoteSpares is the number of hosts of other places that are named in addition to
// those of the caller's place. If the place fails, its callers cannot ask its hosts
// again; without a spare they would be left with addresses of failed hosts.
const remoteSpares = 1

// LimitRemote drops hosts of other places from a result of Choose, except for one spare
// and, if the place has a single host, one more. It serves callers that use the
// addresses in random order. If the place has no host, all are kept. The result of
// Choose must contain reachable hosts only, as unreachable hosts of the place would
// come after the hosts of other places.
func LimitRemote(chosen []Host, place string) []Host {
	local := 0
	for _, h := range chosen {
		if h.Place == place {
			local++
		}
	}
	if local == 0 {
		return chosen
	}
	return chosen[:min(len(chosen), max(local, enoughLocal)+remoteSpares)]
}

// FilterReachable returns the hosts that are reachable and in service, and not leaving.
func FilterReachable(hosts []Host) []Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.class() != reachable })
}

// maxLocalLoad is the mean load of the large hosts of a place above which its small hosts
// are named too.
const maxLocalLoad = 0.4

// minFleetLarge is the least number of large hosts in the fleet, and maxFleetLoad their
// highest mean load, at which they serve the callers of a place with fewer than
// enoughLocal large hosts.
const (
	minFleetLarge = 4
	maxFleetLoad  = 0.3
)

// loadTotal sums up the reachable hosts of a place or of the fleet.
type loadTotal struct {
	hosts    int     // large ones
	load     float64 // sum of the loads of the large ones
	capacity float64 // of the large ones
	used     float64 // capacity of any of the hosts that is in use
}

func (t *loadTotal) add(h *Host, large bool) {
	t.used += h.Load * h.Capacity
	if large {
		t.hosts++
		t.load += h.Load
		t.capacity += h.Capacity
	}
}

// mean returns the mean load of the large hosts.
func (t *loadTotal) mean() float64 { return t.load / float64(max(1, t.hosts)) }

// largeSuffice reports whether the large hosts could carry the load of all. The load that
// small ones carry counts, or callers would move to and fro.
func (t *loadTotal) largeSuffice() bool {
	return t.mean() <= maxLocalLoad && t.used <= maxLocalLoad*t.capacity
}

// PreferLarge drops the small hosts of a place if its large hosts have spare capacity,
// or if too few of them are reachable but the large hosts of the fleet have. A round
// trip to another place takes less time than a fan-out through a host with a slow link
// and little CPU. The fewer hosts share the callers, the more requests each has to keep
// its connections open and its latency estimates recent. Small hosts are a reserve: of a
// place whose large hosts lack capacity, as many are kept as the load needs.
// Which hosts of a place count as large depends on all of them, including those that
// are leaving or unreachable.
func PreferLarge(hosts []Host) []Host {
	largest := map[string]float64{}
	for _, h := range hosts {
		largest[h.Place] = max(largest[h.Place], h.Capacity)
	}
	large := func(h Host) bool { return h.Capacity >= roster.LargeCapacityRatio*largest[h.Place] }
	places := map[string]*loadTotal{}
	var fleet loadTotal
	for _, h := range hosts {
		if places[h.Place] == nil {
			places[h.Place] = &loadTotal{}
		}
		if h.class() == reachable {
			places[h.Place].add(&h, large(h))
			fleet.add(&h, large(h))
		}
	}
	enough := func(t *loadTotal) bool {
		if t.hosts >= enoughLocal {
			return t.largeSuffice()
		}
		return fleet.hosts >= minFleetLarge && fleet.mean() <= maxFleetLoad
	}
	kept := make([]Host, 0, len(hosts))
	small := map[string][]Host{}
	for _, h := range hosts {
		switch {
		case large(h):
			kept = append(kept, h)
		case !enough(places[h.Place]):
			small[h.Place] = append(small[h.Place], h)
		}
	}
	for place, reserve := range small {
		if places[place].hosts == 0 {
			kept = append(kept, reserve...)
			continue
		}
		kept = append(kept, neededReserve(hosts, reserve)...)
	}
	return kept
}

// neededReserve returns those of the small hosts of a place, of which at least one large
// host is reachable, that its load needs beside the large ones. They are the same on every
// host.
func neededReserve(all, reserve []Host) []Host {
	reserve = FilterReachable(reserve)
	if len(reserve) == 0 {
		return nil
	}
	sortByHash(reserve)
	isReserve := map[string]bool{}
	for _, h := range reserve {
		isReserve[h.Name] = true
	}
	used, capacity, serving := 0.0, 0.0, 0
	for _, h := range all {
		if h.Place != reserve[0].Place || h.class() != reachable {
			continue
		}
		used += h.Load * h.Capacity
		if !isReserve[h.Name] {
			capacity += h.Capacity
			serving++
		}
	}
	return reserve[:countNeeded(reserve, used, maxLocalLoad, capacity, serving)]
}

// countNeeded returns how many of the given hosts, in their order, are needed beside a number
// of serving hosts with a capacity, so that at least enoughLocal serve, and the used capacity
// is a load of at most maxLoad.
func countNeeded(hosts []Host, used, maxLoad, capacity float64, serving int) int {
	for i, h := range hosts {
		if serving >= enoughLocal && used <= maxLoad*capacity {
			return i
		}
		capacity += h.Capacity
		serving++
	}
	return len(hosts)
}

// sortByHash sorts hosts by the hashes of their names, in the same order on every host.
func sortByHash(hosts []Host) {
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name))
	})
}

// SampleByCapacity drops each host with the probability by which its capacity is below
// that of the largest host of its place. It serves callers that use the addresses of an
// answer in random order, to whom a small host is worth as much as a large one. Hosts of
// unknown capacity are kept.
func SampleByCapacity(hosts []Host, rng *rand.Rand) []Host {
	largest := map[string]float64{}
	for _, h := range hosts {
		largest[h.Place] = max(largest[h.Place], h.Capacity)
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool {
		return h.Capacity > 0 && rng.Float64()*largest[h.Place] >= h.Capacity
	})
}
