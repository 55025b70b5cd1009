package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/configsync"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

const (
	joinPeers        = 8 // peers that a new host of a large fleet asks
	joinPollInterval = 10 * time.Millisecond
)

// join asks the service and peers for the configuration before it comes into
// force, and then waits until this host may work.
func (c *control) join(ctx context.Context) {
	if waitFor(ctx, joinPollInterval, func() bool { return c.directory.hosts() != nil }) != nil {
		return
	}
	c.mu.Lock()
	ask := c.view.Contacts()
	if len(ask) <= membership.MaxContacts {
		hosts := c.directory.hosts().list.Hosts
		all := make([]membership.Peer, 0, len(hosts))
		for _, h := range hosts {
			if h.Name != c.self.Name {
				all = append(all, membership.Peer{Name: h.Name, Address: h.Peers, OrdinalID: membership.OrdinalID{Place: h.Place, Ordinal: h.Ordinal}})
			}
		}
		ask = membership.SamplePeers(c.rng, all, c.self.Place, joinPeers)
	}
	c.mu.Unlock()
	asking, cancel := context.WithTimeout(ctx, membership.ConfirmLimit)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range ask {
		wg.Go(func() { c.exchange(asking, p) })
	}
	wg.Wait()
	// A heartbeat may still be pulling what a peer named.
	_ = waitFor(asking, joinPollInterval, c.holdsNewest)
	if waitFor(ctx, joinPollInterval, func() bool { return c.config.position().Version > 0 }) != nil {
		return
	}
	c.config.release()
	// Callers of a fleet that starts for the first time should not meet hosts
	// that may not use their shares yet. A replacement serves as entry at once.
	_ = waitFor(asking, joinPollInterval, c.firstProcessSettled)
	if waitFor(ctx, joinPollInterval, c.ready) == nil {
		close(c.joined)
	}
}

// holdsNewest reports whether this host holds the newest configuration that a
// peer has named, or has refused it.
func (c *control) holdsNewest() bool {
	c.mu.Lock()
	newest := c.newestOffered
	c.mu.Unlock()
	held := false
	c.config.withState(func(s *configsync.State) { held = !s.Behind(newest) })
	return held
}

// waitFor polls a condition until it holds or the context ends.
func waitFor(ctx context.Context, poll time.Duration, condition func() bool) error {
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
