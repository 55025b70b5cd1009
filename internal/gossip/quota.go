package gossip

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/lacewingyard/lacewingyard/pkg/quota"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

// QuotaMessage carries asks for tokens of tenants, grants and handovers between two hosts.
// It is a datagram of its own: an ask does not wait for the next heartbeat.
type QuotaMessage struct {
	From      string           `cbor:"1,keyasint"` // name of the sender
	Asks      []quota.Ask      `cbor:"2,keyasint,omitempty"`
	Grants    []quota.Grant    `cbor:"3,keyasint,omitempty"`
	Handovers []quota.Handover `cbor:"4,keyasint,omitempty"`
}

// MaxQuotaItems is the largest number of asks, grants or handovers in a message, so that it
// fits one unfragmented packet: an ask takes at most 31 bytes.
const MaxQuotaItems = 40

// SendQuota sends a message to a host of the roster. It returns false if the host is not known
// or the message cannot be sent. A lost message is not repeated.
func (g *Gossip) SendQuota(to string, m QuotaMessage) bool {
	address := ""
	g.WithRoster(func(r *roster.Roster) {
		if h := r.Find(to); h != nil {
			address = h.GossipAddress
		}
	})
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	data, err := cbor.Marshal(heartbeat{Quota: &m})
	if err != nil {
		g.opts.Log.Error("failed to encode a quota message", "error", err)
		return false
	}
	_, err = g.conn.WriteToUDPAddrPort(data, ap)
	return err == nil
}

// handleQuota passes on a message from a host of the roster. Messages from another address
// than that host's are ignored.
func (g *Gossip) handleQuota(from netip.AddrPort, m *QuotaMessage) {
	known := false
	g.WithRoster(func(r *roster.Roster) {
		h := r.Find(m.From)
		if h == nil {
			return
		}
		ap, err := netip.ParseAddrPort(h.GossipAddress)
		known = err == nil && ap.Addr().Unmap() == from.Addr().Unmap() && r.IsAlive(time.Now(), h)
	})
	if known && g.opts.OnQuota != nil {
		g.opts.OnQuota(m)
	}
}
