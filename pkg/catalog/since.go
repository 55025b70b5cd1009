package catalog

import "slices"

const (
	// maxGone bounds the entries kept of targets that are gone. A fleet that
	// replaces all of some thousand targets in a day keeps those of an hour or
	// more.
	maxGone = 1024
	// maxRecent is the number of earlier configurations for which changes can be
	// told. A peer is seldom more than one behind.
	maxRecent = 3
)

// ChangesSince returns what changed after a revision, in the form of change notices, for
// a host that has the given version of the configuration. It returns false if the
// book does not know all of it; then the whole state has to be passed on.
func (b *Catalog) ChangesSince(after, config uint64) ([]Item, bool) {
	if after < b.floor || after > b.revision {
		return nil, false
	}
	var items []Item
	if b.config != nil && config < b.config.Version {
		items = append(items, b.configSince(config))
	}
	for name, e := range b.targets {
		if e.revision <= after {
			continue
		}
		it := Item{Kind: KindTarget, Name: name, Revision: e.revision, Target: e.target, Retained: !e.missing.IsZero()}
		it.Deleted = e.target == nil
		items = append(items, it)
	}
	for place, e := range b.evacuated {
		if e.revision > after {
			items = append(items, Item{Kind: KindEvacuation, Name: place, Revision: e.revision, Deleted: e.over})
		}
	}
	return items, true
}

// configSince returns the configuration, as a patch if the version of the host
// that asks is known. It has no revision: configurations only go up, so it applies
// whatever else the host knows.
func (b *Catalog) configSince(version uint64) Item {
	it := Item{Kind: KindConfig}
	for _, c := range b.recent {
		if c.Version != version {
			continue
		}
		if it.Patch = c.Diff(b.config); it.Patch != nil {
			return it
		}
	}
	it.Config = b.config
	return it
}

// fits reports whether a patch can be applied or is not needed any more.
func (b *Catalog) fits(p *Patch) bool {
	return b.config != nil && (b.config.Version == p.Base || b.config.Version >= p.Version)
}

// dropGone forgets the entries without a target up to the floor.
func (b *Catalog) dropGone() {
	for name, e := range b.targets {
		if e.target == nil && e.revision <= b.floor {
			delete(b.targets, name)
			b.gone--
		}
	}
}

// prune forgets the oldest entries without a target if there are too many.
func (b *Catalog) prune() {
	if b.gone <= maxGone {
		return
	}
	revisions := make([]uint64, 0, b.gone)
	for _, e := range b.targets {
		if e.target == nil {
			revisions = append(revisions, e.revision)
		}
	}
	slices.Sort(revisions)
	b.floor = max(b.floor, revisions[len(revisions)-maxGone/2])
	b.dropGone()
}
