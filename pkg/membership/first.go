package membership

// meet takes note of a process of the seat.
func (s *seatState) meet(incarnation uint64) {
	s.reused = s.reused || s.incarnation != 0 && incarnation != s.incarnation
	if incarnation > s.incarnation {
		s.previous = s.incarnation
	}
	s.incarnation = max(s.incarnation, incarnation)
}

// listed takes note of the host that a list names for the seat.
func (s *seatState) listed(name string) {
	another := s.listedAs != "" && name != s.listedAs
	s.reused, s.mixed = s.reused || another, s.mixed || another
	s.listedAs = name
}

// knowsNoOther reports whether this host knows of no other process of the
// sender's seat, neither from heartbeats nor from a host list.
func (v *View) knowsNoOther(hb Heartbeat) bool {
	if hb.From.Seat == v.self.Seat {
		return false // this host is the other process
	}
	s := v.seats[hb.From.Seat]
	return !s.reused && s.incarnation == hb.Incarnation && (s.listedAs == "" || s.listedAs == hb.From.Name)
}

// firstAnswer takes what a peer said about earlier processes of this seat.
func (v *View) firstAnswer(from Peer, ack Ack) {
	if !ack.First {
		v.replaces = true
	} else if len(v.sayFirst) < SmallFleet {
		v.sayFirst[from.Name] = true
	}
	if len(v.sayVacant) < SmallFleet {
		v.sayVacant[from.Name] = ack.Vacant
	}
	v.judgeFirst()
	v.judgeVacant()
}

// judgeFirst decides whether this process is the first of its seat: the host
// list names it and nobody else for the seat, and each other listed host has
// answered that it knows of no other process. In a large fleet most hosts know
// nothing of a seat, so their answers prove nothing.
func (v *View) judgeFirst() {
	if v.first || !v.named || len(v.peers) >= SmallFleet {
		return
	}
	for _, p := range v.peers {
		if !v.sayFirst[p.Name] {
			return
		}
	}
	v.first = true
}

// First reports whether no earlier process of this host's seat can exist, so
// that its share can be used without a wait.
func (v *View) First() bool { return v.first && !v.replaces }

// FirstSettled reports whether no further answer changes First.
func (v *View) FirstSettled() bool {
	return v.first || v.replaces || len(v.peers) >= SmallFleet
}
