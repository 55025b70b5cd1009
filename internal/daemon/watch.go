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

// platformCheckInterval is the minimum time between the reads of a host that is
// paused repeatedly, so that 1,300 such hosts cause at most 650 reads per second.
const platformCheckInterval = 2 * time.Second

// watcherPollInterval is how often a host checks whether it must read or watch the
// platform.
const watcherPollInterval = 500 * time.Millisecond

// watch reads a published value once and then watches it while this host is one of
// the watchers of its place.
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

// needsRead reports whether this host must read a published value: it has no
// document of the value, has no configuration in force, or is a watcher of its place.
func (c *control) needsRead(value wire.Published) bool {
	return c.config.tree() == nil || c.published(value).position().Version == 0 || c.isWatcher()
}

// isWatcher reports whether this host is currently a watcher of its place.
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

// checkPlatform reads the configuration once after a pause. An answer helps to
// confirm the state of this host.
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
