package catalog

import (
	"slices"
	"time"
)

const (
	// maxTombstones bounds the number of tombstones. If a fleet replaces all of its
	// several thousand targets in a day, they cover the last hour or more.
	maxTombstones = 1024
	// maxRecentConfigs is the number of earlier configurations for which patches
	// can be made. A peer is seldom more than one version behind.
	maxRecentConfigs = 3
	// tombstoneRetention is how long a tombstone is kept at least, for a store that comes back
	// from a copy that still has the target.
	tombstoneRetention = time.Minute
)

// ChangesSince returns the changes after a revision for a host that has the given
// version of the configuration. It returns false if the catalog does not have all
// of them, or if after is greater than the catalog's revision; the host then needs a
// whole View.
func (c *Catalog) ChangesSince(after, configVersion uint64) ([]Item, bool) {
	if after < c.floor || after > c.revision {
		return nil, false
	}
	var items []Item
	if c.config != nil && configVersion < c.config.Version {
		items = append(items, c.configSince(configVersion))
	}
	for name, e := range c.targets {
		if e.revision <= after {
			continue
		}
		it := Item{Kind: KindTarget, Name: name, Revision: e.revision, Target: e.target, Retained: !e.missingSince.IsZero(), Held: !e.heldUntil.IsZero()}
		it.Deleted = e.target == nil
		items = append(items, it)
	}
	for place, e := range c.evacuated {
		if e.revision > after {
			items = append(items, Item{Kind: KindEvacuation, Name: place, Revision: e.revision, Deleted: e.ended, Retained: !e.missingSince.IsZero()})
		}
	}
	return items, true
}

// configSince returns the configuration for a host that has the given version, as
// a patch if that version is among the recent ones. The item has no revision:
// versions of the configuration only increase, so the item applies at any revision.
func (c *Catalog) configSince(version uint64) Item {
	it := Item{Kind: KindConfig}
	for _, config := range c.recentConfigs {
		if config.Version != version {
			continue
		}
		if it.Patch = config.Diff(c.config); it.Patch != nil {
			return it
		}
	}
	it.Config = c.config
	return it
}

// canApply reports whether a patch can be applied or is no longer needed.
func (c *Catalog) canApply(p *Patch) bool {
	return c.config != nil && (c.config.Version == p.Base || c.config.Version >= p.Version)
}

// dropTombstones deletes the tombstones with revisions up to the floor that are older than
// tombstoneRetention, and the oldest others if there are more than maxTombstones.
func (c *Catalog) dropTombstones(now time.Time) {
	c.dropTombstonesUpToFloor(func(e *entry) bool { return now.Sub(e.removedAt) >= tombstoneRetention })
	c.limitTombstones()
}

// dropTombstonesUpToFloor deletes ended evacuations, and those tombstones of targets for which
// drop returns true, with revisions up to the floor.
func (c *Catalog) dropTombstonesUpToFloor(drop func(*entry) bool) {
	for name, e := range c.targets {
		if e.target == nil && e.revision <= c.floor && drop(e) {
			delete(c.targets, name)
			c.tombstones--
		}
	}
	for place, e := range c.evacuated {
		if e.ended && e.revision <= c.floor {
			delete(c.evacuated, place)
		}
	}
}

// limitTombstones raises the floor if there are more than maxTombstones, ended evacuations
// included, so that only the newest remain, fewer than half of that number.
func (c *Catalog) limitTombstones() {
	var ended []uint64 // revisions
	for _, e := range c.evacuated {
		if e.ended {
			ended = append(ended, e.revision)
		}
	}
	if c.tombstones+len(ended) <= maxTombstones {
		return
	}
	revisions := ended
	for _, e := range c.targets {
		if e.target == nil {
			revisions = append(revisions, e.revision)
		}
	}
	slices.Sort(revisions)
	c.floor = max(c.floor, revisions[len(revisions)-maxTombstones/2])
	c.dropTombstonesUpToFloor(func(*entry) bool { return true })
}
