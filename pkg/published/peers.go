package published

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

// linkAllowance is the time that a message between two hosts is assumed to take. The age of a
// confirmation in it is that of its sending: without the allowance, hosts that pass a
// confirmation around make it younger with each hop, and notice late that nobody reads the store.
const linkAllowance = 100 * time.Millisecond

// positionOf returns the position of a peer's state.
func positionOf(peer *roster.State) Position {
	return Position{Era: peer.Era, Revision: peer.Revision, ConfigVersion: peer.ConfigVersion}
}

// ObservePeer handles what a peer reported of itself in a heartbeat, and the changes in it, nil
// if there are none. If the peer has a later state, or a later configuration, that the changes
// do not provide, pull is set and the caller has to pull from the peer; see BeginPull.
func (r *Replica) ObservePeer(now time.Time, peer roster.State, update *Update) (t Taken, pull bool) {
	r.heardAt = now
	theirs := positionOf(&peer)
	at := now.Add(-time.Duration(peer.ConfirmedAge)*time.Millisecond - linkAllowance)
	if r.trusts(now) && !r.IsEmpty() {
		own := r.Position()
		if theirs.Compare(own) >= 0 && at.After(r.peersConfirmed) {
			r.peersConfirmed = at
		}
		if theirs.Compare(own) == 0 && theirs.ConfigVersion <= own.ConfigVersion && r.storeEra <= r.era && !r.learnsFrom(&peer) {
			r.confirm(at, peer.Name)
		}
	}
	if update != nil && update.View == nil && r.follows(update) {
		// The error is ignored: a configuration patch may not fit the configuration of this
		// host, which then pulls.
		t, _ = r.takeUpdate(now, peer.Name, update)
	}
	own := r.Position()
	pull = (theirs.Compare(own) > 0 || theirs.ConfigVersion > own.ConfigVersion || r.learnsFrom(&peer)) && theirs.Revision > 0 && !r.pulling
	if pull && r.IsEmpty() && !r.takesFirstState(now, &peer) {
		if r.fallback == nil || positionOf(r.fallback).Compare(theirs) < 0 {
			r.fallback = &peer
		}
		pull = false
	}
	r.pulling = r.pulling || pull
	return t, pull
}

// learnsFrom reports whether a peer may know of writes that the store lost before this host read
// its first state there.
func (r *Replica) learnsFrom(peer *roster.State) bool {
	return r.fromStore && peer.RolledBack && peer.Era == r.era
}

// takesFirstState reports whether a host without a state takes that of a peer.
func (r *Replica) takesFirstState(now time.Time, peer *roster.State) bool {
	return roster.TakesFirstState(now.Sub(r.settings.Started), time.Duration(peer.ConfirmedAge)*time.Millisecond, r.staleAge())
}

// TakeFallback returns the peer with the latest old state once a host without a state takes
// such a state, if neither the store nor another peer has provided one by then, and nil
// otherwise. The caller has to pull from it.
func (r *Replica) TakeFallback(now time.Time) *roster.State {
	peer := r.fallback
	if peer == nil || r.pulling || !r.IsEmpty() || !r.takesFirstState(now, peer) {
		return nil
	}
	r.fallback, r.pulling = nil, true
	return peer
}

// BeginPull returns the position that a pull from a peer states: that of this host, or the zero
// Position if the whole state is needed. Each pull has to be ended by EndPull.
func (r *Replica) BeginPull(peer roster.State) Position {
	if r.pullWhole || peer.Era > r.era || r.learnsFrom(&peer) {
		return Position{}
	}
	return r.Position()
}

// EndPull takes over the update from a peer, nil if the pull failed. After an update that does
// not fit the state, the next pull requests the whole state.
func (r *Replica) EndPull(now time.Time, peer string, update *Update) (Taken, error) {
	r.pulling = false
	if update == nil {
		return Taken{}, nil
	}
	t, err := r.takeUpdate(now, peer, update)
	r.pullWhole = err != nil
	return t, err
}

// follows reports whether changes of a peer follow the state and lead beyond it.
func (r *Replica) follows(u *Update) bool {
	own := r.Position()
	return u.Era == own.Era && u.After > 0 && u.After <= own.Revision && u.Revision > own.Revision
}

// takeUpdate takes over an update of a peer. It returns an error if the changes do not fit the
// state.
func (r *Replica) takeUpdate(now time.Time, peer string, u *Update) (Taken, error) {
	var t Taken
	var err error
	before, learned := r.Position(), false
	if u.View != nil {
		learned = r.takeView(now, u, &t)
	} else {
		err = r.takePeerChanges(now, u)
	}
	own := r.Position()
	if own != before || learned {
		t.View = r.changed(now)
	}
	if own.Compare(before) > 0 && r.era >= r.storeEra {
		r.needsRead, r.unreliable = false, false
	}
	if err == nil && u.Era == own.Era && u.Revision == own.Revision && r.storeEra <= r.era {
		if r.trusts(now) {
			r.confirm(now.Add(-u.ConfirmedAge-linkAllowance), peer)
		}
		r.catalog.SetStoreConfigVersion(u.StoreConfig)
	}
	return t, err
}

// takeView takes over the whole state of a peer if it is later than that of this host, and its
// configuration in any case if that is later. It reports whether this host has learned of writes
// that the store lost.
func (r *Replica) takeView(now time.Time, u *Update, t *Taken) (learned bool) {
	own := r.Position()
	theirs := Position{Era: u.Era, Revision: u.Revision}
	switch {
	case theirs.Compare(own) <= 0:
		// An error is not possible: this is no patch.
		_ = r.catalog.AdoptConfig(now, []catalog.Item{{Kind: catalog.KindConfig, Config: u.View.Config}})
		if !r.fromStore || u.Era != r.era {
			return false
		}
		learned = r.catalog.Learn(now, u.View)
	case r.IsEmpty(), u.Era == r.era:
		r.catalog.Adopt(now, u.View)
	default:
		r.rollBack(now, u.Revision, u.View.Items(), t)
	}
	r.fromStore = false
	r.era, r.storeEra = u.Era, max(r.storeEra, u.Era)
	return learned
}

// takePeerChanges takes over the changes in an update that follow the state, and only the
// configuration of others.
func (r *Replica) takePeerChanges(now time.Time, u *Update) error {
	own := r.Position()
	switch {
	case r.IsEmpty() && u.After == 0:
		r.era, r.storeEra = u.Era, max(r.storeEra, u.Era)
		return r.catalog.ApplyChanges(now, u.Revision, u.Changes)
	case u.Era == own.Era && u.After <= own.Revision:
		return r.catalog.ApplyChanges(now, u.Revision, u.Changes)
	}
	if err := r.catalog.AdoptConfig(now, u.Changes); err != nil {
		return err
	}
	if (Position{Era: u.Era, Revision: u.Revision}).Compare(own) > 0 {
		return errGap
	}
	return nil
}

// UpdateFor returns what a peer at a position lacks: the changes, or the whole published state
// if the catalog no longer has all of them. A peer whose state is of a later era gets the
// configuration only, if that is later than its own. It returns false if this host has no
// state yet.
func (r *Replica) UpdateFor(now time.Time, p Position) (Update, bool) {
	if p.Era > r.era {
		p.Era, p.Revision = r.era, r.catalog.Revision()
	}
	u, ok := r.changesSince(now, p)
	if !ok {
		u.View, u.After = r.view(), 0
	}
	return u, u.Revision > 0
}

// changesSince returns the changes after a position; false if the catalog does not have all of
// them.
func (r *Replica) changesSince(now time.Time, p Position) (Update, bool) {
	u := Update{Era: r.era, After: p.Revision, Revision: r.catalog.Revision(), StoreConfig: r.catalog.StoreConfigVersion(), ConfirmedAge: now.Sub(r.confirmedAt)}
	if p.Era != r.era {
		return u, false
	}
	var ok bool
	u.Changes, ok = r.catalog.ChangesSince(p.Revision, p.ConfigVersion)
	return u, ok
}

// RecentUpdates returns an update from each recent position, the oldest position first.
func (r *Replica) RecentUpdates(now time.Time) []Update {
	var updates []Update
	for _, position := range r.recent.recent(now) {
		if u, ok := r.changesSince(now, position); ok && len(u.Changes) > 0 {
			updates = append(updates, u)
		}
	}
	return updates
}
