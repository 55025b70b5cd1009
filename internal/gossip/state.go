package gossip

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/published"
)

// wireUpdate is the encoding of a published.Update.
type wireUpdate struct {
	View *catalog.View `cbor:"1,keyasint,omitempty"`
	// ConfirmedAge is in milliseconds at the time of sending.
	ConfirmedAge int64          `cbor:"2,keyasint"`
	Changes      []catalog.Item `cbor:"3,keyasint,omitempty"`
	Revision     uint64         `cbor:"4,keyasint"`
	After        uint64         `cbor:"5,keyasint,omitempty"`
	Era          uint64         `cbor:"6,keyasint,omitempty"`
	StoreConfig  uint64         `cbor:"7,keyasint,omitempty"`
}

// encodeUpdate encodes an update with durations instead of times, because the clocks of
// hosts differ.
func encodeUpdate(u *published.Update, now time.Time) ([]byte, error) {
	w := wireUpdate{ConfirmedAge: u.ConfirmedAge.Milliseconds(), Revision: u.Revision, After: u.After, Era: u.Era, StoreConfig: u.StoreConfig}
	if u.View != nil {
		view := *u.View
		view.Targets, view.Held = allWithRemainingCold(u.View.Targets, now), allWithRemainingCold(u.View.Held, now)
		w.View = &view
	}
	for _, it := range u.Changes {
		it.Target = withRemainingCold(it.Target, now)
		w.Changes = append(w.Changes, it)
	}
	return cbor.Marshal(w)
}

// allWithRemainingCold applies withRemainingCold to each target.
func allWithRemainingCold(targets map[string]*catalog.Target, now time.Time) map[string]*catalog.Target {
	out := make(map[string]*catalog.Target, len(targets))
	for id, t := range targets {
		out[id] = withRemainingCold(t, now)
	}
	return out
}

// withRemainingCold returns a copy of a target whose Cold is the time left from now
// on; nil if there is no target.
func withRemainingCold(t *catalog.Target, now time.Time) *catalog.Target {
	if t == nil {
		return nil
	}
	copied := *t
	copied.Cold = max(0, t.Cold-now.Sub(t.SeenAt))
	return &copied
}

// decodeUpdate decodes an update that was encoded now. It rejects updates without a
// revision, with a negative age, with a view of another revision or with an empty
// target in the view.
func decodeUpdate(data []byte, now time.Time) (published.Update, error) {
	var w wireUpdate
	if err := cbor.Unmarshal(data, &w); err != nil {
		return published.Update{}, err
	}
	if w.ConfirmedAge < 0 || w.Revision == 0 || w.View != nil && (w.View.Revision != w.Revision || w.View.Era != w.Era) {
		return published.Update{}, errors.New("update is incomplete or inconsistent")
	}
	if w.View != nil {
		for _, targets := range []map[string]*catalog.Target{w.View.Targets, w.View.Held} {
			for id, t := range targets {
				if t == nil {
					return published.Update{}, errors.Newf("target %s is empty", id)
				}
				t.SeenAt = now
			}
		}
	}
	for _, it := range w.Changes {
		if it.Target != nil {
			it.Target.SeenAt = now
		}
	}
	return published.Update{
		View: w.View, Changes: w.Changes, After: w.After, Revision: w.Revision, Era: w.Era, StoreConfig: w.StoreConfig,
		ConfirmedAge: time.Duration(w.ConfirmedAge) * time.Millisecond,
	}, nil
}
