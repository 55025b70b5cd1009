package daemon

import (
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/pkg/atmostonce"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
	"github.com/lacewingyard/lacewingyard/pkg/entries"
)

// Entries returns the hosts that a caller may use, with the validity of the answer.
func (e *entry) Entries() api.EntriesResponse {
	tree := e.config.tree()
	response := api.EntriesResponse{
		Entries: []api.Entry{},
		TTLMS:   tree.Effective(e.self.Place, "").EntriesTTL.Milliseconds(),
	}
	prefix, ttl := e.Ticket().TicketPrefix, tree.Effective(e.self.Place, "").TicketTTL
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	selfLeaving := e.shutdown.Phase(now, 0) != drain.Serving
	list := e.directory.hosts().list.Hosts
	candidates := make([]entries.Host, 0, len(list))
	for _, h := range list {
		state, unreachable := e.hostState(h)
		if h.Name == e.self.Name {
			state.Load = e.admission.utilization()
		}
		candidates = append(candidates, entries.Host{
			Name: h.Name, Place: h.Place, Address: h.Callers,
			Leaving: h.State != platform.HostLive || slices.Contains(tree.Doc.HostsOut, h.Name) || state.Leaving ||
				h.Name == e.self.Name && selfLeaving,
			PlaceInService: tree.PlaceInService(h.Place),
			Reachable:      !unreachable,
			Load:           float64(state.Load) / 255,
		})
	}
	for _, h := range entries.Choose(candidates, e.self.Place, e.rng) {
		listed := api.Entry{Host: h.Name, Place: h.Place, Address: h.Address}
		if h.Name == e.self.Name {
			listed.TicketPrefix = prefix
		} else if e.incarnation != nil {
			listed.TicketPrefix = ticketPrefixFor(h.Name, e.incarnation(h.Name), now, ttl)
		}
		response.Entries = append(response.Entries, listed)
	}
	return response
}

// ticketExpiryMargin is subtracted from the maximum lifetime of a ticket for another
// host, which would refuse the ticket if its clock is behind.
const ticketExpiryMargin = time.Minute

// ticketPrefixFor returns the prefix of a ticket for another host; empty if the
// incarnation is unknown. With the ticket a caller sends a command directly to the
// only host that may run it. If the host no longer runs, the connection is refused,
// so that the command has certainly not run.
func ticketPrefixFor(host string, incarnation uint64, now time.Time, ttl time.Duration) string {
	if incarnation == 0 {
		return ""
	}
	expiry := now.Add(min(ttl, commandLimits.MaxTTL-ticketExpiryMargin)).Truncate(time.Millisecond)
	return atmostonce.Ticket{Host: host, Incarnation: incarnation, Expiry: expiry}.Prefix()
}
