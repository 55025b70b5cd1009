package membership

import "time"

// readiness is whether the process has confirmed its state since it started or
// was last resumed.
type readiness struct {
	lastTick  time.Time
	since     time.Time // start of the process or end of the last pause
	pauses    uint64
	confirmed bool // fully
	partly    bool // by a peer that was not confirmed itself, after ConfirmLimit

	platform  bool // the platform answered a read that began after since
	peer      bool // a peer answered
	confident bool // a confirmed peer answered

	confirmedAt time.Time // start of the last exchange that confirmed the incarnation
	inForce     uint64    // configuration version in force here
	needed      uint64    // highest version a peer named since
}

// late reports whether no tick came for so long that the process was paused.
func (r *readiness) late(now time.Time) bool {
	return r.lastTick.IsZero() || now.Sub(r.lastTick) > TickInterval+PauseLimit
}

func (r *readiness) tick(now time.Time) (paused bool) {
	if !r.lastTick.IsZero() && r.late(now) {
		paused = true
		r.pauses++
		r.since = now
		r.confirmed, r.partly, r.platform, r.peer, r.confident = false, false, false, false, false
		r.needed = 0
	}
	r.lastTick = now
	return paused
}

// SetConfigInForce tells the view which configuration version this host applies
// or, if a newer one did not pass its check, has refused.
func (v *View) SetConfigInForce(now time.Time, version uint64) {
	v.inForce = max(v.inForce, version)
	v.judge(now)
}

// PlatformRead tells the view that the platform answered a read that began at
// a time.
func (v *View) PlatformRead(now, began time.Time) {
	if began.After(v.confirmedAt) {
		v.confirmedAt = began
	}
	if !began.Before(v.since) {
		v.platform = true
	}
	v.judge(now)
}

// answered takes an acknowledgement as a confirmation.
func (v *View) answered(now, sent time.Time, ack Ack) {
	if sent.After(v.confirmedAt) {
		v.confirmedAt = sent
	}
	if !sent.Before(v.since) {
		v.peer = true
		v.confident = v.confident || ack.Confirmed
		v.needed = max(v.needed, ack.Config)
	}
	v.judge(now)
}

// judge applies the rule for resuming. A platform that answers may be stale, so
// its answer alone is enough only if no peer answers within ConfirmLimit or
// there is none.
func (v *View) judge(now time.Time) {
	if v.inForce == 0 || v.inForce < v.needed || v.late(now) {
		return
	}
	waited := now.Sub(v.since) >= ConfirmLimit
	alone := v.listed != nil && len(v.peers) == 0
	if v.confident || v.platform && (v.peer || alone || waited) {
		v.confirmed = true
	}
	if waited && v.peer {
		v.partly = true
	}
}

// Confirmed reports whether this host has confirmed its incarnation and its
// configuration fully since it started or was resumed.
func (v *View) Confirmed(now time.Time) bool {
	v.judge(now)
	return v.confirmed && !v.late(now) && !v.superseded
}

// Ready reports whether this host may start work. Cold targets and commands
// need Confirmed.
func (v *View) Ready(now time.Time) bool {
	return (v.Confirmed(now) || v.partly) && !v.late(now) && !v.superseded
}

// Isolated reports whether nobody has confirmed this host's incarnation for
// IsolationLimit.
func (v *View) Isolated(now time.Time) bool { return now.Sub(v.confirmedAt) > IsolationLimit }

// Pauses returns how often the process was found to have been paused.
func (v *View) Pauses() uint64 { return v.pauses }
