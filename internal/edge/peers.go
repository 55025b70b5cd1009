package edge

import (
	"context"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/gossip"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

const (
	// newsFor is how long a change is told in heartbeats. It reaches a fleet of some
	// hundred hosts in half of that; who missed it asks for it.
	newsFor = 1500 * time.Millisecond
	// maxPositions bounds the changes that are told one by one.
	maxPositions = 4
)

// positions are what the state was at before the latest changes, the oldest first.
type positions struct {
	current gossip.Position
	before  []position
}

type position struct {
	known gossip.Position
	until time.Time // told until then
}

// add records a change to a new position.
func (p *positions) add(now time.Time, to gossip.Position) {
	if p.current.Revision > 0 && to != p.current {
		p.before = append(p.before, position{p.current, now.Add(newsFor)})
		p.before = p.before[max(0, len(p.before)-maxPositions):]
	}
	p.current = to
}

// told returns the positions whose changes are news, the oldest first.
func (p *positions) told(now time.Time) []gossip.Position {
	var told []gossip.Position
	for _, b := range p.before {
		if now.Before(b.until) {
			told = append(told, b.known)
		}
	}
	return told
}

// known returns the position of the state. The lock must be held.
func (f *follower) known() gossip.Position {
	return gossip.Position{Revision: f.book.Revision(), ConfigVersion: f.book.ConfigVersion()}
}

// changes returns what a host at a position lacks. The lock must be held.
func (f *follower) changes(known gossip.Position) (gossip.Update, bool) {
	s := gossip.Update{After: known.Revision, Revision: f.book.Revision(), ConfirmedAge: time.Since(f.confirmed)}
	var ok bool
	s.Changes, ok = f.book.ChangesSince(known.Revision, known.ConfigVersion)
	return s, ok
}

// state returns what a peer lacks; false before the first read.
func (f *follower) state(known gossip.Position) (gossip.Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.changes(known)
	if !ok {
		s.View, s.After = f.book.View(), 0
	}
	return s, s.Revision > 0
}

// news returns the latest changes, those that go back furthest first.
func (f *follower) news() []gossip.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []gossip.Update
	for _, known := range f.recent.told(time.Now()) {
		if s, ok := f.changes(known); ok && len(s.Changes) > 0 {
			news = append(news, s)
		}
	}
	return news
}

// heard takes what a peer says about its knowledge of the store.
func (f *follower) heard(ctx context.Context, peer roster.State, news *gossip.Update) {
	now := time.Now()
	confirmed := now.Add(-time.Duration(peer.ConfirmedAge) * time.Millisecond)
	f.mu.Lock()
	mine := f.book.Revision()
	if peer.Revision == mine && mine > 0 && confirmed.After(f.confirmed) {
		f.confirmed = confirmed
	}
	var changed *catalog.View
	if news != nil && news.View == nil && news.After > 0 && news.After <= mine && news.Revision > mine {
		// A patch for a configuration that this host does not have is no error: the
		// state is pulled.
		changed, _ = f.learn(now, *news)
	}
	pull := peer.Revision > f.book.Revision() && !f.pulling
	f.pulling = f.pulling || pull
	f.mu.Unlock()
	if changed != nil {
		f.publish(changed)
	}
	if pull {
		go f.pull(ctx, peer)
	}
}

// pull completes the state from a peer that knows more.
func (f *follower) pull(ctx context.Context, peer roster.State) {
	f.mu.Lock()
	var known gossip.Position
	if !f.whole {
		known = f.known()
	}
	f.mu.Unlock()
	state, err := f.puller.Pull(ctx, peer.PeerAddress, known)
	f.mu.Lock()
	f.pulling = false
	var changed *catalog.View
	if err == nil {
		changed, err = f.learn(time.Now(), state)
		f.whole = err != nil
	}
	f.mu.Unlock()
	if err != nil {
		f.log.Debug("the state of a peer was not taken", "peer", peer.Name, "known", known.Revision, "error", err)
	}
	if changed != nil {
		f.publish(changed)
	}
}

// learn takes the state of a peer and returns the view if it is new. The lock must
// be held.
func (f *follower) learn(now time.Time, state gossip.Update) (*catalog.View, error) {
	before := f.book.Revision()
	if state.View != nil {
		f.book.Adopt(now, state.View)
	} else if err := f.book.ApplyChanges(now, state.Revision, state.Changes); err != nil {
		return nil, err
	}
	if state.Revision == f.book.Revision() {
		if confirmed := now.Add(-state.ConfirmedAge); confirmed.After(f.confirmed) {
			f.confirmed = confirmed
		}
	}
	if f.book.Revision() == before {
		return nil, nil
	}
	f.full = false
	f.recent.add(now, f.known())
	return f.book.View(), nil
}
