package edge

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/entries"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

// minServedFraction is the smallest fraction of services with targets in a place at
// which callers are directed to the hosts there. Hosts of a place without targets
// would transfer every part of an answer between places instead of only the merged
// answer.
const minServedFraction = 0.5

// bestServedPlace returns the place, among those with hosts, that has targets for
// the most services; it chooses at random among places that differ by less than
// tieMargin. It returns "" if no place reaches minServedFraction.
func bestServedPlace(v *catalog.View, hosts []entries.Host) string {
	scores := map[string]float64{}
	for _, host := range hosts {
		if _, ok := scores[host.Place]; !ok {
			scores[host.Place] = v.ServedFraction(host.Place) + tieMargin*rand.Float64()
		}
	}
	best := ""
	for place, score := range scores {
		if score >= minServedFraction && (best == "" || score > scores[best]) {
			best = place
		}
	}
	return best
}

// tieMargin is the difference in the served fraction of places up to which the
// choice between them is random.
const tieMargin = 0.2

// resolve returns the addresses of hosts for a caller in a place, none if no host accepts
// callers, and how long the caller may cache them.
func (h *Host) resolve(place string) (addresses []string, ttl time.Duration) {
	now := time.Now()
	ttl = DirectoryTTL
	if now.Sub(h.started) < roster.SettleTime {
		ttl = StartupDirectoryTTL
	}
	if limit := h.opts.Site.EntriesTTLMax; limit > 0 {
		ttl = min(ttl, limit)
	}
	return h.addresses(now, place), ttl
}

// addresses returns the addresses of hosts for callers in a place.
func (h *Host) addresses(now time.Time, place string) []string {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	hosts := entries.SampleByCapacity(h.directed(now), rng)
	if v := h.engine.View(); v != nil && v.ServedFraction(place) < minServedFraction {
		if best := bestServedPlace(v, hosts); best != "" {
			place = best
		}
	}
	chosen := entries.LimitRemote(entries.Choose(hosts, place, rng), place)
	addresses := make([]string, len(chosen))
	for i, host := range chosen {
		addresses[i] = host.Address
	}
	return addresses
}

// directed returns the hosts of all places to which callers are directed. Each host gets
// the same result as far as it knows the same fleet. It omits peers that the roster does
// not consider alive: they have failed or are partitioned.
func (h *Host) directed(now time.Time) []entries.Host {
	var hosts []entries.Host
	if h.ready() {
		hosts = append(hosts, entries.Host{Name: h.opts.Site.Name, Place: h.opts.Site.Place, Address: h.opts.Site.CallerAddress,
			PlaceInService: true, Reachable: true, Capacity: h.load.capacity, Load: h.load.current()})
	}
	h.gossip.WithRoster(func(r *roster.Roster) {
		for _, peer := range r.Known() {
			hosts = append(hosts, entries.Host{Name: peer.Name, Place: peer.Place, Address: peer.CallerAddress,
				PlaceInService: true, Reachable: r.IsAlive(now, peer), Leaving: peer.Leaving || !peer.Ready, Capacity: peer.Capacity, Load: peer.Load})
		}
	})
	return entries.Concentrate(entries.PreferLarge(hosts))
}

// isOneOf reports whether this host is one of the given hosts.
func (h *Host) isOneOf(hosts []entries.Host) bool {
	return slices.ContainsFunc(hosts, func(host entries.Host) bool { return host.Name == h.opts.Site.Name })
}
