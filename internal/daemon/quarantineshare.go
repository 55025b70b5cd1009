package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
)

const (
	// shareLimit bounds how long an answer waits until the peers know that a
	// connection died under its query. A caller that sends the query again at
	// once through another host would otherwise take down another replica.
	notifyTimeout = 100 * time.Millisecond
	// maxNotices is the number of peers that are told at once; heartbeats
	// reach the others.
	maxNotifiedPeers = 16
)

// share tells the peers what is known of a fingerprint and returns when they
// have acknowledged it or the limit has passed.
func (g *quarantineGuard) notifyPeers(fp quarantine.Fingerprint) {
	entry, ok := g.entry(fp)
	if !ok {
		return
	}
	notice := &wire.QuarantineNotice{Entries: []quarantine.Entry{entry}}
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	hosts := g.directory.hosts().list.Hosts
	var wg sync.WaitGroup
	for _, i := range rand.Perm(len(hosts))[:min(len(hosts), maxNotifiedPeers)] {
		if hosts[i].Name == g.self.Name {
			continue
		}
		wg.Go(func() {
			s, err := g.transport.Open(ctx, hosts[i].Peers, wire.ExchangeQuarantine)
			if err != nil {
				return // heartbeats and marked replies bring it later
			}
			defer s.Reset()
			defer context.AfterFunc(ctx, s.Reset)()
			var ack wire.QuarantineAck
			if s.Send(notice) == nil {
				_ = s.Receive(&ack)
			}
		})
	}
	wg.Wait()
}

// serve takes a notice of a peer.
func (g *quarantineGuard) serveNotice(s *peer.Stream) {
	var notice wire.QuarantineNotice
	if err := s.Receive(&notice); err != nil || g.config.tree() == nil {
		s.Reset()
		return
	}
	g.importEntries(notice.Entries)
	if err := s.Send(&wire.QuarantineAck{}); err != nil {
		s.Reset()
	}
}
