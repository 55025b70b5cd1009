package gossip

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
)

// Position identifies the published state that a host has. A pull returns what was
// published after it.
type Position struct {
	Revision      uint64 // of the store; 0 if the host has no state
	ConfigVersion uint64
}

// Update transfers the published state at Revision to another host: the whole state
// or the changes after a revision that the receiver has.
type Update struct {
	// View is the whole state; nil if Changes are sent instead.
	View *catalog.View
	// Changes are all changes after the revision After, up to Revision.
	Changes  []catalog.Item
	After    uint64
	Revision uint64
	// ConfirmedAge is the time since the store last confirmed that Revision is the
	// latest.
	ConfirmedAge time.Duration
}

// wireUpdate is the encoding of an Update.
type wireUpdate struct {
	View *catalog.View `cbor:"1,keyasint,omitempty"`
	// ConfirmedAge is in milliseconds at the time of sending.
	ConfirmedAge int64          `cbor:"2,keyasint"`
	Changes      []catalog.Item `cbor:"3,keyasint,omitempty"`
	Revision     uint64         `cbor:"4,keyasint"`
	After        uint64         `cbor:"5,keyasint,omitempty"`
}

// encode encodes the update with durations instead of times, because the clocks of
// hosts differ.
func (u *Update) encode(now time.Time) ([]byte, error) {
	w := wireUpdate{ConfirmedAge: u.ConfirmedAge.Milliseconds(), Revision: u.Revision, After: u.After}
	if u.View != nil {
		view := *u.View
		view.Targets = make(map[string]*catalog.Target, len(u.View.Targets))
		for id, t := range u.View.Targets {
			view.Targets[id] = withRemainingCold(t, now)
		}
		w.View = &view
	}
	for _, it := range u.Changes {
		it.Target = withRemainingCold(it.Target, now)
		w.Changes = append(w.Changes, it)
	}
	return cbor.Marshal(w)
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
func decodeUpdate(data []byte, now time.Time) (Update, error) {
	var w wireUpdate
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Update{}, err
	}
	if w.ConfirmedAge < 0 || w.Revision == 0 || w.View != nil && w.View.Revision != w.Revision {
		return Update{}, errors.New("update is incomplete or inconsistent")
	}
	if w.View != nil {
		for id, t := range w.View.Targets {
			if t == nil {
				return Update{}, errors.Newf("target %s is empty", id)
			}
			t.SeenAt = now
		}
	}
	for _, it := range w.Changes {
		if it.Target != nil {
			it.Target.SeenAt = now
		}
	}
	return Update{
		View: w.View, Changes: w.Changes, After: w.After, Revision: w.Revision,
		ConfirmedAge: time.Duration(w.ConfirmedAge) * time.Millisecond,
	}, nil
}
