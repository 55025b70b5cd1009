package catalog

import (
	"time"

	"github.com/cockroachdb/errors"
)

// MissingTargetRetention is how long a target whose entry is missing stays in use after the
// store was away: entries that lapsed meanwhile are back within two seconds if
// the target lives.
const MissingTargetRetention = 2 * time.Second

// Kind tells what an item of the store describes.
type Kind uint8

// Kinds of items.
const (
	KindOther Kind = iota // nothing that the catalog holds
	KindConfig
	KindTarget
	KindEvacuation
)

// Item is one item of the store, decoded.
type Item struct {
	Kind     Kind    `cbor:"1,keyasint,omitempty"`
	Name     string  `cbor:"2,keyasint,omitempty"` // of the target or the place
	Revision uint64  `cbor:"3,keyasint,omitempty"`
	Deleted  bool    `cbor:"4,keyasint,omitempty"`
	Config   *Config `cbor:"5,keyasint,omitempty"` // for KindConfig
	Patch    *Patch  `cbor:"6,keyasint,omitempty"` // for KindConfig, in place of Config
	Target   *Target `cbor:"7,keyasint,omitempty"` // for KindTarget; nil if the entry is not to be used
	// Retained is set if the entry of the target is missing since the store was away
	// and the target is still in use; see MissingTargetRetention.
	Retained bool `cbor:"8,keyasint,omitempty"`
}

// Catalog merges what was read from the store. The zero value is not ready for
// use; call New.
type Catalog struct {
	revision  uint64
	floor     uint64 // deletions up to this revision may be forgotten
	config    *Config
	recent    []*Config // earlier configurations, the latest last
	targets   map[string]*entry
	gone      int // entries without a target
	evacuated map[string]evacuation

	views     uint64    // taken so far
	awayUntil time.Time // entries that vanish before this moment are held
}

type entry struct {
	target   *Target // nil if deleted or unreadable
	revision uint64
	missing  time.Time // when it was found missing; zero if it is there
}

type evacuation struct {
	revision uint64
	over     bool
}

// New returns a book that knows nothing.
func New() *Catalog {
	return &Catalog{targets: map[string]*entry{}, evacuated: map[string]evacuation{}}
}

// Revision returns the highest revision of the store up to which the book knows
// all changes.
func (b *Catalog) Revision() uint64 { return b.revision }

// ConfigVersion returns the version of the configuration, 0 if there is none.
func (b *Catalog) ConfigVersion() uint64 {
	if b.config == nil {
		return 0
	}
	return b.config.Version
}

// StoreRecovered records that the store answers again after it was away. Targets
// that are missing are kept for MissingTargetRetention.
func (b *Catalog) StoreRecovered(now time.Time) { b.awayUntil = now.Add(MissingTargetRetention) }

// Replace replaces the content by a complete read of the store at a revision.
// Items that the read lacks and that were not changed later are removed. It is
// ignored if the book already knows a later revision.
func (b *Catalog) Replace(now time.Time, revision uint64, items []Item) {
	if revision < b.revision {
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
		b.apply(now, it)
	}
	for name, e := range b.targets {
		if !present[name] && e.target != nil {
			b.remove(now, name, revision)
		}
	}
	for place, e := range b.evacuated {
		if !places[place] && !e.over {
			b.evacuated[place] = evacuation{revision: revision, over: true}
		}
	}
	// What was created and deleted unseen before the read is not known.
	b.revision, b.floor = revision, revision
	b.dropGone()
}

// ApplyChanges applies change notices that complete the knowledge up to a revision.
// Those that the book holds already, because it adopted a newer state meanwhile,
// are left out: a target that is gone since would come back. It returns an error,
// and changes nothing, if a notice has a patch for a configuration that the book
// does not have.
func (b *Catalog) ApplyChanges(now time.Time, revision uint64, items []Item) error {
	for i := range items {
		if p := items[i].Patch; p != nil && !b.fits(p) {
			return errors.Newf("a change of configuration %d cannot be applied to the one that is known", p.Base)
		}
	}
	for _, it := range items {
		if it.Revision == 0 || it.Revision > b.revision {
			b.apply(now, it)
		}
	}
	b.revision = max(b.revision, revision)
	b.prune()
	return nil
}

// Adopt takes over the knowledge of another host if it is newer.
func (b *Catalog) Adopt(now time.Time, v *View) bool {
	b.adoptConfig(v.Config)
	if v.Revision <= b.revision {
		return false
	}
	b.revision, b.floor = v.Revision, v.Revision
	old := b.targets
	b.targets, b.gone = make(map[string]*entry, len(v.Targets)), 0
	for id, t := range v.Targets {
		b.targets[id] = &entry{target: t, revision: v.Revision}
		if v.Retained[id] {
			b.targets[id].missing = now
		}
	}
	for id, e := range old {
		if _, ok := b.targets[id]; !ok && e.target != nil && now.Before(b.awayUntil) {
			b.targets[id] = e
			b.remove(now, id, v.Revision)
		}
	}
	b.evacuated = make(map[string]evacuation, len(v.Evacuated))
	for place := range v.Evacuated {
		b.evacuated[place] = evacuation{revision: v.Revision}
	}
	return true
}

func (b *Catalog) adoptConfig(c *Config) {
	if c == nil || b.config != nil && c.Version <= b.config.Version {
		return
	}
	if c.byHost == nil {
		c.index()
	}
	if b.config != nil {
		b.recent = append(b.recent, b.config)
		b.recent = b.recent[max(0, len(b.recent)-maxRecent):]
	}
	b.config = c
}

func (b *Catalog) apply(now time.Time, it Item) {
	switch it.Kind {
	case KindConfig:
		switch {
		case it.Deleted:
		case it.Patch != nil:
			if it.Patch.Base == b.config.Version {
				b.adoptConfig(b.config.patched(it.Patch))
			}
		default:
			b.adoptConfig(it.Config)
		}
	case KindTarget:
		b.applyTarget(now, it)
	case KindEvacuation:
		b.applyEvacuation(it)
	}
}

func (b *Catalog) applyTarget(now time.Time, it Item) {
	if e, ok := b.targets[it.Name]; ok && it.Revision < e.revision {
		return
	}
	if it.Deleted {
		b.remove(now, it.Name, it.Revision)
		return
	}
	e := &entry{target: it.Target, revision: it.Revision}
	if it.Retained {
		e.missing = now
	}
	b.put(it.Name, e)
}

// put replaces an entry.
func (b *Catalog) put(name string, e *entry) {
	if old, ok := b.targets[name]; ok && old.target == nil {
		b.gone--
	}
	if e.target == nil {
		b.gone++
	}
	b.targets[name] = e
}

func (b *Catalog) applyEvacuation(it Item) {
	if known, ok := b.evacuated[it.Name]; ok && it.Revision < known.revision {
		return
	}
	b.evacuated[it.Name] = evacuation{revision: it.Revision, over: it.Deleted}
}

// remove forgets a target, or holds it for a while if the store was away. The
// entry stays without its target, to tell peers and to recognise late notices.
func (b *Catalog) remove(now time.Time, name string, revision uint64) {
	e, ok := b.targets[name]
	if ok && e.target != nil && now.Before(b.awayUntil) && !e.target.Draining {
		e.revision = revision
		if e.missing.IsZero() {
			e.missing = now
		}
		return
	}
	b.put(name, &entry{revision: revision})
}

// Expire removes the targets that stayed missing for MissingTargetRetention and reports
// whether there were any.
func (b *Catalog) Expire(now time.Time) bool {
	changed := false
	for name, e := range b.targets {
		if !e.missing.IsZero() && now.Sub(e.missing) >= MissingTargetRetention {
			b.put(name, &entry{revision: e.revision})
			changed = true
		}
	}
	return changed
}

// View returns the present knowledge.
func (b *Catalog) View() *View {
	b.views++
	v := &View{
		Sequence: b.views, Revision: b.revision, Config: b.config,
		Targets: make(map[string]*Target, len(b.targets)), Evacuated: make(map[string]bool, len(b.evacuated)),
		Retained: map[string]bool{},
	}
	for id, e := range b.targets {
		if e.target != nil {
			v.Targets[id] = e.target
			if !e.missing.IsZero() {
				v.Retained[id] = true
			}
		}
	}
	for place, e := range b.evacuated {
		if !e.over {
			v.Evacuated[place] = true
		}
	}
	v.index()
	return v
}
