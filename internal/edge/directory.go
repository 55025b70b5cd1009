package edge

import (
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/entries"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

// enoughTargets is the fraction of services with targets in a place from which
// callers are sent to the hosts there. Through hosts of a place without targets
// every part of an answer would cross between places, not only the answer.
const enoughTargets = 0.5

// bestPlace returns the place with hosts that has targets for most services,
// drawing among equals; empty if none has enough.
func bestPlace(v *catalog.View, hosts []entries.Host) string {
	covers := map[string]float64{}
	for _, host := range hosts {
		if _, ok := covers[host.Place]; !ok {
			covers[host.Place] = v.ServedFraction(host.Place) + tieBreak*rand.Float64()
		}
	}
	best := ""
	for place, c := range covers {
		if c >= enoughTargets && (best == "" || c > covers[best]) {
			best = place
		}
	}
	return best
}

// tieBreak is a difference in coverage that does not matter.
const tieBreak = 0.2

// resolve returns the hosts that a caller in a place is told to use, and for how
// long it may keep the answer.
func (h *Host) resolve(place string) (addresses []string, keep time.Duration) {
	now := time.Now()
	keep = EntriesTTL
	if now.Sub(h.started) < roster.SettleTime {
		keep = StartupEntriesTTL
	}
	if most := h.o.Site.EntriesTTLMax; most > 0 {
		keep = min(keep, most)
	}
	return h.addresses(now, place), keep
}

// addresses returns the hosts to name to callers of a place. Peers that this host
// does not hear of are left out: they are gone, or cut off.
func (h *Host) addresses(now time.Time, place string) []string {
	var hosts []entries.Host
	if h.ready() {
		hosts = append(hosts, entries.Host{Name: h.o.Site.Name, Place: h.o.Site.Place, Address: h.o.Site.CallerAddress,
			PlaceInService: true, Reachable: true, Capacity: h.load.capacity, Load: h.load.current()})
	}
	h.gossip.WithRoster(func(r *roster.Roster) {
		for _, peer := range r.Known() {
			hosts = append(hosts, entries.Host{Name: peer.Name, Place: peer.Place, Address: peer.CallerAddress,
				PlaceInService: true, Reachable: r.IsAlive(now, peer), Leaving: peer.Leaving || !peer.Ready, Capacity: peer.Capacity, Load: peer.Load})
		}
	})
	hosts = entries.FilterReachable(entries.PreferLarge(hosts))
	if v := h.engine.View(); v != nil && v.ServedFraction(place) < enoughTargets {
		if best := bestPlace(v, hosts); best != "" {
			place = best
		}
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	chosen := entries.LimitRemote(entries.Choose(hosts, place, rng), place)
	addresses := make([]string, len(chosen))
	for i, host := range chosen {
		addresses[i] = host.Address
	}
	return addresses
}
