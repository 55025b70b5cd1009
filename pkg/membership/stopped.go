package membership

import "time"

// stopRecord records which processes of an ordinal have stopped.
type stopRecord struct {
	stoppedIncarnation  uint64    // highest incarnation that reported its stop; earlier ones have stopped too
	stoppedAt           time.Time // when that report was received
	previousIncarnation uint64    // highest known incarnation before the current one
	relisted            bool      // lists have named several hosts for the ordinal since that report
}

// AnnounceStop makes heartbeats report that this process has stopped and no
// longer uses any target. It returns false and reports nothing if this process
// is superseded, if another process of the ordinal may still run, or in a
// fleet of more than FullMeshHosts, where no host uses a report of a stop.
func (v *View) AnnounceStop(now time.Time) bool {
	if v.superseded || v.mustWait(now) || len(v.peers) >= FullMeshHosts {
		return false
	}
	v.state.Leaving, v.state.Stopped = true, true
	return true
}

// learnStop records a process that reports its stop.
func (s *ordinalState) learnStop(now time.Time, hb Heartbeat) {
	if !hb.State.Stopped || hb.Incarnation != s.incarnation {
		return
	}
	s.stoppedIncarnation, s.stoppedAt, s.relisted = hb.Incarnation, now, false
	s.listedName = "" // a later list that names this host again may mean another process
}

// othersStopped reports whether every other known process of the sender's
// ordinal has stopped, the last one within TakeoverWait. A process that started
// since then and is unknown to this host may not use the share yet.
func (s *ordinalState) othersStopped(now time.Time, hb Heartbeat) bool {
	return s.stoppedIncarnation != 0 && now.Sub(s.stoppedAt) < TakeoverWait && s.previousIncarnation <= s.stoppedIncarnation &&
		s.incarnation == hb.Incarnation && hb.Incarnation > s.stoppedIncarnation &&
		!s.relisted && (s.listedName == "" || s.listedName == hb.From.Name)
}

// decideOthersStopped decides whether all other known processes of this ordinal
// have stopped: each other listed host has answered that the processes it knows
// of have stopped, and this host knows of none itself. Promises for cold targets
// remain valid.
func (v *View) decideOthersStopped() {
	if v.othersStopped || v.otherProcessKnown || !v.selfListed || len(v.peers) >= FullMeshHosts {
		return
	}
	for _, p := range v.peers {
		if !v.noOthersFrom[p.Name] && !v.othersStoppedFrom[p.Name] {
			return
		}
	}
	v.othersStopped = len(v.peers) > 0
}

// mustWait reports whether this process may not use its shares yet, because
// another process of its ordinal may still use them.
func (v *View) mustWait(now time.Time) bool {
	return now.Sub(v.started) < TakeoverWait && !v.FirstProcess() && !(v.othersStopped && !v.otherProcessKnown)
}

// updateWaiting reports mustWait in the heartbeats. When the wait ends, the next
// heartbeats to all contacts are due at once.
func (v *View) updateWaiting(now time.Time) {
	before := v.state.Waiting
	v.state.Waiting = v.mustWait(now)
	if before && !v.state.Waiting {
		clear(v.nextHeartbeat)
	}
}
