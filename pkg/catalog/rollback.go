package catalog

import (
	"cmp"
	"time"
)

const (
	// MissingPlaceRetention is how long an evacuation stays in force whose item is missing
	// after a rollback of the store, unless operators write it again.
	MissingPlaceRetention = 5 * time.Second
	// ReappearedTargetDelay is how long a target is not used whose item was removed before a
	// rollback of the store and is back after it: the copy may be older than the removal. The
	// item of a target that has ended lapses within this time.
	ReappearedTargetDelay = 5 * time.Second
)

// RollBack replaces the content by a full read of a store that came back from an older copy,
// at a revision that cannot be compared with those before. What the store lost is written
// again a moment later, so what the catalog knows stays in force until then: the
// configuration is never replaced by an older version, targets and evacuations that the read
// lacks are retained, a target's process that was draining goes on draining, and one that was
// removed or replaced by a later process is not used again at once.
func (c *Catalog) RollBack(now time.Time, revision uint64, items []Item) {
	c.StoreRecovered(now)
	c.rolledBackAt = now
	old, oldPlaces := c.targets, c.evacuated
	c.targets, c.tombstones, c.evacuated = make(map[string]*entry, len(items)), 0, map[string]evacuation{}
	c.revision, c.floor, c.storeConfig = revision, revision, 0
	for _, it := range items {
		if it.Kind == KindTarget {
			c.putEntry(it.Name, old[it.Name].afterRollback(now, it))
			continue
		}
		c.apply(now, it)
	}
	for name, e := range old {
		if _, ok := c.targets[name]; ok {
			continue
		}
		if e.target == nil {
			c.putEntry(name, e.at(revision))
			continue
		}
		kept := e.at(revision)
		kept.missingSince = time.Time{} // what the store lost is written again from now on
		c.targets[name] = kept
		c.remove(now, name, revision)
	}
	for place, e := range oldPlaces {
		if _, ok := c.evacuated[place]; !ok && !e.ended {
			c.evacuated[place] = evacuation{revision: revision, missingSince: now}
		}
	}
	c.dropTombstones(now)
}

// earliest returns a time, or now if it is zero.
func earliest(t, now time.Time) time.Time {
	if t.IsZero() {
		return now
	}
	return t
}

// at returns a copy of an entry with a revision of another era.
func (e *entry) at(revision uint64) *entry {
	c := *e
	c.revision = revision
	return &c
}

// afterRollback returns the entry of a target that a store which came back from an older copy
// has. The entry known before may be nil.
func (e *entry) afterRollback(now time.Time, it Item) *entry {
	read := &entry{target: it.Target, revision: it.Revision}
	if it.Retained {
		read.missingSince = now
	}
	if it.Held {
		read.heldUntil = now.Add(ReappearedTargetDelay)
	}
	if e == nil || it.Target == nil {
		return read
	}
	if known := e.lastProcess(); e.target == nil && (known == nil || known.SameProcess(it.Target)) {
		read.heldUntil = now.Add(ReappearedTargetDelay)
	}
	return e.withKnownEnd(now, read)
}

// lastProcess returns the target, or the one that a tombstone stands for; nil if not known.
func (e *entry) lastProcess() *Target { return cmp.Or(e.target, e.removed) }

// withKnownEnd returns the entry of a target as the store or a peer has it, unless that takes
// back what is known of the end of a process: that it was draining, is held or was replaced by a
// later one. The entry known before may be nil.
func (e *entry) withKnownEnd(now time.Time, read *entry) *entry {
	if e == nil || read.target == nil || e.lastProcess() == nil {
		return read
	}
	known := e.lastProcess()
	same := known.SameProcess(read.target)
	switch {
	case known.Started > read.target.Started && e.target == nil:
		read.heldUntil = now.Add(ReappearedTargetDelay)
	case known.Started > read.target.Started:
		kept := e.at(read.revision)
		kept.missingSince = earliest(e.missingSince, now)
		return kept
	case same && e.target != nil && e.heldUntil.After(read.heldUntil):
		read.heldUntil = e.heldUntil
	}
	if same {
		read.target = read.target.withKnownState(known)
	}
	return read
}

// withKnownState returns the target unless its registration is older than another one of the same
// process: a process that drains goes on draining, and the end of its warm-up does not move.
func (t *Target) withKnownState(known *Target) *Target {
	coldLonger := t.Cold > 0 && t.SeenAt.Add(t.Cold).After(known.SeenAt.Add(known.Cold))
	if !coldLonger && (t.Draining || !known.Draining) {
		return t
	}
	merged := *t
	merged.Draining = t.Draining || known.Draining
	if coldLonger {
		merged.Cold, merged.SeenAt = known.Cold, known.SeenAt
	}
	return &merged
}

// Learn takes over what a peer at the same revision knows of the time before a rollback and this
// host does not, because it has started since: processes that have ended or drain, and evacuations
// that are missing. It reports whether there was anything.
func (c *Catalog) Learn(now time.Time, v *View) bool {
	changed := false
	learn := func(id string, known *entry) {
		own, ok := c.targets[id]
		if !ok || own.target == nil {
			return
		}
		if merged := known.withKnownEnd(now, own.at(own.revision)); *merged != *own {
			c.targets[id], changed = merged, true
		}
	}
	for id, t := range v.Targets {
		learn(id, v.entry(now, id, t))
	}
	for id, t := range v.Held {
		known := v.entry(now, id, t)
		known.heldUntil = now.Add(ReappearedTargetDelay)
		learn(id, known)
	}
	for place := range v.RetainedPlaces {
		if _, ok := c.evacuated[place]; !ok {
			c.evacuated[place], changed = evacuation{revision: c.revision, missingSince: now}, true
		}
	}
	return changed
}
