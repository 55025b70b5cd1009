package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// OrdinalID identifies an ordinal within its place. A replacement host takes over
// the OrdinalID of the host that it replaces, with a name of its own.
type OrdinalID struct {
	Place   string `cbor:"1,keyasint"`
	Ordinal int    `cbor:"2,keyasint"`
}

// Peer is a host of the fleet.
type Peer struct {
	Name      string    `cbor:"1,keyasint"`
	OrdinalID OrdinalID `cbor:"2,keyasint"`
	Address   string    `cbor:"3,keyasint"` // IP address and port of the host's listener for peers
}

// Heartbeat is what a host reports of itself.
type Heartbeat struct {
	From        Peer   `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // start of the process, Unix time in nanoseconds
	State       State  `cbor:"3,keyasint,omitempty"`
}

// Ack acknowledges a heartbeat.
type Ack struct {
	Incarnation       uint64 `cbor:"1,keyasint"`           // of the answering process
	HigherIncarnation uint64 `cbor:"2,keyasint,omitempty"` // a higher incarnation of the sender's ordinal, if one is known
	Confirmed         bool   `cbor:"3,keyasint,omitempty"` // the answering host is confirmed itself
	Promise           bool   `cbor:"4,keyasint,omitempty"` // the answering host does not take over from the sender for TakeoverWait
	Config            uint64 `cbor:"5,keyasint,omitempty"` // configuration version in force on the answering host
	State             State  `cbor:"7,keyasint,omitempty"`
	OthersStopped     bool   `cbor:"9,keyasint,omitempty"` // every other process of the sender's ordinal that the answering host knows of has stopped
	NoOthers          bool   `cbor:"6,keyasint,omitempty"` // the answering host knows of no other process of the sender's ordinal
	HistoryHash       uint64 `cbor:"8,keyasint,omitempty"` // see ConfigHistoryHash; 0 in a fleet of more than FullMeshHosts
}

// View is what a host knows of its peers and of its own right to work.
type View struct {
	self        Peer
	incarnation uint64
	started     time.Time
	rng         *rand.Rand

	peers              []Peer // the host list without this host
	listedOrdinals     map[OrdinalID]bool
	selfListed         bool            // the list names this host
	selfWasListed      bool            // some host list has named this host
	firstProcess       bool            // the evidence of decideFirstProcess is complete
	otherProcessExists bool            // this host or a peer knows of another process of this ordinal
	noOthersFrom       map[string]bool // peers that know of no other process of this ordinal, up to FullMeshHosts

	otherProcessKnown bool            // this host itself knows of another process of this ordinal
	othersStopped     bool            // all other known processes of this ordinal have stopped
	othersStoppedFrom map[string]bool // the last OthersStopped of each peer, up to FullMeshHosts

	contacts      []Peer
	pinned        []string
	nextHeartbeat map[string]time.Time // when the next heartbeat is due, by name of the contact
	rotatedAt     time.Time            // when a contact was last replaced

	heardAt     map[string]time.Time // last heartbeat or acknowledgement received, by name
	ackedSentAt map[string]time.Time // when the last acknowledged heartbeat was sent, by name of the contact
	ordinals    map[OrdinalID]ordinalState

	historyHash   uint64            // of the configuration in force here
	ordinalCount  int               // number of ordinals in that configuration
	historyHashes map[string]uint64 // the last history hash of each peer, up to FullMeshHosts

	state  State                  // of this host
	states map[string]stateRecord // of hosts, by name

	readiness
	superseded bool
}

// NewView returns the view of a process that has just started.
func NewView(self Peer, incarnation uint64, started time.Time, rng *rand.Rand) *View {
	return &View{
		self: self, incarnation: incarnation, started: started, rng: rng,
		nextHeartbeat: map[string]time.Time{}, heardAt: map[string]time.Time{}, ackedSentAt: map[string]time.Time{},
		ordinals: map[OrdinalID]ordinalState{}, states: map[string]stateRecord{}, noOthersFrom: map[string]bool{}, othersStoppedFrom: map[string]bool{}, historyHashes: map[string]uint64{}, readiness: readiness{resumedAt: started},
	}
}

// SetPeers adopts a host list. A list that names another host for this ordinal,
// after a list that named this host, supersedes this host.
func (v *View) SetPeers(hosts []Peer) {
	v.peers, v.listedOrdinals = nil, map[OrdinalID]bool{}
	selfListed := false
	for _, h := range hosts {
		v.listedOrdinals[h.OrdinalID] = true
		s := v.ordinals[h.OrdinalID]
		s.observeListedName(h.Name)
		v.ordinals[h.OrdinalID] = s
		if h.Name == v.self.Name {
			selfListed = true
			continue
		}
		v.peers = append(v.peers, h)
	}
	if v.selfWasListed && !selfListed && v.listedOrdinals[v.self.OrdinalID] {
		v.supersede()
	}
	v.dropUnlisted(hosts)
	v.selfListed, v.selfWasListed = selfListed, v.selfWasListed || selfListed
	// A list that names this host may still name the host that this one replaces.
	own := v.ordinals[v.self.OrdinalID]
	v.otherProcessKnown = v.otherProcessKnown || own.severalProcesses || own.listedName != "" && own.listedName != v.self.Name
	v.otherProcessExists = v.otherProcessExists || v.otherProcessKnown
	v.decideFirstProcess()
	v.decideOthersStopped()
	v.chooseContacts()
}

// Pin prefers the named hosts to random ones as contacts, up to maxPinned of
// them. It has no effect in a fleet of at most FullMeshHosts, where every peer is
// a contact.
func (v *View) Pin(names []string) {
	if !slices.Equal(v.pinned, names) {
		v.pinned = slices.Clone(names)
		v.chooseContacts()
	}
}

// Contacts returns the peers to which this host sends heartbeats.
func (v *View) Contacts() []Peer { return v.contacts }

// chooseContacts keeps the current contacts that are still listed and fills the
// rest with random peers, half of them in other places.
func (v *View) chooseContacts() {
	if len(v.peers) < FullMeshHosts {
		v.setContacts(v.peers)
		return
	}
	var chosen []Peer
	add := func(p Peer) {
		if len(chosen) < MaxContacts && !slices.ContainsFunc(chosen, func(c Peer) bool { return c.Name == p.Name }) {
			chosen = append(chosen, p)
		}
	}
	for _, p := range v.peers {
		// Two processes of one ordinal must learn which of them is newer.
		if (p.OrdinalID == v.self.OrdinalID || slices.Contains(v.pinned, p.Name)) && len(chosen) < maxPinned {
			add(p)
		}
	}
	for _, c := range v.contacts {
		if i := slices.IndexFunc(v.peers, func(p Peer) bool { return p.Name == c.Name }); i >= 0 {
			add(v.peers[i])
		}
	}
	for _, p := range SamplePeers(v.rng, v.peers, v.self.OrdinalID.Place, 2*MaxContacts) {
		add(p)
	}
	v.setContacts(chosen)
}

func (v *View) setContacts(contacts []Peer) {
	v.contacts = contacts
	for name := range v.nextHeartbeat {
		if !slices.ContainsFunc(contacts, func(p Peer) bool { return p.Name == name }) {
			delete(v.nextHeartbeat, name)
			delete(v.ackedSentAt, name)
		}
	}
}

// rotateContact replaces one random contact in a fleet of more than
// FullMeshHosts: the first that does not acknowledge heartbeats, ReachabilityTimeout
// after the last replacement at the earliest, or the oldest after RotateInterval.
func (v *View) rotateContact(now time.Time) {
	if v.rotatedAt.IsZero() {
		v.rotatedAt = now
	}
	since := now.Sub(v.rotatedAt)
	if len(v.peers) < FullMeshHosts || since < ReachabilityTimeout {
		return
	}
	random := func(p Peer) bool { return p.OrdinalID != v.self.OrdinalID && !slices.Contains(v.pinned, p.Name) }
	i := slices.IndexFunc(v.contacts, func(p Peer) bool { return random(p) && !v.Reachable(now, p.Name) })
	if i < 0 && since >= RotateInterval {
		i = slices.IndexFunc(v.contacts, random)
	}
	if i < 0 {
		return
	}
	v.rotatedAt = now
	v.contacts = slices.Delete(slices.Clone(v.contacts), i, i+1)
	v.chooseContacts()
}

// SamplePeers returns up to n distinct random peers, half of them outside the
// given place, as far as there are enough of each kind.
func SamplePeers(rng *rand.Rand, peers []Peer, place string, n int) []Peer {
	var inPlace, outside []Peer
	for _, i := range rng.Perm(len(peers)) {
		switch same := peers[i].OrdinalID.Place == place; {
		case same && len(inPlace) < n:
			inPlace = append(inPlace, peers[i])
		case !same && len(outside) < n:
			outside = append(outside, peers[i])
		}
	}
	var mixed []Peer
	for i := 0; len(mixed) < n && (i < len(inPlace) || i < len(outside)); i++ {
		if i < len(outside) {
			mixed = append(mixed, outside[i])
		}
		if i < len(inPlace) && len(mixed) < n {
			mixed = append(mixed, inPlace[i])
		}
	}
	return mixed
}

// Heartbeat returns the heartbeat to send to contacts.
func (v *View) Heartbeat() Heartbeat {
	return Heartbeat{From: v.self, Incarnation: v.incarnation, State: v.state}
}

// Tick returns the contacts to which a heartbeat is due, and whether the process
// was paused before this tick. It must be called every TickInterval.
func (v *View) Tick(now time.Time) (due []Peer, paused bool) {
	paused = v.recordTick(now)
	if paused {
		clear(v.nextHeartbeat) // all heartbeats are due at once, to confirm the state again
	}
	v.updateWaiting(now)
	v.rotateContact(now)
	for _, p := range v.contacts {
		if now.Before(v.nextHeartbeat[p.Name]) {
			continue
		}
		v.nextHeartbeat[p.Name] = now.Add(HeartbeatInterval)
		due = append(due, p)
	}
	v.dropExpired(now)
	return due, paused
}

// Receive records a heartbeat and returns its acknowledgement. config is the
// configuration version in force here.
func (v *View) Receive(now time.Time, hb Heartbeat, config uint64) Ack {
	v.heardAt[hb.From.Name] = now
	v.learnState(now, hb.From.Name, hb.Incarnation, hb.State, 0)
	ack := Ack{Incarnation: v.incarnation, State: v.state, Confirmed: v.Confirmed(now), Config: config}
	ack.HigherIncarnation, ack.Promise = v.promise(now, hb)
	ack.NoOthers = v.knowsNoOthers(hb)
	if s := v.ordinals[hb.From.OrdinalID]; hb.From.OrdinalID != v.self.OrdinalID {
		ack.OthersStopped = s.othersStopped(now, hb)
	}
	if len(v.peers) < FullMeshHosts {
		ack.HistoryHash = v.historyHash
	}
	return ack
}

// Acked records the acknowledgement of a heartbeat that was sent to a peer at the
// time sent. Only an acknowledgement proves that the path works in both
// directions.
func (v *View) Acked(now, sent time.Time, from Peer, ack Ack) {
	v.heardAt[from.Name] = now
	v.ackedSentAt[from.Name] = sent
	v.learnState(now, from.Name, ack.Incarnation, ack.State, ack.Config)
	if ack.HigherIncarnation > v.incarnation {
		v.supersede()
		return
	}
	v.recordPromise(sent, from.OrdinalID, ack)
	v.learnOtherProcesses(from, ack)
	v.learnHistoryHash(from.Name, ack.HistoryHash)
	v.recordConfirmation(now, sent, ack)
}

// supersede gives up the ordinal to a newer process. Heartbeats report that this
// host is leaving, so that callers get other addresses: a superseded host refuses
// their requests.
func (v *View) supersede() {
	v.superseded = true
	v.AnnounceLeave()
}

// Superseded reports whether a newer process has this host's ordinal. A
// superseded process must not start work on targets again.
func (v *View) Superseded() bool { return v.superseded }

// Reachable reports whether a contact acknowledged a heartbeat that was sent
// within ReachabilityTimeout.
func (v *View) Reachable(now time.Time, name string) bool {
	at, ok := v.ackedSentAt[name]
	return ok && now.Sub(at) <= ReachabilityTimeout
}

// Heard reports whether a heartbeat or an acknowledgement arrived from a peer
// within ReachabilityTimeout.
func (v *View) Heard(now time.Time, name string) bool {
	at, ok := v.heardAt[name]
	return ok && now.Sub(at) <= ReachabilityTimeout
}

// OneWayContacts returns the names of the contacts that are heard but do not
// acknowledge heartbeats.
func (v *View) OneWayContacts(now time.Time) []string {
	var names []string
	for _, p := range v.contacts {
		if v.Heard(now, p.Name) && !v.Reachable(now, p.Name) {
			names = append(names, p.Name)
		}
	}
	return names
}

// dropExpired drops the state that no rule uses any more, so that the view stays
// bounded.
func (v *View) dropExpired(now time.Time) {
	for name, at := range v.heardAt {
		if now.Sub(at) > ReachabilityTimeout {
			delete(v.heardAt, name)
		}
	}
	if len(v.ordinals) > maxKnownSenders {
		for id, s := range v.ordinals {
			if now.Sub(s.promiseGiven) > TakeoverWait && now.Sub(s.promiseHeldFrom) > IsolationLimit {
				delete(v.ordinals, id)
			}
		}
	}
}
