package catalog

import (
	"maps"
	"slices"
	"time"
)

// Target is the registration of a target.
type Target struct {
	ID      string `cbor:"1,keyasint,omitempty"`
	Service string `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint,omitempty"` // IP and port
	Place   string `cbor:"4,keyasint,omitempty"`
	Slots   int    `cbor:"5,keyasint,omitempty"`
	// Draining targets accept no new requests.
	Draining bool `cbor:"6,keyasint,omitempty"`
	// Started is the start of the target's process as the target reported it, in Unix
	// milliseconds. It distinguishes processes with the same ID.
	Started int64 `cbor:"7,keyasint,omitempty"`
	// Cold is how long the target stays cold from SeenAt. SeenAt is a time of this
	// host's clock and is not sent to peers.
	Cold   time.Duration `cbor:"8,keyasint,omitempty"`
	SeenAt time.Time     `cbor:"-"`
}

// SameProcess reports whether two registrations describe the same process.
func (t *Target) SameProcess(o *Target) bool {
	return t.ID == o.ID && t.Started == o.Started && t.Address == o.Address && t.Service == o.Service
}

// ColdAt reports whether the target is cold at a time, as far as it reported.
func (t *Target) ColdAt(now time.Time) bool { return t.Cold > 0 && now.Before(t.SeenAt.Add(t.Cold)) }

// View is the content of a Catalog at one time.
type View struct {
	// Sequence increases with each view of one catalog, so that the newer of two
	// views is known in whatever order they arrive.
	Sequence  uint64             `cbor:"1,keyasint,omitempty"`
	Revision  uint64             `cbor:"2,keyasint,omitempty"` // of the store
	Config    *Config            `cbor:"3,keyasint,omitempty"` // nil if none is known yet
	Targets   map[string]*Target `cbor:"4,keyasint,omitempty"`
	Evacuated map[string]bool    `cbor:"5,keyasint,omitempty"` // places that operators took out of service: their targets get no new requests
	// Retained are the targets, held ones included, whose items are missing after a store outage.
	// They are removed after MissingTargetRetention unless the items return.
	Retained map[string]bool `cbor:"6,keyasint,omitempty"`
	// Held are targets that are not used until ReappearedTargetDelay has passed.
	Held map[string]*Target `cbor:"7,keyasint,omitempty"`
	// RetainedPlaces are the places in Evacuated whose items are missing after a rollback.
	RetainedPlaces map[string]bool `cbor:"8,keyasint,omitempty"`
	// StoreConfig is the version of the configuration that the store was last known to have.
	StoreConfig uint64 `cbor:"9,keyasint,omitempty"`
	Era         uint64 `cbor:"10,keyasint,omitempty"` // of the store; see package published

	byService map[string][]*Target
}

// Usable returns the targets of a service that may get new requests. The caller
// must not change the slice.
func (v *View) Usable(service string) []*Target { return v.byService[service] }

func (v *View) buildIndex() {
	v.byService = make(map[string][]*Target)
	for _, t := range v.Targets {
		if !t.Draining && !v.Evacuated[t.Place] {
			v.byService[t.Service] = append(v.byService[t.Service], t)
		}
	}
}

// ServicesWithTargets returns the services with a usable target, sorted.
func (v *View) ServicesWithTargets() []string { return slices.Sorted(maps.Keys(v.byService)) }

// ServedFraction returns the fraction, 0 to 1, of the services with a usable target
// in any place that have one in the given place.
func (v *View) ServedFraction(place string) float64 {
	served := 0
	for _, targets := range v.byService {
		for _, t := range targets {
			if t.Place == place {
				served++
				break
			}
		}
	}
	return float64(served) / float64(max(1, len(v.byService)))
}

// entry returns the entry of a target of the view.
func (v *View) entry(now time.Time, id string, t *Target) *entry {
	e := &entry{target: t, revision: v.Revision}
	if v.Retained[id] {
		e.missingSince = now
	}
	return e
}

// Items returns the content of the view as items of its revision, without the configuration's
// revision: its version decides.
func (v *View) Items() []Item {
	items := make([]Item, 0, 1+len(v.Targets)+len(v.Held)+len(v.Evacuated))
	if v.Config != nil {
		items = append(items, Item{Kind: KindConfig, Config: v.Config})
	}
	for id, t := range v.Targets {
		items = append(items, Item{Kind: KindTarget, Name: id, Revision: v.Revision, Target: t, Retained: v.Retained[id]})
	}
	for id, t := range v.Held {
		items = append(items, Item{Kind: KindTarget, Name: id, Revision: v.Revision, Target: t, Held: true, Retained: v.Retained[id]})
	}
	for place := range v.Evacuated {
		items = append(items, Item{Kind: KindEvacuation, Name: place, Revision: v.Revision, Retained: v.RetainedPlaces[place]})
	}
	return items
}
