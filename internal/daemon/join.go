package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/configsync"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

const (
	joinPeers        = 8 // peers that a new host of a large fleet asks for the configuration
	joinPollInterval = 10 * time.Millisecond
)

// join collects the configuration from the service and peers before the newest one
// comes into force, and then waits until this host may start work.
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
	// Another exchange may still be pulling the version that a peer reported.
	_ = waitFor(asking, joinPollInterval, c.holdsNewest)
	if waitFor(ctx, joinPollInterval, func() bool { return c.config.position().Version > 0 }) != nil {
		return
	}
	c.config.release()
	// At the first start of a fleet, this wait keeps callers away from hosts that may
	// not use their shares yet. A replacement serves as entry host at once.
	_ = waitFor(asking, joinPollInterval, c.firstProcessSettled)
	if waitFor(ctx, joinPollInterval, c.ready) == nil {
		close(c.joined)
	}
}

// holdsNewest reports whether this host has accepted or refused the newest
// configuration that a peer has reported.
func (c *control) holdsNewest() bool {
	c.mu.Lock()
	newest := c.newestOffered
	c.mu.Unlock()
	current := false
	c.config.withState(func(s *configsync.State) { current = !s.Behind(newest) })
	return current
}

// waitFor polls a condition until it holds, or returns the error of the context
// when it ends.
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
