package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/gossip"
	"github.com/lacewingyard/lacewingyard/internal/guard"
	"github.com/lacewingyard/lacewingyard/pkg/published"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

const (
	// maxPullRetries bounds the further peers that are asked for the state if the first is
	// sending it to others, and minPullPause is the shortest pause between two, the longest
	// being twice as long. A small host sends a state within one.
	maxPullRetries = 12
	minPullPause   = 10 * time.Millisecond
	// maxNamedPeers bounds the peers that a busy host names.
	maxNamedPeers = 8
)

// updateFor returns what a peer at a position lacks; see published.Replica.UpdateFor.
func (f *follower) updateFor(position published.Position) (published.Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.UpdateFor(time.Now(), position)
}

// recentUpdates returns an update from each recent position, the oldest position first.
func (f *follower) recentUpdates() []published.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.RecentUpdates(time.Now())
}

// observePeer handles what a peer reported of itself in a heartbeat, and the update of the
// published state in it if there is one. If the peer has a later state that the update does not
// provide, the host pulls from the peer.
func (f *follower) observePeer(ctx context.Context, peer roster.State, update *published.Update) {
	f.mu.Lock()
	taken, pull := f.replica.ObservePeer(time.Now(), peer, update)
	position := f.replica.Position()
	f.unlock()
	f.publishTaken(taken, position)
	if pull {
		go f.pull(ctx, peer)
	}
}

// pullFallback pulls from the peer with the latest old state once this host takes such a
// state.
func (f *follower) pullFallback(ctx context.Context, now time.Time) {
	f.mu.Lock()
	peer := f.replica.TakeFallback(now)
	f.mu.Unlock()
	if peer == nil {
		return
	}
	f.logFirst(hclog.Info, "the store does not answer; taking the state of a peer that was not confirmed lately", "", "peer", peer.Name, "era", peer.Era, "revision", peer.Revision)
	go f.pull(ctx, *peer)
}

// pull pulls from a peer that has a later state.
func (f *follower) pull(ctx context.Context, peer roster.State) {
	f.mu.Lock()
	position := f.replica.BeginPull(peer)
	f.mu.Unlock()
	var update published.Update
	err := errPanicked
	guard.Run(f.log, "pull", func() { update, err = f.pullFromAny(ctx, peer.PeerAddress, position) })
	var taken published.Taken
	f.mu.Lock()
	if err != nil {
		_, _ = f.replica.EndPull(time.Now(), peer.Name, nil)
	} else {
		taken, err = f.replica.EndPull(time.Now(), peer.Name, &update)
	}
	now := f.replica.Position()
	f.unlock()
	if err != nil {
		f.log.Debug("failed to pull the state from a peer", "peer", peer.Name, "known", position.Revision, "error", err)
	}
	f.publishTaken(taken, now)
}

// pullFromAny pulls from the peer at an address or, while that peer is sending the state to
// others, from one that it names.
func (f *follower) pullFromAny(ctx context.Context, address string, position published.Position) (published.Update, error) {
	for retries := 0; ; retries++ {
		update, err := f.puller.Pull(ctx, address, position)
		var busy *gossip.BusyError
		if !errors.As(err, &busy) || retries == maxPullRetries || ctx.Err() != nil {
			return update, err
		}
		sleep(ctx, minPullPause+rand.N(minPullPause))
		if len(busy.Peers) > 0 {
			address = busy.Peers[rand.IntN(len(busy.Peers))]
		}
	}
}
