package membership

import "time"

// readiness records whether the process has confirmed its state since it started
// or was last resumed.
type readiness struct {
	lastTick        time.Time
	resumedAt       time.Time // start of the process or end of the last pause; evidence from before does not count
	pauses          uint64
	confirmed       bool // the incarnation and the configuration are confirmed in full
	partlyConfirmed bool // an unconfirmed peer answered and ConfirmLimit has passed

	platformAnswered      bool // the platform answered a read that began after resumedAt
	peerAnswered          bool // a peer acknowledged a heartbeat sent after resumedAt
	confirmedPeerAnswered bool // one of these peers was itself confirmed

	confirmedAt    time.Time // start of the last exchange that confirmed the incarnation
	configInForce  uint64    // highest configuration version that this host applies or refused
	requiredConfig uint64    // highest configuration version that a peer reported after resumedAt
}

// tickOverdue reports whether the last tick is so old that the process must have
// been paused.
func (r *readiness) tickOverdue(now time.Time) bool {
	return r.lastTick.IsZero() || now.Sub(r.lastTick) > TickInterval+PauseLimit
}

// recordTick records a tick. After a pause it discards every confirmation except
// confirmedAt, which Isolated uses.
func (r *readiness) recordTick(now time.Time) (paused bool) {
	if !r.lastTick.IsZero() && r.tickOverdue(now) {
		paused = true
		r.pauses++
		r.resumedAt = now
		r.confirmed, r.partlyConfirmed, r.platformAnswered, r.peerAnswered, r.confirmedPeerAnswered = false, false, false, false, false
		r.requiredConfig = 0
	}
	r.lastTick = now
	return paused
}

// SetConfigInForce sets the configuration version that this host applies or, if
// a newer one failed validation, the version that it refused. A lower version
// than before has no effect.
func (v *View) SetConfigInForce(now time.Time, version uint64) {
	v.configInForce = max(v.configInForce, version)
	v.updateConfirmed(now)
}

// PlatformRead records that the platform answered a read that began at the given
// time.
func (v *View) PlatformRead(now, began time.Time) {
	if began.After(v.confirmedAt) {
		v.confirmedAt = began
	}
	if !began.Before(v.resumedAt) {
		v.platformAnswered = true
	}
	v.updateConfirmed(now)
}

// recordConfirmation counts an acknowledgement as a confirmation, as of the time
// at which its heartbeat was sent.
func (v *View) recordConfirmation(now, sent time.Time, ack Ack) {
	if sent.After(v.confirmedAt) {
		v.confirmedAt = sent
	}
	if !sent.Before(v.resumedAt) {
		v.peerAnswered = true
		v.confirmedPeerAnswered = v.confirmedPeerAnswered || ack.Confirmed
		v.requiredConfig = max(v.requiredConfig, ack.Config)
	}
	v.updateConfirmed(now)
}

// updateConfirmed applies the rule for resuming work after a start or a pause. An
// answer of the platform may be stale. Without an answer of a peer, such an
// answer is enough only after ConfirmLimit or if the host list names no peer.
func (v *View) updateConfirmed(now time.Time) {
	if v.configInForce == 0 || v.configInForce < v.requiredConfig || v.tickOverdue(now) {
		return
	}
	waited := now.Sub(v.resumedAt) >= ConfirmLimit
	alone := v.listedOrdinals != nil && len(v.peers) == 0
	if v.confirmedPeerAnswered || v.platformAnswered && (v.peerAnswered || alone || waited) {
		v.confirmed = true
	}
	if waited && v.peerAnswered {
		v.partlyConfirmed = true
	}
}

// Confirmed reports whether this host has fully confirmed its incarnation and
// its configuration since it started or was resumed.
func (v *View) Confirmed(now time.Time) bool {
	v.updateConfirmed(now)
	return v.confirmed && !v.tickOverdue(now) && !v.superseded
}

// Ready reports whether this host may start work. Work on cold targets and
// commands requires Confirmed.
func (v *View) Ready(now time.Time) bool {
	return (v.Confirmed(now) || v.partlyConfirmed) && !v.tickOverdue(now) && !v.superseded
}

// Isolated reports whether neither a peer nor the platform has confirmed this
// host's incarnation within IsolationLimit.
func (v *View) Isolated(now time.Time) bool { return now.Sub(v.confirmedAt) > IsolationLimit }

// Pauses returns the number of detected pauses of the process.
func (v *View) Pauses() uint64 { return v.pauses }
