package membership

import "time"

// vacancy is what a host remembers of the processes of a seat that have stopped.
type vacancy struct {
	stopped   uint64    // highest incarnation that said so; no earlier one is left
	stoppedAt time.Time // when it was heard
	previous  uint64    // highest incarnation heard of before the present one
	mixed     bool      // lists have named several hosts for the seat since then
}

// AnnounceStop makes heartbeats say that this process has stopped: it uses no target any
// more. It returns false if that must not be said, because an earlier process of
// the seat may still run, or would not be used in a large fleet.
func (v *View) AnnounceStop(now time.Time) bool {
	if v.superseded || v.waits(now) || len(v.peers) >= FullMeshHosts {
		return false
	}
	v.state.Leaving, v.state.Stopped = true, true
	return true
}

// learnStop takes note of a process that has stopped.
func (s *seatState) learnStop(now time.Time, hb Heartbeat) {
	if !hb.State.Stopped || hb.Incarnation != s.incarnation {
		return
	}
	s.stopped, s.stoppedAt, s.mixed = hb.Incarnation, now, false
	s.listedAs = "" // a list from now on that names it again may mean another process
}

// vacantFor reports whether every other process of the sender's seat that this
// host knows of has stopped, the last one within TakeoverWait. A process started
// since then, of which this host has not heard, may not use the share yet.
func (s *seatState) vacantFor(now time.Time, hb Heartbeat) bool {
	return s.stopped != 0 && now.Sub(s.stoppedAt) < TakeoverWait && s.previous <= s.stopped &&
		s.incarnation == hb.Incarnation && hb.Incarnation > s.stopped &&
		!s.mixed && (s.listedAs == "" || s.listedAs == hb.From.Name)
}

// judgeVacant decides whether all earlier processes of this seat have stopped:
// each other listed host has answered that those it knows of have, and this host
// knows of none itself. Promises for cold targets are not ended by it.
func (v *View) judgeVacant() {
	if v.vacant || v.met || !v.named || len(v.peers) >= FullMeshHosts {
		return
	}
	for _, p := range v.peers {
		if !v.sayFirst[p.Name] && !v.sayVacant[p.Name] {
			return
		}
	}
	v.vacant = len(v.peers) > 0
}

// waits reports whether this process may not use its shares yet, because an
// earlier one of its seat may be using them.
func (v *View) waits(now time.Time) bool {
	return now.Sub(v.started) < TakeoverWait && !v.FirstProcess() && !(v.vacant && !v.met)
}

// updateWaiting puts waits into the heartbeats. When the wait is over, all
// contacts are told at once.
func (v *View) updateWaiting(now time.Time) {
	before := v.state.Waiting
	v.state.Waiting = v.waits(now)
	if before && !v.state.Waiting {
		clear(v.nextBeat)
	}
}
