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
	if hb.From.OrdinalID == v.self.OrdinalID {
		return false // this host is the other process
	}
	s := v.seats[hb.From.OrdinalID]
	return !s.reused && s.incarnation == hb.Incarnation && (s.listedAs == "" || s.listedAs == hb.From.Name)
}

// firstAnswer takes what a peer said about earlier processes of this seat.
func (v *View) firstAnswer(from Peer, ack Ack) {
	if !ack.NoOthers {
		v.replaces = true
	} else if len(v.sayFirst) < FullMeshHosts {
		v.sayFirst[from.Name] = true
	}
	if len(v.sayVacant) < FullMeshHosts {
		v.sayVacant[from.Name] = ack.OthersStopped
	}
	v.judgeFirst()
	v.judgeVacant()
}

// judgeFirst decides whether this process is the first of its seat: the host
// list names it and nobody else for the seat, and each other listed host has
// answered that it knows of no other process. In a large fleet most hosts know
// nothing of a seat, so their answers prove nothing.
func (v *View) judgeFirst() {
	if v.first || !v.named || len(v.peers) >= FullMeshHosts {
		return
	}
	for _, p := range v.peers {
		if !v.sayFirst[p.Name] {
			return
		}
	}
	v.first = true
}

// FirstProcess reports whether no earlier process of this host's seat can exist, so
// that its share can be used without a wait.
func (v *View) FirstProcess() bool { return v.first && !v.replaces }

// FirstProcessSettled reports whether no further answer changes First.
func (v *View) FirstProcessSettled() bool {
	return v.first || v.replaces || len(v.peers) >= FullMeshHosts
}
