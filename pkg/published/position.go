package published

import (
	"cmp"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
)

// Position identifies a state that the store published. The zero value stands for none.
type Position struct {
	// Era is the number of times that the store came back from an older copy, as far as
	// it says. Revisions of different eras cannot be compared.
	Era           uint64
	Revision      uint64 // of the store
	ConfigVersion uint64 // of the configuration in force, which may come from an earlier era
}

// Compare returns -1, 0 or 1 if p is an earlier state of the store than o, the same or a later
// one. The version of the configuration has no part in it.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Answer is an answer of the store.
type Answer struct {
	Era      uint64
	HasEra   bool   // whether the store states its era
	Revision uint64 // up to which Items are complete
	Items    []catalog.Item
}

// Update transfers the published state at a revision to another host: the whole state
// or the changes after a revision that the receiver has.
type Update struct {
	Era uint64 // of the revisions
	// View is the whole state; nil if Changes are sent instead.
	View *catalog.View
	// Changes are all changes after the revision After, up to Revision.
	Changes  []catalog.Item
	After    uint64
	Revision uint64
	// StoreConfig is the version of the configuration that the store has; 0 if not known.
	StoreConfig uint64
	// ConfirmedAge is the time since the store last confirmed that Revision is the
	// latest.
	ConfirmedAge time.Duration
}

// Ground is what a host's state rests on.
type Ground struct {
	Position
	// StoreConfig is the version of the configuration that the store was last known to have;
	// 0 if that is not known. It is lower than ConfigVersion if the store lost that version
	// and operators have not written it again.
	StoreConfig uint64
	// ConfirmedBy is FromStore, or the name of the peer that passed the confirmation on;
	// empty without any.
	ConfirmedBy string
	ConfirmedAt time.Time // when the store confirmed it
}

// FromStore is the ConfirmedBy of a confirmation that the store gave to this host itself.
const FromStore = "store"
