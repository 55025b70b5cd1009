package daemon

import (
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
	"github.com/lacewingyard/lacewingyard/pkg/entries"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

// Entries returns the addresses that a caller may use.
func (e *entry) Entries() api.EntriesResponse {
	tree := e.config.tree()
	answer := api.EntriesResponse{
		Entries: []api.Entry{},
		TTLMS:   tree.Effective(e.self.Place, "").EntriesTTL.Milliseconds(),
	}
	prefix := e.Ticket().TicketPrefix
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	selfLeaving := e.shutdown.Phase(now, 0) != drain.Serving
	list := e.directory.hosts().list.Hosts
	known := make([]entries.Host, 0, len(list))
	for _, h := range list {
		var state membership.State
		silent := false
		if e.peerState != nil {
			state, silent = e.peerState(h.Name)
		}
		if h.Name == e.self.Name {
			state.Load = e.admission.load()
		}
		known = append(known, entries.Host{
			Name: h.Name, Place: h.Place, Address: h.Callers,
			Leaving: h.State != platform.HostLive || slices.Contains(tree.Doc.HostsOut, h.Name) || state.Leaving ||
				h.Name == e.self.Name && selfLeaving,
			PlaceIn: tree.PlaceIsIn(h.Place),
			Heard:   !silent,
			Load:    float64(state.Load) / 255,
		})
	}
	for _, h := range entries.Choose(known, e.self.Place, e.rng) {
		listed := api.Entry{Host: h.Name, Place: h.Place, Address: h.Address}
		if h.Name == e.self.Name { // the incarnations of other hosts are not known here
			listed.TicketPrefix = prefix
		}
		answer.Entries = append(answer.Entries, listed)
	}
	return answer
}
