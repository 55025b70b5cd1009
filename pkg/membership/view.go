package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// OrdinalID is the position of a host: its ordinal within its place.
type OrdinalID struct {
	Place   string `cbor:"1,keyasint"`
	Ordinal int    `cbor:"2,keyasint"`
}

// Peer is a host of the fleet.
type Peer struct {
	Name      string    `cbor:"1,keyasint"`
	OrdinalID OrdinalID `cbor:"2,keyasint"`
	Address   string    `cbor:"3,keyasint"` // IP and port for hosts
}

// Heartbeat is what a host says about itself.
type Heartbeat struct {
	From        Peer   `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // start of the process in nanoseconds
	State       State  `cbor:"3,keyasint,omitempty"`
}

// Ack answers a heartbeat.
type Ack struct {
	Incarnation       uint64 `cbor:"1,keyasint"`           // of the answering process
	HigherIncarnation uint64 `cbor:"2,keyasint,omitempty"` // a higher incarnation of the sender's seat, if one is known
	Confirmed         bool   `cbor:"3,keyasint,omitempty"` // the answering host is itself confirmed
	Promise           bool   `cbor:"4,keyasint,omitempty"` // it does not take over from the sender for TakeoverWait
	Config            uint64 `cbor:"5,keyasint,omitempty"` // configuration version in force there
	State             State  `cbor:"7,keyasint,omitempty"`
	OthersStopped     bool   `cbor:"9,keyasint,omitempty"` // every other process of the sender's seat that it knows of has stopped
	NoOthers          bool   `cbor:"6,keyasint,omitempty"` // it knows of no other process of the sender's seat
	HistoryHash       uint64 `cbor:"8,keyasint,omitempty"` // of the configuration in force there and the one before
}

// View is what a host knows of its peers.
type View struct {
	self        Peer
	incarnation uint64
	started     time.Time
	rng         *rand.Rand

	peers    []Peer // the host list without this host
	listed   map[OrdinalID]bool
	named    bool            // the list names this host
	wasNamed bool            // a list named this host
	first    bool            // no earlier process of this seat was found
	replaces bool            // an earlier process of this seat is known
	sayFirst map[string]bool // small fleets: peers that know of no other process of this seat

	met       bool            // this host itself knows of another process of this seat
	vacant    bool            // all earlier processes of this seat have stopped
	sayVacant map[string]bool // small fleets: whether those that a peer knows of have

	contacts []Peer
	pinned   []string
	nextBeat map[string]time.Time // by name of the contact
	rotated  time.Time

	heard map[string]time.Time // last heartbeat or acknowledgement received, by name
	acked map[string]time.Time // when the last acknowledged heartbeat was sent, by name
	seats map[OrdinalID]seatState

	trail    uint64            // of the configuration in force here
	allSeats int               // of the configuration in force here
	trails   map[string]uint64 // small fleets: the last trail of each peer

	state  State                // of this host
	states map[string]peerState // of hosts, by name

	readiness
	superseded bool
}

// NewView returns the view of a process that has just started.
func NewView(self Peer, incarnation uint64, started time.Time, rng *rand.Rand) *View {
	return &View{
		self: self, incarnation: incarnation, started: started, rng: rng,
		nextBeat: map[string]time.Time{}, heard: map[string]time.Time{}, acked: map[string]time.Time{},
		seats: map[OrdinalID]seatState{}, states: map[string]peerState{}, sayFirst: map[string]bool{}, sayVacant: map[string]bool{}, trails: map[string]uint64{}, readiness: readiness{since: started},
	}
}

// SetPeers adopts a host list. A list that names another host for this seat
// after one that named this host ends this host's right to the seat.
func (v *View) SetPeers(hosts []Peer) {
	v.peers, v.listed = nil, map[OrdinalID]bool{}
	named := false
	for _, h := range hosts {
		v.listed[h.OrdinalID] = true
		s := v.seats[h.OrdinalID]
		s.listed(h.Name)
		v.seats[h.OrdinalID] = s
		if h.Name == v.self.Name {
			named = true
			continue
		}
		v.peers = append(v.peers, h)
	}
	if v.wasNamed && !named && v.listed[v.self.OrdinalID] {
		v.supersede()
	}
	v.keepStates(hosts)
	v.named, v.wasNamed = named, v.wasNamed || named
	// A list that names this host may still name the one that it replaces.
	own := v.seats[v.self.OrdinalID]
	v.met = v.met || own.reused || own.listedAs != "" && own.listedAs != v.self.Name
	v.replaces = v.replaces || v.met
	v.judgeFirst()
	v.judgeVacant()
	v.chooseContacts()
}

// Pin makes named hosts contacts ahead of random ones, in this order.
func (v *View) Pin(names []string) {
	if !slices.Equal(v.pinned, names) {
		v.pinned = slices.Clone(names)
		v.chooseContacts()
	}
}

// Contacts returns the peers that get heartbeats.
func (v *View) Contacts() []Peer { return v.contacts }

// chooseContacts keeps the present contacts that are still listed and fills up
// with random peers, half of them in other places.
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
		// Another process of the same seat must learn which one is newer.
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
	for name := range v.nextBeat {
		if !slices.ContainsFunc(contacts, func(p Peer) bool { return p.Name == name }) {
			delete(v.nextBeat, name)
			delete(v.acked, name)
		}
	}
}

// rotate exchanges a random contact of a large fleet: the first that does not
// acknowledge, or the oldest when RotateInterval has passed.
func (v *View) rotate(now time.Time) {
	if v.rotated.IsZero() {
		v.rotated = now
	}
	since := now.Sub(v.rotated)
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
	v.rotated = now
	v.contacts = slices.Delete(slices.Clone(v.contacts), i, i+1)
	v.chooseContacts()
}

// SamplePeers returns up to n distinct random peers, half of them outside a place.
func SamplePeers(rng *rand.Rand, peers []Peer, place string, n int) []Peer {
	var near, far []Peer
	for _, i := range rng.Perm(len(peers)) {
		switch here := peers[i].OrdinalID.Place == place; {
		case here && len(near) < n:
			near = append(near, peers[i])
		case !here && len(far) < n:
			far = append(far, peers[i])
		}
	}
	var mixed []Peer
	for i := 0; len(mixed) < n && (i < len(near) || i < len(far)); i++ {
		if i < len(far) {
			mixed = append(mixed, far[i])
		}
		if i < len(near) && len(mixed) < n {
			mixed = append(mixed, near[i])
		}
	}
	return mixed
}

// Heartbeat returns what to send to contacts.
func (v *View) Heartbeat() Heartbeat {
	return Heartbeat{From: v.self, Incarnation: v.incarnation, State: v.state}
}

// Tick returns the contacts that are due a heartbeat, and whether the process
// was paused before this tick.
func (v *View) Tick(now time.Time) (due []Peer, paused bool) {
	paused = v.tick(now)
	if paused {
		clear(v.nextBeat) // every contact is asked at once
	}
	v.updateWaiting(now)
	v.rotate(now)
	for _, p := range v.contacts {
		if now.Before(v.nextBeat[p.Name]) {
			continue
		}
		v.nextBeat[p.Name] = now.Add(HeartbeatInterval)
		due = append(due, p)
	}
	v.forget(now)
	return due, paused
}

// Receive takes a heartbeat and returns its acknowledgement.
func (v *View) Receive(now time.Time, hb Heartbeat, config uint64) Ack {
	v.heard[hb.From.Name] = now
	v.learnState(now, hb.From.Name, hb.Incarnation, hb.State, 0)
	ack := Ack{Incarnation: v.incarnation, State: v.state, Confirmed: v.Confirmed(now), Config: config}
	ack.HigherIncarnation, ack.Promise = v.promise(now, hb)
	ack.NoOthers = v.knowsNoOther(hb)
	if s := v.seats[hb.From.OrdinalID]; hb.From.OrdinalID != v.self.OrdinalID {
		ack.OthersStopped = s.vacantFor(now, hb)
	}
	if len(v.peers) < FullMeshHosts {
		ack.HistoryHash = v.trail
	}
	return ack
}

// Acked takes the acknowledgement of a heartbeat that was sent to a peer at a
// time. Only an acknowledgement proves that the path works in both directions.
func (v *View) Acked(now, sent time.Time, from Peer, ack Ack) {
	v.heard[from.Name] = now
	v.acked[from.Name] = sent
	v.learnState(now, from.Name, ack.Incarnation, ack.State, ack.Config)
	if ack.HigherIncarnation > v.incarnation {
		v.supersede()
		return
	}
	v.keepPromise(sent, from.OrdinalID, ack)
	v.firstAnswer(from, ack)
	v.learnTrail(from.Name, ack.HistoryHash)
	v.answered(now, sent, ack)
}

// supersede gives up the seat to a newer process. Heartbeats say that this host
// leaves, so that callers are sent elsewhere: it refuses their requests.
func (v *View) supersede() {
	v.superseded = true
	v.AnnounceLeave()
}

// Superseded reports whether a newer process has this host's seat. It must
// stop new work on targets for good.
func (v *View) Superseded() bool { return v.superseded }

// Reachable reports whether a contact acknowledged a recent heartbeat.
func (v *View) Reachable(now time.Time, name string) bool {
	at, ok := v.acked[name]
	return ok && now.Sub(at) <= ReachabilityTimeout
}

// Heard reports whether anything came from a peer recently.
func (v *View) Heard(now time.Time, name string) bool {
	at, ok := v.heard[name]
	return ok && now.Sub(at) <= ReachabilityTimeout
}

// OneWayContacts returns the contacts that are heard but do not acknowledge.
func (v *View) OneWayContacts(now time.Time) []string {
	var names []string
	for _, p := range v.contacts {
		if v.Heard(now, p.Name) && !v.Reachable(now, p.Name) {
			names = append(names, p.Name)
		}
	}
	return names
}

// forget drops what no rule looks at any more, so that the view stays bounded.
func (v *View) forget(now time.Time) {
	for name, at := range v.heard {
		if now.Sub(at) > ReachabilityTimeout {
			delete(v.heard, name)
		}
	}
	if len(v.seats) > maxSeats {
		for seat, s := range v.seats {
			if now.Sub(s.promised) > TakeoverWait && now.Sub(s.granted) > IsolationLimit {
				delete(v.seats, seat)
			}
		}
	}
}
