package membership

import (
	"maps"
	"slices"
	"time"
)

// State is what a host tells of its work as an entry host.
type State struct {
	Load    uint8 `cbor:"1,keyasint,omitempty"` // fraction of its capacity in use, of 255
	Leaving bool  `cbor:"2,keyasint,omitempty"` // it shuts down
	Waiting bool  `cbor:"3,keyasint,omitempty"` // it may not use its shares yet
	Stopped bool  `cbor:"4,keyasint,omitempty"` // it uses no target any more
}

// peerState is the last state of a host's newest process.
type peerState struct {
	State
	incarnation uint64
	at          time.Time // when it said so
	config      uint64    // version in force there; 0 if it has not said
}

// PeerReport is the last that a host has heard of another.
type PeerReport struct {
	State
	At     time.Time // when it was heard
	Config uint64    // configuration version in force there; 0 if not known
}

// SetLoad sets the load that heartbeats carry.
func (v *View) SetLoad(load uint8) { v.state.Load = load }

// AnnounceLeave makes heartbeats say that this host shuts down.
func (v *View) AnnounceLeave() { v.state.Leaving = true }

// learnState takes the state of a host. A process that leaves does not come
// back, so that a message which arrives late does not undo it.
func (v *View) learnState(now time.Time, name string, incarnation uint64, state State, config uint64) {
	before, known := v.states[name]
	if incarnation < before.incarnation || !known && len(v.states) >= maxSeats {
		return
	}
	if incarnation == before.incarnation {
		state.Leaving = state.Leaving || before.Leaving
		config = max(config, before.config) // versions in force only go up
	}
	v.states[name] = peerState{State: state, incarnation: incarnation, at: now, config: config}
}

// keepStates drops the states and trails of hosts that are not listed. That of a host
// which left stays while a list that lags still names it.
func (v *View) keepStates(hosts []Peer) {
	unlisted := func(name string) bool {
		return !slices.ContainsFunc(hosts, func(p Peer) bool { return p.Name == name })
	}
	maps.DeleteFunc(v.states, func(name string, _ peerState) bool { return unlisted(name) })
	maps.DeleteFunc(v.trails, func(name string, _ uint64) bool { return unlisted(name) })
}

// Incarnation returns the incarnation of a host's newest process that was heard
// of, and 0 if none was.
func (v *View) Incarnation(name string) uint64 { return v.states[name].incarnation }

// PeerState returns the last state of a host, and whether it is silent: a
// contact of which nothing was heard lately, or that acknowledged heartbeats and
// no longer does, because the path to it is cut. Of hosts that are not contacts
// nothing is expected. Of this host it returns what heartbeats say.
func (v *View) PeerState(now time.Time, name string) (state State, silent bool) {
	if name == v.self.Name {
		return v.state, false
	}
	contact := slices.ContainsFunc(v.contacts, func(p Peer) bool { return p.Name == name })
	_, acked := v.acked[name]
	return v.states[name].State, contact && (!v.Heard(now, name) || acked && !v.Reachable(now, name))
}

// LastReport returns the last that was heard of a host, however old it is, and false
// if nothing was heard since a list named it.
func (v *View) LastReport(name string) (PeerReport, bool) {
	s, ok := v.states[name]
	return PeerReport{State: s.State, At: s.at, Config: s.config}, ok
}
