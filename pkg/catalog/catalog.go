package catalog

import (
	"time"

	"github.com/cockroachdb/errors"
)

// MissingTargetRetention is how long a target stays in use whose item is missing
// after a store outage. Items expire during an outage; a running target renews
// its item within two seconds after the outage.
const MissingTargetRetention = 2 * time.Second

// Kind is what an item of the store describes.
type Kind uint8

// Kinds of items.
const (
	KindOther Kind = iota // ignored by the catalog
	KindConfig
	KindTarget
	KindEvacuation
)

// Item is one decoded item of the store, or its deletion.
type Item struct {
	Kind     Kind    `cbor:"1,keyasint,omitempty"`
	Name     string  `cbor:"2,keyasint,omitempty"` // of the target or the place
	Revision uint64  `cbor:"3,keyasint,omitempty"` // of the store; 0 in a configuration from ChangesSince
	Deleted  bool    `cbor:"4,keyasint,omitempty"`
	Config   *Config `cbor:"5,keyasint,omitempty"` // for KindConfig
	Patch    *Patch  `cbor:"6,keyasint,omitempty"` // for KindConfig, in place of Config
	Target   *Target `cbor:"7,keyasint,omitempty"` // for KindTarget; nil if deleted or not decodable
	// Retained is set if the item of the target or place is missing after a store outage and
	// the item is still in use; see MissingTargetRetention and MissingPlaceRetention.
	Retained bool `cbor:"8,keyasint,omitempty"`
	// Held is set if the target is not used yet; see ReappearedTargetDelay.
	Held bool `cbor:"9,keyasint,omitempty"`
}

// Catalog merges full reads and changes of the store. The zero value is not ready
// for use; call New.
type Catalog struct {
	revision      uint64
	floor         uint64 // the catalog may lack deletions up to this revision; see ChangesSince
	config        *Config
	storeConfig   uint64    // version of the configuration that the store was last known to have; 0 if not known
	recentConfigs []*Config // earlier configurations, the latest last
	targets       map[string]*entry
	tombstones    int // number of entries in targets that are tombstones
	evacuated     map[string]evacuation

	views        uint64    // number of views returned
	rolledBackAt time.Time // when RollBack was last called
	retainUntil  time.Time // targets whose items go missing before this time are retained
}

// entry is a target, or a tombstone if target is nil.
type entry struct {
	target       *Target // nil if the item was deleted or is not decodable
	revision     uint64
	missingSince time.Time // when the item was found missing; zero if it is not
	heldUntil    time.Time // the target is not used before; zero if it is
	// removed is the target that a tombstone stands for, nil if it is not known, and
	// removedAt when it was removed.
	removed   *Target
	removedAt time.Time
}

// evacuation is a place that is out of service or, if ended, was.
type evacuation struct {
	revision     uint64
	ended        bool
	missingSince time.Time // when the item was found missing after a rollback; zero if it is not
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{targets: map[string]*entry{}, evacuated: map[string]evacuation{}}
}

// Revision returns the revision of the store up to which the catalog has all
// changes.
func (c *Catalog) Revision() uint64 { return c.revision }

// ConfigVersion returns the version of the configuration, 0 if there is none.
func (c *Catalog) ConfigVersion() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// StoreConfigVersion returns the version of the configuration that the store was last known to
// have, 0 if it is not known. It is lower than ConfigVersion if the store came back from an
// older copy.
func (c *Catalog) StoreConfigVersion() uint64 { return c.storeConfig }

// SetStoreConfigVersion sets the version that StoreConfigVersion returns, as another host knows
// it.
func (c *Catalog) SetStoreConfigVersion(version uint64) { c.storeConfig = version }

// StoreRecovered records that the store answers again after an outage. Targets
// whose items go missing within MissingTargetRetention from now are retained.
func (c *Catalog) StoreRecovered(now time.Time) { c.retainUntil = now.Add(MissingTargetRetention) }

// Replace replaces the content by a full read of the store at a revision. Targets
// and evacuations that the read lacks are removed. A read older than Revision is
// ignored.
func (c *Catalog) Replace(now time.Time, revision uint64, items []Item) {
	if revision < c.revision {
		return
	}
	present := map[string]bool{}
	places := map[string]bool{}
	for _, it := range items {
		switch it.Kind {
		case KindTarget:
			present[it.Name] = true
		case KindEvacuation:
			places[it.Name] = true
		}
		c.apply(now, it)
	}
	for name, e := range c.targets {
		if !present[name] && e.target != nil {
			c.remove(now, name, revision)
		}
	}
	for place, e := range c.evacuated {
		if !places[place] && !e.ended && e.missingSince.IsZero() {
			c.evacuated[place] = evacuation{revision: revision, ended: true}
		}
	}
	// Items created and deleted between two reads are unknown to the catalog.
	c.revision, c.floor = revision, revision
	c.dropTombstones(now)
}

// ApplyChanges applies the changes up to a revision. Changes that the catalog has
// already, because it adopted a newer state meanwhile, are skipped: they would
// restore a target that was deleted since. An item of revision 0 is not
// skipped: it is a configuration from ChangesSince, whose version decides.
// ApplyChanges returns an error, and changes nothing, if a change is a patch of a
// configuration that the catalog does not have.
func (c *Catalog) ApplyChanges(now time.Time, revision uint64, items []Item) error {
	for i := range items {
		if p := items[i].Patch; p != nil && !c.canApply(p) {
			return errors.Newf("a patch of configuration version %d does not apply to the current version", p.Base)
		}
	}
	for _, it := range items {
		if it.Revision == 0 || it.Revision > c.revision {
			c.apply(now, it)
		}
	}
	c.revision = max(c.revision, revision)
	c.limitTombstones()
	return nil
}

// AdoptConfig adopts a configuration or a patch of one from another host if it is newer than
// the one in force, whatever the revision of the host's state. It returns an error if it is a
// patch of a configuration that the catalog does not have.
func (c *Catalog) AdoptConfig(now time.Time, items []Item) error {
	var configs []Item
	for _, it := range items {
		if it.Kind == KindConfig && it.Revision == 0 {
			configs = append(configs, it)
		}
	}
	return c.ApplyChanges(now, c.revision, configs)
}

// Adopt replaces the content by the view of another host if that has a later
// revision, and reports whether it did. A newer configuration is adopted at any
// revision of the view.
func (c *Catalog) Adopt(now time.Time, v *View) bool {
	c.adoptConfig(v.Config)
	if v.Revision <= c.revision {
		return false
	}
	c.storeConfig = v.StoreConfig
	c.revision, c.floor = v.Revision, v.Revision
	old := c.targets
	c.targets, c.tombstones = make(map[string]*entry, len(v.Targets)), 0
	for id, t := range v.Targets {
		c.targets[id] = v.entry(now, id, t)
	}
	for id, t := range v.Held {
		c.targets[id] = v.entry(now, id, t)
		c.targets[id].heldUntil = now.Add(ReappearedTargetDelay)
	}
	if now.Sub(c.rolledBackAt) < ReappearedTargetDelay {
		for id, e := range c.targets {
			c.targets[id] = old[id].withKnownEnd(now, e)
		}
	}
	for id, e := range old {
		switch _, ok := c.targets[id]; {
		case ok:
		case e.target != nil:
			c.targets[id] = e
			c.remove(now, id, v.Revision)
		case now.Sub(e.removedAt) < tombstoneRetention:
			c.putEntry(id, e)
		}
	}
	oldPlaces := c.evacuated
	c.evacuated = make(map[string]evacuation, len(v.Evacuated))
	for place := range v.Evacuated {
		e := evacuation{revision: v.Revision}
		if v.RetainedPlaces[place] {
			e.missingSince = now
		}
		c.evacuated[place] = e
	}
	for place, e := range oldPlaces {
		if _, ok := c.evacuated[place]; !ok && !e.ended && !e.missingSince.IsZero() {
			e.revision = v.Revision
			c.evacuated[place] = e
		}
	}
	c.dropTombstones(now)
	return true
}

func (c *Catalog) adoptConfig(config *Config) {
	if config == nil || c.config != nil && config.Version <= c.config.Version {
		return
	}
	if config.byHostname == nil {
		config.buildIndex()
	}
	if c.config != nil {
		c.recentConfigs = append(c.recentConfigs, c.config)
		c.recentConfigs = c.recentConfigs[max(0, len(c.recentConfigs)-maxRecentConfigs):]
	}
	c.config = config
}

func (c *Catalog) apply(now time.Time, it Item) {
	switch it.Kind {
	case KindConfig:
		if it.Revision > 0 && it.Config != nil {
			c.storeConfig = it.Config.Version
		}
		switch {
		case it.Deleted:
		case it.Patch != nil:
			if it.Patch.Base == c.config.Version {
				c.adoptConfig(c.config.withPatch(it.Patch))
			}
		default:
			c.adoptConfig(it.Config)
		}
	case KindTarget:
		c.applyTarget(now, it)
	case KindEvacuation:
		c.applyEvacuation(now, it)
	}
}

// applyTarget applies an item of a target unless the catalog has that revision of it, or a later
// one.
func (c *Catalog) applyTarget(now time.Time, it Item) {
	if e, ok := c.targets[it.Name]; ok && it.Revision <= e.revision {
		return
	}
	if it.Deleted {
		c.remove(now, it.Name, it.Revision)
		return
	}
	e := &entry{target: it.Target, revision: it.Revision}
	if it.Retained {
		e.missingSince = now
	}
	if it.Held {
		e.heldUntil = now.Add(ReappearedTargetDelay)
	}
	c.putEntry(it.Name, e)
}

// putEntry stores an entry and keeps the number of tombstones.
func (c *Catalog) putEntry(name string, e *entry) {
	if old, ok := c.targets[name]; ok && old.target == nil {
		c.tombstones--
	}
	if e.target == nil {
		c.tombstones++
	}
	c.targets[name] = e
}

func (c *Catalog) applyEvacuation(now time.Time, it Item) {
	if known, ok := c.evacuated[it.Name]; ok && it.Revision <= known.revision {
		return
	}
	e := evacuation{revision: it.Revision, ended: it.Deleted}
	if it.Retained {
		e.missingSince = now
	}
	c.evacuated[it.Name] = e
}

// remove replaces a target by a tombstone, which tells peers of the deletion and
// rejects late changes. After a store outage the target is retained instead,
// unless it is draining.
func (c *Catalog) remove(now time.Time, name string, revision uint64) {
	e, ok := c.targets[name]
	if ok && e.target != nil && now.Before(c.retainUntil) && !e.target.Draining {
		e.revision = revision
		if e.missingSince.IsZero() {
			e.missingSince = now
		}
		return
	}
	c.putEntry(name, e.tombstone(now, revision))
}

// tombstone returns what replaces an entry, which may be nil, when its item is removed.
func (e *entry) tombstone(now time.Time, revision uint64) *entry {
	t := &entry{revision: revision, removedAt: now}
	switch {
	case e == nil:
	case e.target != nil:
		t.removed = e.target
	default:
		t.removed = e.removed
	}
	return t
}

// Expire removes the retained targets and evacuations whose items have been missing for
// MissingTargetRetention and MissingPlaceRetention, and puts held targets in use after
// ReappearedTargetDelay. It reports whether there were any.
func (c *Catalog) Expire(now time.Time) bool {
	changed := false
	for name, e := range c.targets {
		switch {
		case !e.missingSince.IsZero() && now.Sub(e.missingSince) >= MissingTargetRetention:
			c.putEntry(name, e.tombstone(now, e.revision))
			changed = true
		case !e.heldUntil.IsZero() && !now.Before(e.heldUntil):
			e.heldUntil = time.Time{}
			changed = true
		}
	}
	for place, e := range c.evacuated {
		if !e.ended && !e.missingSince.IsZero() && now.Sub(e.missingSince) >= MissingPlaceRetention {
			c.evacuated[place] = evacuation{revision: e.revision, ended: true}
			changed = true
		}
	}
	return changed
}

// View returns the current content.
func (c *Catalog) View() *View {
	c.views++
	v := &View{
		Sequence: c.views, Revision: c.revision, Config: c.config, StoreConfig: c.storeConfig,
		Targets: make(map[string]*Target, len(c.targets)), Evacuated: make(map[string]bool, len(c.evacuated)),
		Retained: map[string]bool{}, Held: map[string]*Target{}, RetainedPlaces: map[string]bool{},
	}
	for id, e := range c.targets {
		if e.target == nil {
			continue
		}
		if e.heldUntil.IsZero() {
			v.Targets[id] = e.target
		} else {
			v.Held[id] = e.target
		}
		if !e.missingSince.IsZero() {
			v.Retained[id] = true
		}
	}
	for place, e := range c.evacuated {
		if e.ended {
			continue
		}
		v.Evacuated[place] = true
		if !e.missingSince.IsZero() {
			v.RetainedPlaces[place] = true
		}
	}
	v.buildIndex()
	return v
}
