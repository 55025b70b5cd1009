package catalog

import "time"

// Target is a back end as it registered itself.
type Target struct {
	ID      string `cbor:"1,keyasint,omitempty"`
	Service string `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint,omitempty"` // IP and port
	Place   string `cbor:"4,keyasint,omitempty"`
	Slots   int    `cbor:"5,keyasint,omitempty"`
	// Draining targets take no new requests.
	Draining bool `cbor:"6,keyasint,omitempty"`
	// Started is the target's own statement of its start, in Unix milliseconds;
	// it tells two processes with one ID apart.
	Started int64 `cbor:"7,keyasint,omitempty"`
	// Cold is how long the target stays cold, counted from SeenAt, which depends on
	// the clock of the host that has the entry.
	Cold   time.Duration `cbor:"8,keyasint,omitempty"`
	SeenAt time.Time     `cbor:"-"`
}

// SameProcess reports whether two entries describe the same process.
func (t *Target) SameProcess(o *Target) bool {
	return t.ID == o.ID && t.Started == o.Started && t.Address == o.Address && t.Service == o.Service
}

// ColdAt reports whether the target says that it is cold at a time.
func (t *Target) ColdAt(now time.Time) bool { return t.Cold > 0 && now.Before(t.SeenAt.Add(t.Cold)) }

// View is what the Catalog knew at one moment.
type View struct {
	// Sequence grows with each view of one book, so that two of them can be told
	// apart however late one arrives.
	Sequence  uint64             `cbor:"1,keyasint,omitempty"`
	Revision  uint64             `cbor:"2,keyasint,omitempty"` // of the store
	Config    *Config            `cbor:"3,keyasint,omitempty"` // nil while none is known
	Targets   map[string]*Target `cbor:"4,keyasint,omitempty"`
	Evacuated map[string]bool    `cbor:"5,keyasint,omitempty"` // places whose targets get nothing
	// Retained are targets whose entries are missing since the store was away. They
	// are dropped after MissingTargetRetention if they do not come back.
	Retained map[string]bool `cbor:"6,keyasint,omitempty"`

	byService map[string][]*Target
}

// Usable returns the targets of a service that may get new requests. The caller
// must not change the slice.
func (v *View) Usable(service string) []*Target { return v.byService[service] }

func (v *View) index() {
	v.byService = make(map[string][]*Target)
	for _, t := range v.Targets {
		if !t.Draining && !v.Evacuated[t.Place] {
			v.byService[t.Service] = append(v.byService[t.Service], t)
		}
	}
}

// ServedFraction returns the fraction of the services that have a usable target in a
// place, of those that some target is registered for.
func (v *View) ServedFraction(place string) float64 {
	covered := 0
	for _, targets := range v.byService {
		for _, t := range targets {
			if t.Place == place {
				covered++
				break
			}
		}
	}
	return float64(covered) / float64(max(1, len(v.byService)))
}
