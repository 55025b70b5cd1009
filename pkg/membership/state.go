package membership

import (
	"maps"
	"slices"
	"time"
)

// State is what a host reports of itself: its load as an entry host, and whether it is
// leaving, may use its shares of targets yet, or has stopped using targets.
type State struct {
	Load    uint8 `cbor:"1,keyasint,omitempty"` // used fraction of the host's capacity, 0 to 255
	Leaving bool  `cbor:"2,keyasint,omitempty"` // the host is shutting down
	Waiting bool  `cbor:"3,keyasint,omitempty"` // the host may not use its shares yet
	Stopped bool  `cbor:"4,keyasint,omitempty"` // the host no longer uses any target
}

// stateRecord is the last reported state of a host's newest process.
type stateRecord struct {
	State
	incarnation uint64
	at          time.Time // when the report was received
	config      uint64    // configuration version in force there; 0 if not reported
}

// PeerReport is the last state that a peer reported.
type PeerReport struct {
	State
	At     time.Time // when the report was received
	Config uint64    // configuration version in force there; 0 if not reported
}

// SetLoad sets the load that heartbeats report: the used fraction of the
// capacity, 0 to 255.
func (v *View) SetLoad(load uint8) { v.state.Load = load }

// AnnounceLeave makes heartbeats report that this host is shutting down.
func (v *View) AnnounceLeave() { v.state.Leaving = true }

// learnState records the reported state of a host. Leaving is final for a
// process, so that a delayed message does not undo it.
func (v *View) learnState(now time.Time, name string, incarnation uint64, state State, config uint64) {
	before, known := v.states[name]
	if incarnation < before.incarnation || !known && len(v.states) >= maxKnownSenders {
		return
	}
	if incarnation == before.incarnation {
		state.Leaving = state.Leaving || before.Leaving
		config = max(config, before.config) // the version in force never decreases
	}
	v.states[name] = stateRecord{State: state, incarnation: incarnation, at: now, config: config}
}

// dropUnlisted drops the states and history hashes of hosts that are not listed.
// The state of a host that left stays while an outdated list still names it.
func (v *View) dropUnlisted(hosts []Peer) {
	unlisted := func(name string) bool {
		return !slices.ContainsFunc(hosts, func(p Peer) bool { return p.Name == name })
	}
	maps.DeleteFunc(v.states, func(name string, _ stateRecord) bool { return unlisted(name) })
	maps.DeleteFunc(v.historyHashes, func(name string, _ uint64) bool { return unlisted(name) })
}

// Incarnation returns the highest incarnation that a host has reported, or 0 if
// there is no report.
func (v *View) Incarnation(name string) uint64 { return v.states[name].incarnation }

// PeerState returns the last reported state of a host and whether the host is
// silent. A contact is silent if no message arrived from it within
// ReachabilityTimeout, or if it acknowledged heartbeats before and no longer
// does, because the path to it is cut. Hosts that are not contacts are never
// silent. For this host PeerState returns the state that its heartbeats report.
func (v *View) PeerState(now time.Time, name string) (state State, silent bool) {
	if name == v.self.Name {
		return v.state, false
	}
	contact := slices.ContainsFunc(v.contacts, func(p Peer) bool { return p.Name == name })
	_, acked := v.ackedSentAt[name]
	return v.states[name].State, contact && (!v.Heard(now, name) || acked && !v.Reachable(now, name))
}

// LastReport returns the last report of a host, however old, and false if there
// was none since a list named the host.
func (v *View) LastReport(name string) (PeerReport, bool) {
	s, ok := v.states[name]
	return PeerReport{State: s.State, At: s.at, Config: s.config}, ok
}
