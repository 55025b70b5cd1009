// Package entries chooses the addresses that a caller is told to use.
//
// No balancer stands before the hosts: a caller asks any host, keeps the
// answer for a while and connects to the addresses itself. So the answer must
// spread callers over the hosts near them, must not name a host that is
// leaving, taken out or not heard of, and must never be empty while any host
// could serve.
//
// The package holds no state; the caller passes what it knows of each host.
package entries

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

// MaxAddresses is the number of addresses in an answer. Eight names all hosts of today;
// at 1,300 hosts a longer list would only cost bytes, since a caller that
// exhausts eight addresses asks again.
const MaxAddresses = 8

// Host is what is known of one host.
type Host struct {
	Name           string
	Place          string
	Address        string
	Leaving        bool    // it shuts down, or operators took it out
	PlaceInService bool    // its place is in service
	Reachable      bool    // it answered a heartbeat lately
	Load           float64 // fraction of its capacity in use; 0 if not known
	// Capacity is what the host can carry, in any unit that is the same for all; 0
	// if not known.
	Capacity float64
}

// usable is a preference class of hosts; lower is better.
type usable int

const (
	heard    usable = iota // in service and heard of lately
	listed                 // in service by the list, not heard of: it may be cut off from this host only
	unusable               // leaving or out of service
)

func (h *Host) class() usable {
	switch {
	case h.Leaving || !h.PlaceInService:
		return unusable
	case h.Reachable:
		return heard
	default:
		return listed
	}
}

// Choose returns the hosts to name, best first. Hosts of the given place come
// before others. Within a place the order is random, weighted by free
// capacity, so that callers which take the first address spread by load.
//
// Hosts that were not heard of are left out if this host hears of most of the
// others: they are gone or cut off, and callers keep an answer for seconds. If
// it hears of fewer, it may be cut off itself; it names them last, because
// callers may reach what it cannot.
func Choose(hosts []Host, place string, rng *rand.Rand) []Host {
	type ranked struct {
		host  Host
		class usable
		far   int
		draw  float64
	}
	candidates := make([]ranked, 0, len(hosts))
	least := listed
	if most(hosts) {
		least = heard
	}
	for _, h := range hosts {
		class := h.class()
		if class > least {
			continue
		}
		far := 1
		if h.Place == place {
			far = 0
		}
		candidates = append(candidates, ranked{h, class, far, draw(h.Load, rng)})
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.far, b.far), cmp.Compare(a.draw, b.draw))
	})
	chosen := make([]Host, 0, min(MaxAddresses, len(candidates)))
	for _, c := range candidates[:min(MaxAddresses, len(candidates))] {
		chosen = append(chosen, c.host)
	}
	return chosen
}

// most reports whether more than half of the usable hosts were heard of.
func most(hosts []Host) bool {
	n := map[usable]int{}
	for _, h := range hosts {
		n[h.class()]++
	}
	return n[heard] > n[listed]
}

// minFree keeps a host that reports full load eligible: its report may be old.
const minFree = 0.05

// draw is the key of a weighted random order: the smallest of exponential
// variables with rate w is theirs with probability w over the sum of rates.
func draw(load float64, rng *rand.Rand) float64 {
	free := max(minFree, 1-load)
	return -math.Log(1-rng.Float64()) / free
}

// nearEnough is the number of hosts in a caller's place that suffice without
// hosts elsewhere: one can fail.
const nearEnough = 2

// spareElsewhere is the number of hosts of other places that are named beside those
// of the caller's place. If the place is lost, so are the hosts that its callers
// could ask again; without a spare they would keep an answer of dead addresses.
const spareElsewhere = 1

// LimitRemote drops hosts of other places from a choice but for a spare one, or for as many
// as a place with a single host needs. It is for callers that take any of the
// addresses at random. A place without hosts keeps them all.
func LimitRemote(chosen []Host, place string) []Host {
	near := 0
	for _, h := range chosen {
		if h.Place == place {
			near++
		}
	}
	if near == 0 {
		return chosen
	}
	return chosen[:min(len(chosen), max(near, nearEnough)+spareElsewhere)]
}

// FilterReachable drops the hosts that no caller may be told of now: those that leave, are
// out of service or were not heard of.
func FilterReachable(hosts []Host) []Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.class() != heard })
}

// largeBusy is the mean load of the large hosts of a place from which its other
// hosts take callers too.
const largeBusy = 0.4

// largeElsewhere is the number of large hosts, and largeSpare their highest mean
// load, with which they take the callers of a place that has lost its own.
const (
	largeElsewhere = 4
	largeSpare     = 0.3
)

// tally counts hosts and their load.
type tally struct {
	hosts int
	load  float64
}

func (t *tally) add(load float64) {
	t.hosts++
	t.load += load
}

func (t *tally) mean() float64 { return t.load / float64(max(1, t.hosts)) }

// PreferLarge drops the small hosts of each place that has enough large ones with room,
// or had them while the large ones elsewhere have room: the way to another place
// takes less than a fan-out through a host with a slow link and little processor
// time, and the more hosts share the callers, the colder are the connections and
// the estimates of each. The small hosts stay in reserve. Hosts that cannot be
// named now count for what a place had.
func PreferLarge(hosts []Host) []Host {
	largest := map[string]float64{}
	for _, h := range hosts {
		largest[h.Place] = max(largest[h.Place], h.Capacity)
	}
	large := func(h Host) bool { return h.Capacity >= roster.LargeCapacityRatio*largest[h.Place] }
	places := map[string]*tally{}
	var fleet tally
	for _, h := range hosts {
		if places[h.Place] == nil {
			places[h.Place] = &tally{}
		}
		if large(h) && h.class() == heard {
			places[h.Place].add(h.Load)
			fleet.add(h.Load)
		}
	}
	enough := func(t *tally) bool {
		if t.hosts >= nearEnough {
			return t.mean() <= largeBusy
		}
		return fleet.hosts >= largeElsewhere && fleet.mean() <= largeSpare
	}
	kept := make([]Host, 0, len(hosts))
	for _, h := range hosts {
		if large(h) || !enough(places[h.Place]) {
			kept = append(kept, h)
		}
	}
	return kept
}
