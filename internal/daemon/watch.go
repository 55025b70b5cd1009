package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/configsync"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

// platformCheckInterval limits the reads of hosts that are paused again and
// again: 1,300 of them then cost 650 reads a second.
const platformCheckInterval = 2 * time.Second

// watcherPollInterval is how often a host looks whether it watches the platform.
const watcherPollInterval = 500 * time.Millisecond

// watch reads a value once and then watches it while this host is one of its
// place's watchers.
func (c *control) watch(ctx context.Context, value wire.Published) {
	known := func() uint64 { return c.published(value).position().Version }
	offer := func(raw []byte) { c.offer(value, raw) }
	answered := func(began time.Time) {
		if value == wire.PublishedConfig {
			c.recordPlatformRead(began)
		}
	}
	for first := true; ctx.Err() == nil; first = false {
		if first || c.isWatcher() {
			watching, cancel := context.WithCancel(ctx)
			c.watching[value].Store(true)
			c.wg.Go(func() {
				_ = waitFor(watching, watcherPollInterval, func() bool { return !c.needsRead(value) })
				cancel()
			})
			c.clients[value].Watch(watching, known, offer, answered)
			c.watching[value].Store(false)
			cancel()
		}
		_ = waitFor(ctx, watcherPollInterval, func() bool { return c.needsRead(value) })
	}
}

// needsRead reports whether this host reads a value: it has none yet, has not
// joined, or is a watcher of its place.
func (c *control) needsRead(value wire.Published) bool {
	return c.config.tree() == nil || c.published(value).position().Version == 0 || c.isWatcher()
}

// watches reports whether this host is a watcher of its place now.
func (c *control) isWatcher() bool {
	tree := c.config.tree()
	if tree == nil {
		return false
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return configsync.Watches(c.self.Place, c.self.Ordinal, tree.Doc.Places[c.self.Place].Hosts, tree.Doc.Version, func(ordinal int) bool {
		h, ok := c.directory.hosts().byOrdinal[ordinalID{c.self.Place, ordinal}]
		return ok && c.view.Heard(now, h.Name)
	})
}

func (c *control) recordPlatformRead(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.PlatformRead(time.Now(), began)
}

// checkPlatform asks the service for a newer configuration after a pause.
func (c *control) checkPlatform(ctx context.Context) {
	last, now := c.lastPlatformCheck.Load(), time.Now().UnixNano()
	if time.Duration(now-last) < platformCheckInterval || !c.lastPlatformCheck.CompareAndSwap(last, now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membership.ConfirmLimit)
	defer cancel()
	began := time.Now()
	data, _, err := c.clients[wire.PublishedConfig].Get(ctx, c.config.position().Version, 0)
	if err == nil {
		c.offer(wire.PublishedConfig, data)
	}
	if err == nil || errors.Is(err, platform.ErrUnchanged) {
		c.recordPlatformRead(began)
	}
}
