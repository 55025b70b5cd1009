package published

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

const (
	// outageAfter is the time without an answer that counts as an outage of the
	// store, during which registrations of targets may have expired.
	outageAfter = 2500 * time.Millisecond
	// stallThreshold is the time between two calls of Tick from which the process counts as
	// stalled, and stallMargin how long after that the heartbeats that it receives may have
	// waited in the socket.
	stallThreshold = time.Second
	stallMargin    = 300 * time.Millisecond
	// maxWithoutEvents is the number of consecutive answers to watches with a later revision and
	// without events after which another one requires a read of the whole state.
	maxWithoutEvents = 1
)

// Settings of a Replica.
type Settings struct {
	Started     time.Time
	ChangeBound time.Duration // within which changes must be in force
	// Seed is set if other hosts greet this host at their start.
	Seed bool
	// MinPeerWait is how long a host without a state waits for peers at least before it
	// reads the store.
	MinPeerWait time.Duration
	// ReadDraw, in [0, 1), is the turn of this host among reads of the whole state.
	ReadDraw float64
}

// Replica is the published state as one host has it. New returns one without a state.
type Replica struct {
	settings Settings
	catalog  *catalog.Catalog
	era      uint64 // of the state
	storeEra uint64 // the latest that the store has stated to this host, or that a state taken over had

	confirmedAt time.Time // when the store last confirmed the state to this host or a peer
	confirmedBy string
	lastAnswer  time.Time // when the store last answered this host

	needsRead  bool      // the next call of the store reads the whole state
	readFrom   time.Time // before which only the readers make that call; set on demand
	nextTurn   time.Time // see takesTurn
	unreliable bool      // the store has lost history without stating another era
	nextRead   time.Time // before which an unreliable store is not read again
	// withoutEvents is the number of consecutive answers discarded for that reason.
	withoutEvents int

	heardAt        time.Time // when a peer was last heard
	peersConfirmed time.Time // the latest confirmation of a peer's state that is not behind this one
	lastTick       time.Time
	distrustUntil  time.Time // heartbeats that arrive before confirm nothing

	rolledBackAt time.Time // when the store last came back from an older copy
	fromStore    bool      // the first state came from the store, which may have lost writes that peers know of

	pulling   bool
	pullWhole bool          // the next pull requests the whole state
	fallback  *roster.State // the peer with the latest of the states that were too old to be taken at the start
	recent    positionHistory
}

// New returns a Replica without a state.
func New(s Settings) *Replica {
	return &Replica{settings: s, catalog: catalog.New(), needsRead: true, lastAnswer: s.Started, lastTick: s.Started}
}

// Position returns the position of the state.
func (r *Replica) Position() Position {
	return Position{Era: r.era, Revision: r.catalog.Revision(), ConfigVersion: r.catalog.ConfigVersion()}
}

// Ground returns what the state rests on.
func (r *Replica) Ground() Ground {
	return Ground{Position: r.Position(), StoreConfig: r.catalog.StoreConfigVersion(), ConfirmedBy: r.confirmedBy, ConfirmedAt: r.confirmedAt}
}

// IsConfirmed reports whether the store confirmed the state within the bound on changes, and has
// not stated a later era since.
func (r *Replica) IsConfirmed(now time.Time) bool {
	return r.storeEra <= r.era && now.Sub(r.confirmedAt) <= r.settings.ChangeBound
}

// IsEmpty reports whether the host has no state yet from the store or a peer.
func (r *Replica) IsEmpty() bool { return r.catalog.Revision() == 0 }

// view returns the state as a view.
func (r *Replica) view() *catalog.View {
	v := r.catalog.View()
	v.Era = r.era
	return v
}

// Discard is why an answer of the store was not taken over, or does not confirm the state.
type Discard string

// Reasons to discard an answer.
const (
	EarlierEra      Discard = "earlier_era"      // it arrived late
	LaterEra        Discard = "later_era"        // the changes after a revision of another era
	EarlierRevision Discard = "earlier_revision" // the store lost history and states no other era
	Overtaken       Discard = "overtaken"        // a peer has provided a later state meanwhile
	Late            Discard = "late"             // it was taken over, but it may be old
	WithoutEvents   Discard = "without_events"   // a later revision without the changes up to it
)

// Discards are all reasons to discard an answer.
var Discards = []Discard{EarlierEra, LaterEra, EarlierRevision, Overtaken, Late, WithoutEvents}

// Taken is what came of an answer of the store or of an update of a peer.
type Taken struct {
	View      *catalog.View // the new state; nil if it did not change
	Discarded Discard       // empty if the answer was taken over and confirms the state
	// Before is the position of the state before the store came back from an older copy; zero
	// if it did not.
	Before Position
	// Away is how long the store had not answered if that was an outage, or 0.
	Away time.Duration
}

// TakeAnswer takes over the answer to a call of the store. It returns an error if the changes
// do not fit the state.
func (r *Replica) TakeAnswer(now time.Time, call Call, a Answer) (Taken, error) {
	var t Taken
	if now.Sub(r.lastAnswer) > outageAfter && now.Sub(r.confirmedAt) > outageAfter {
		t.Away = now.Sub(r.lastAnswer)
		r.catalog.StoreRecovered(now)
	}
	r.lastAnswer = now
	if !a.HasEra {
		a.Era = call.From.Era
		if call.From.Era == r.era {
			a.Era = max(r.era, r.storeEra)
		}
	}
	if a.Era < max(r.era, r.storeEra) {
		t.Discarded = EarlierEra
		return t, nil
	}
	r.storeEra = a.Era
	before := r.Position()
	var err error
	if call.Whole {
		t.Discarded = r.takeWhole(now, call, a, &t)
	} else {
		t.Discarded, err = r.takeChanges(call, now, a)
	}
	if t.Discarded != "" || err != nil {
		return t, err
	}
	switch {
	case now.Sub(call.Began) > call.Limit:
		t.Discarded = Late
	case call.Whole:
		r.confirm(call.Began, FromStore) // the revision is that of the first page
	case a.Revision == r.catalog.Revision():
		r.confirm(now, FromStore)
	}
	if call.Whole || len(a.Items) > 0 || before != r.Position() {
		t.View = r.changed(now)
	}
	return t, nil
}

// takeWhole takes over a read of the whole state.
func (r *Replica) takeWhole(now time.Time, call Call, a Answer, t *Taken) Discard {
	own := r.catalog.Revision()
	switch {
	case own == 0:
		r.catalog.Replace(now, a.Revision, a.Items)
		r.fromStore = true
	case a.Era > r.era:
		r.rollBack(now, a.Revision, a.Items, t)
	case a.Revision < own && a.Revision < call.From.Revision && call.From.Era == r.era:
		r.unreliable, r.nextRead = true, now.Add(r.settings.ChangeBound)
		return EarlierRevision
	case a.Revision < own:
		r.needsRead = false
		return Overtaken
	case r.unreliable:
		r.rollBack(now, a.Revision, a.Items, t)
	default:
		r.catalog.Replace(now, a.Revision, a.Items)
	}
	r.era, r.needsRead, r.unreliable, r.withoutEvents = a.Era, false, false, 0
	return ""
}

// rollBack takes over the whole state of a store that came back from an older copy.
func (r *Replica) rollBack(now time.Time, revision uint64, items []catalog.Item, t *Taken) {
	t.Before = r.Position()
	r.rolledBackAt = now
	r.catalog.RollBack(now, revision, items)
}

// RolledBack reports whether the store came back from an older copy a moment ago, so that this
// host may know of writes that were lost and are not written again yet.
func (r *Replica) RolledBack(now time.Time) bool {
	return !r.rolledBackAt.IsZero() && now.Sub(r.rolledBackAt) < catalog.ReappearedTargetDelay
}

// takeChanges takes over the changes after a revision.
func (r *Replica) takeChanges(call Call, now time.Time, a Answer) (Discard, error) {
	switch {
	case a.Era > r.era:
		r.requireRead()
		return LaterEra, nil
	case call.From.Era != r.era:
		return EarlierEra, nil
	case a.Revision < call.From.Revision:
		r.unreliable = true
		r.requireRead()
		return EarlierRevision, nil
	case a.Revision > call.From.Revision && len(a.Items) == 0:
		// Each revision is a change. The next watch continues from the same revision, and if
		// that does not help, the whole state is read.
		if r.withoutEvents++; r.withoutEvents > maxWithoutEvents {
			r.requireRead()
		}
		return WithoutEvents, nil
	}
	r.withoutEvents = 0
	return "", r.catalog.ApplyChanges(now, a.Revision, a.Items)
}

// requireRead makes the next call of the store a read of the whole state.
func (r *Replica) requireRead() {
	if !r.needsRead {
		r.needsRead, r.readFrom = true, time.Time{}
	}
}

// HistoryLost records that the store cannot tell the changes after the revision of a call, or
// not in one answer, so that the whole state has to be read.
func (r *Replica) HistoryLost() { r.requireRead() }

// confirm records that the store confirmed the state, unless it did so later.
func (r *Replica) confirm(at time.Time, by string) {
	if at.After(r.confirmedAt) {
		r.confirmedAt, r.confirmedBy = at, by
	}
}

// changed records the new position and returns the new state.
func (r *Replica) changed(now time.Time) *catalog.View {
	r.recent.advance(now, r.Position())
	return r.view()
}

// Expire drops what did not register again after an outage or a rollback of the store and
// puts targets in use that were held back. It returns the new state, nil if there was nothing.
func (r *Replica) Expire(now time.Time) *catalog.View {
	if !r.catalog.Expire(now) {
		return nil
	}
	return r.view()
}

// Tick must be called about twice a second, so that a stall of the process is noticed.
func (r *Replica) Tick(now time.Time) {
	if now.Sub(r.lastTick) > stallThreshold {
		r.distrustUntil = now.Add(stallMargin)
	}
	r.lastTick = now
}

// trusts reports whether a heartbeat that is received now was sent just before.
func (r *Replica) trusts(now time.Time) bool {
	return now.Sub(r.lastTick) <= stallThreshold && !now.Before(r.distrustUntil)
}

// errGap is the error of changes that do not follow the state.
var errGap = errors.New("the changes do not follow the state of this host")
