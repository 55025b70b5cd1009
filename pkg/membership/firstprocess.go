package membership

// observeIncarnation records a process of the ordinal.
func (s *ordinalState) observeIncarnation(incarnation uint64) {
	s.severalProcesses = s.severalProcesses || s.incarnation != 0 && incarnation != s.incarnation
	if incarnation > s.incarnation {
		s.previousIncarnation = s.incarnation
	}
	s.incarnation = max(s.incarnation, incarnation)
}

// observeListedName records the host that a list names for the ordinal.
func (s *ordinalState) observeListedName(name string) {
	another := s.listedName != "" && name != s.listedName
	s.severalProcesses, s.relisted = s.severalProcesses || another, s.relisted || another
	s.listedName = name
}

// knowsNoOthers reports whether this host knows of no other process of the
// sender's ordinal, neither from heartbeats nor from a host list.
func (v *View) knowsNoOthers(hb Heartbeat) bool {
	if hb.From.OrdinalID == v.self.OrdinalID {
		return false // this host is the other process
	}
	s := v.ordinals[hb.From.OrdinalID]
	return !s.severalProcesses && s.incarnation == hb.Incarnation && (s.listedName == "" || s.listedName == hb.From.Name)
}

// learnOtherProcesses records what a peer reports about other processes of this
// ordinal.
func (v *View) learnOtherProcesses(from Peer, ack Ack) {
	if !ack.NoOthers {
		v.otherProcessExists = true
	} else if len(v.noOthersFrom) < FullMeshHosts {
		v.noOthersFrom[from.Name] = true
	}
	if len(v.othersStoppedFrom) < FullMeshHosts {
		v.othersStoppedFrom[from.Name] = ack.OthersStopped
	}
	v.decideFirstProcess()
	v.decideOthersStopped()
}

// decideFirstProcess decides whether this process is the first of its ordinal:
// the host list names this host and no other for the ordinal, and each other
// listed host has answered that it knows of no other process. In a fleet of more
// than FullMeshHosts most hosts know nothing of an ordinal, so that their answers
// prove nothing.
func (v *View) decideFirstProcess() {
	if v.firstProcess || !v.selfListed || len(v.peers) >= FullMeshHosts {
		return
	}
	for _, p := range v.peers {
		if !v.noOthersFrom[p.Name] {
			return
		}
	}
	v.firstProcess = true
}

// FirstProcess reports whether no other process of this host's ordinal can
// exist, so that this process may use its share without a wait.
func (v *View) FirstProcess() bool { return v.firstProcess && !v.otherProcessExists }

// FirstProcessSettled reports whether further answers can no longer change the
// result of FirstProcess.
func (v *View) FirstProcessSettled() bool {
	return v.firstProcess || v.otherProcessExists || len(v.peers) >= FullMeshHosts
}
