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
	// notifyTimeout bounds how long an answer waits for the peers to acknowledge that
	// a target died under the query. Without the wait, a caller that sends the query
	// again at once through another host would crash another replica.
	notifyTimeout = 100 * time.Millisecond
	// maxNotifiedPeers bounds the peers that get a notice; the others get the entry
	// with heartbeats.
	maxNotifiedPeers = 16
)

// notifyPeers sends the entry of a fingerprint to peers and returns when they have
// acknowledged it or notifyTimeout has passed.
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
				return // the peer gets the entry with heartbeats or search replies
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

// serveNotice imports the entries of a peer's notice and acknowledges it.
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
