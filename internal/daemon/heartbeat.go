package daemon

import (
	"context"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/configsync"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// sendHeartbeat starts a heartbeat to a contact unless one is in progress. The
// caller holds c.mu.
func (c *control) sendHeartbeat(to membership.Peer) {
	if c.heartbeatsInFlight[to.Name] {
		return
	}
	c.heartbeatsInFlight[to.Name] = true
	c.startTask(func(ctx context.Context) {
		c.exchange(ctx, to)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.heartbeatsInFlight, to.Name)
	})
}

// exchange sends a heartbeat, processes its acknowledgement and pulls the published
// values of which the peer has a newer version.
func (c *control) exchange(ctx context.Context, to membership.Peer) {
	c.mu.Lock()
	c.updateLoad()
	message := wire.Heartbeat{Member: c.view.Heartbeat(), Positions: c.positions(), Extension: c.extension()}
	c.mu.Unlock()
	sent := time.Now()
	var ack wire.HeartbeatAck
	err := c.withStream(ctx, to.Address, wire.ExchangeHeartbeat, func(s *peer.Stream) error {
		if err := s.Send(&message); err != nil {
			return err
		}
		return s.Receive(&ack)
	})
	if err != nil {
		return
	}
	c.mu.Lock()
	wasSuperseded := c.view.Superseded()
	c.view.Acked(time.Now(), sent, to, ack.Member)
	if c.view.Superseded() && !wasSuperseded {
		c.log.Error("a newer process has this host's ordinal; no new work is taken")
	}
	c.mu.Unlock()
	c.receiveExtension(to, ack.Extension)
	c.pullNewer(ctx, to, ack.Positions)
}

// withStream opens a stream for one exchange and calls f with it. The stream is reset
// when f returns, when ctx ends or after exchangeTimeout. An error of f also closes the
// connection for control messages to the peer.
func (c *control) withStream(ctx context.Context, address string, exchange wire.Exchange, f func(*peer.Stream) error) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	s, err := c.transport.OpenControl(ctx, address, exchange)
	if err != nil {
		return err
	}
	defer s.Reset()
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	err = f(s)
	if err != nil {
		c.transport.CloseControl(address)
	} else {
		_ = s.CloseSend() // fails if the peer has already finished reading, which is no error
	}
	return err
}

// extension returns the encoded quarantine entries for the next heartbeat, or nil if
// there are none.
func (c *control) extension() []byte {
	if c.buildExtension == nil {
		return nil
	}
	entries := c.buildExtension(wire.MaxExtensionBytes)
	if len(entries) > wire.MaxExtensionBytes {
		return nil // truncated entries would not decode
	}
	return entries
}

// receiveExtension handles the encoded quarantine entries of a peer's heartbeat.
func (c *control) receiveExtension(from membership.Peer, entries []byte) {
	if c.handleExtension != nil && len(entries) > 0 {
		c.handleExtension(from, entries)
	}
}

// serveHeartbeat answers a heartbeat.
func (c *control) serveHeartbeat(s *peer.Stream) {
	var message wire.Heartbeat
	if err := s.Receive(&message); err != nil {
		s.Reset()
		return
	}
	c.mu.Lock()
	// Peers rely on the reported version, so only a version in force here is reported.
	version := uint64(0)
	if tree := c.config.tree(); tree != nil {
		version = tree.Doc.Version
	}
	c.updateLoad()
	reply := wire.HeartbeatAck{
		Member:    c.view.Receive(time.Now(), message.Member, version),
		Positions: c.positions(), Extension: c.extension(),
	}
	c.mu.Unlock()
	if err := s.Send(&reply); err != nil {
		s.Reset()
	}
	c.receiveExtension(message.Member.From, message.Extension)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startTask(func(ctx context.Context) { c.pullNewer(ctx, message.Member.From, message.Positions) })
}

// pullNewer pulls the published values of which a peer has a newer version. One pull
// per value runs at a time; a later heartbeat repeats a failed one.
func (c *control) pullNewer(ctx context.Context, from membership.Peer, positions wire.Positions) {
	c.mu.Lock()
	if offered := positions[wire.PublishedConfig]; offered.Compare(c.newestOffered) > 0 {
		c.newestOffered = offered
	}
	c.mu.Unlock()
	for value, at := range positions {
		p := c.published(wire.Published(value))
		if at == p.position() || !c.pulling[value].CompareAndSwap(false, true) {
			continue
		}
		behind := false
		p.withState(func(s *configsync.State) { behind = s.Behind(at) })
		if behind {
			if err := c.pull(ctx, from, wire.Published(value)); err != nil {
				c.log.Debug("pull from peer failed", "peer", from.Name, "error", err)
			}
		} else if value == int(wire.PublishedConfig) && at.Compare(p.position()) > 0 {
			// This host has refused the peer's newer configuration. Its membership view
			// counts the refused version as in force; otherwise the view would wait for
			// that version and the host would take no work.
			c.setConfigInForce(at.Version)
		}
		c.pulling[value].Store(false)
	}
}

// pull requests the manifest of a published value from a peer and then the sections
// that this host lacks.
func (c *control) pull(ctx context.Context, from membership.Peer, value wire.Published) error {
	p := c.published(value)
	var raw []byte
	err := c.withStream(ctx, from.Address, wire.ExchangePull, func(s *peer.Stream) error {
		if err := s.Send(&wire.PullRequest{Value: value}); err != nil {
			return err
		}
		var manifest wire.Manifest
		if err := s.Receive(&manifest); err != nil {
			return err
		}
		if err := manifest.Check(settings.MaxDocumentBytes); err != nil {
			return err
		}
		var request wire.SectionRequest
		p.withState(func(state *configsync.State) { request.Digests = state.Missing(manifest) })
		var reply wire.Sections
		if len(request.Digests) > 0 {
			if err := s.Send(&request); err != nil {
				return err
			}
			if err := s.Receive(&reply); err != nil {
				return err
			}
		}
		var err error
		p.withState(func(state *configsync.State) { raw, err = state.Assemble(manifest, reply.Sections) })
		return err
	})
	if err == nil {
		c.offer(value, raw)
	}
	return err
}

// servePull answers a pull.
func (c *control) servePull(s *peer.Stream) {
	var request wire.PullRequest
	if err := s.Receive(&request); err != nil || request.Value >= wire.PublishedCount {
		s.Reset()
		return
	}
	p := c.published(request.Value)
	var manifest wire.Manifest
	p.withState(func(state *configsync.State) { manifest = state.Manifest() })
	if err := s.Send(&manifest); err != nil {
		s.Reset()
		return
	}
	var sections wire.SectionRequest
	if err := s.Receive(&sections); err != nil {
		return // the peer lacks no section and has ended the stream
	}
	var reply wire.Sections
	p.withState(func(state *configsync.State) { reply.Sections = state.Sections(manifest.Position, sections.Digests) })
	if err := s.Send(&reply); err != nil {
		s.Reset()
	}
}
