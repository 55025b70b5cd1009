package edge

import (
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/entries"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

// addresses returns the hosts that a caller in a place is told to use. Peers that
// this host does not hear of are left out: they are gone, or cut off.
func (h *Host) addresses(place string) []string {
	now := time.Now()
	var hosts []entries.Host
	if h.ready() {
		hosts = append(hosts, entries.Host{Name: h.o.Site.Name, Place: h.o.Site.Place, Address: h.o.Site.CallerAddress, PlaceIn: true, Heard: true})
	}
	h.gossip.With(func(r *roster.Roster) {
		for _, peer := range r.Alive(now) {
			if peer.Ready && !peer.Leaving {
				hosts = append(hosts, entries.Host{Name: peer.Name, Place: peer.Place, Address: peer.Callers, PlaceIn: true, Heard: true})
			}
		}
	})
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	chosen := entries.Near(entries.Choose(hosts, place, rng), place)
	addresses := make([]string, len(chosen))
	for i, host := range chosen {
		addresses[i] = host.Address
	}
	return addresses
}
