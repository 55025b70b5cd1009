package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

// quotaRecentStart is the age of a process up to which it counts as just started.
const quotaRecentStart = 10 * time.Second

// connectQuotas lets the entry host exchange tokens with its peers.
func (d *Daemon) connectQuotas() {
	q := d.entry.quotas
	q.view, q.send = d.quotaView, d.sendQuota
	q.probe = func(name string) {
		if host, ok := d.directory.byName(name); ok {
			d.transport.Connected(host.Peers) // dials if no connection is open
		}
	}
}

// quotaView returns the hosts that grant tokens: the listed ones that take work and are not
// known to be unreachable. In a fleet of up to membership.FullMeshHosts hosts only heartbeats
// decide that, so that all hosts come to the same view. In a larger one a host does not hear
// most others, and a lost connection decides as well.
func (d *Daemon) quotaView(now time.Time) quotaView {
	hosts, tree := d.directory.hosts(), d.config.tree()
	if hosts == nil || tree == nil {
		return quotaView{}
	}
	phase, _ := d.phase()
	v := quotaView{listed: len(hosts.list.Hosts), fullMesh: len(hosts.list.Hosts) <= membership.FullMeshHosts, directed: phase == drain.Serving}
	reached, all, started := d.control.reachedContacts(now)
	v.majority = 2*(reached+1) >= all+1
	v.restarted = now.Sub(d.entry.quotas.started) < quotaRecentStart && 4*started >= 3*reached
	for _, h := range hosts.byOrdinal {
		if h.State != platform.HostLive || slices.Contains(tree.Doc.HostsOut, h.Name) {
			continue
		}
		state, silent := d.control.peerState(h.Name)
		lost := silent || h.Name == d.opts.Process.Name && !d.control.ready()
		if !v.fullMesh && h.Name != d.opts.Process.Name {
			lost = lost || d.transport.Lost(h.Peers)
		}
		if !lost && !state.Leaving {
			v.hosts = append(v.hosts, h.Name)
		}
	}
	slices.Sort(v.hosts)
	return v
}

// reachedContacts returns how many contacts this host has, how many of them it hears and that
// hear it, and how many of these have just started.
func (c *control) reachedContacts(now time.Time) (reached, all, started int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.view.Contacts() {
		all++
		if _, silent := c.view.PeerState(now, p.Name); silent {
			continue
		}
		reached++
		if now.UnixNano()-int64(c.view.Incarnation(p.Name)) < int64(quotaRecentStart) {
			started++
		}
	}
	return reached, all, started
}

// sendQuota sends a message to a host and returns its reply.
func (d *Daemon) sendQuota(ctx context.Context, to string, m *wire.QuotaRequest) (*wire.QuotaReply, error) {
	host, ok := d.directory.byName(to)
	if !ok {
		return nil, errors.Newf("host %s is not listed", to)
	}
	s, err := d.transport.Open(ctx, host.Peers, wire.ExchangeQuota)
	if err != nil {
		return nil, err
	}
	defer s.Reset()
	defer context.AfterFunc(ctx, s.Reset)()
	reply := new(wire.QuotaReply)
	if err := s.Send(m); err != nil {
		return nil, err
	}
	return reply, s.Receive(reply)
}

// serveQuota answers the message of a listed host.
func (d *Daemon) serveQuota(ctx context.Context, s *peer.Stream) {
	select {
	case <-d.initialized:
	case <-ctx.Done():
		s.Reset()
		return
	}
	var m wire.QuotaRequest
	if err := s.Receive(&m); err != nil || d.directory.hosts() == nil {
		s.Reset()
		return
	}
	if _, ok := d.directory.byName(m.From); !ok {
		s.Reset()
		return
	}
	if err := s.Send(d.entry.quotas.receive(time.Now(), &m)); err != nil {
		s.Reset()
	}
}
