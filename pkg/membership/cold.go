package membership

import "time"

// ordinalState is what a host knows of an ordinal.
type ordinalState struct {
	incarnation      uint64    // highest known
	promisedTo       uint64    // incarnation that the last promise was given to
	promiseGiven     time.Time // when this host last promised the ordinal not to take over
	promiseHeldFrom  time.Time // when the last heartbeat was sent that the ordinal answered with a promise
	listedName       string    // name of the ordinal's host in the last host list
	severalProcesses bool      // more than one process of the ordinal is known
	stopRecord
}

// promise decides whether to answer a heartbeat with a promise not to take over,
// and returns a higher incarnation of the sender's ordinal if one is known. Only
// one incarnation of an ordinal holds a promise at a time: a promise to a later
// incarnation waits until the earlier promise has expired. A process gives no
// promise in its first TakeoverWait, because another process of its own
// ordinal may have taken over, unless it is the first process of that ordinal.
func (v *View) promise(now time.Time, hb Heartbeat) (higher uint64, promised bool) {
	s, known := v.ordinals[hb.From.OrdinalID]
	if !known && len(v.ordinals) >= 2*maxKnownSenders {
		return 0, false
	}
	defer func() { v.ordinals[hb.From.OrdinalID] = s }()
	if hb.Incarnation < s.incarnation {
		return s.incarnation, false
	}
	s.observeIncarnation(hb.Incarnation)
	s.learnStop(now, hb)
	if hb.From.OrdinalID == v.self.OrdinalID {
		v.otherProcessExists, v.otherProcessKnown = true, true
		if hb.Incarnation > v.incarnation {
			v.supersede()
		}
		return max(v.incarnation, hb.Incarnation), false
	}
	if now.Sub(v.started) < TakeoverWait && !v.FirstProcess() {
		return 0, false
	}
	if s.promisedTo != hb.Incarnation && !s.promiseGiven.IsZero() && now.Sub(s.promiseGiven) < TakeoverWait {
		return 0, false
	}
	s.promisedTo, s.promiseGiven = hb.Incarnation, now
	return 0, true
}

// recordPromise records the promise of an acknowledgement, valid from the sending
// of the heartbeat.
func (v *View) recordPromise(sent time.Time, from OrdinalID, ack Ack) {
	s := v.ordinals[from]
	s.observeIncarnation(ack.Incarnation)
	if ack.Promise && sent.After(s.promiseHeldFrom) {
		s.promiseHeldFrom = sent
	}
	v.ordinals[from] = s
}

// MayUseColdAllowance reports whether this host, the owner of the given rank of a
// cold target, may use the target's cold allowance: the few requests that a target
// which has just started can serve. It would fail if both owners used the allowance
// at once. other is the ordinal of the other owner, or nil if the target has one
// owner.
//
// Rank 0 needs a promise of rank 1 that is not older than IsolationLimit. Rank 1
// takes over when the host list names no host for the ordinal of rank 0 and rank
// 1 has given that ordinal no promise for TakeoverWait. The list alone never
// permits the use, because two hosts may hold different versions of the list for
// any length of time.
func (v *View) MayUseColdAllowance(now time.Time, rank int, other *OrdinalID) bool {
	if !v.Confirmed(now) || v.Isolated(now) {
		return false
	}
	if other == nil {
		return rank == 0 && (now.Sub(v.started) >= TakeoverWait || v.FirstProcess())
	}
	s := v.ordinals[*other]
	switch rank {
	case 0:
		return !s.promiseHeldFrom.IsZero() && now.Sub(s.promiseHeldFrom) <= IsolationLimit
	case 1:
		unlisted := v.listedOrdinals != nil && !v.listedOrdinals[*other]
		promised := !s.promiseGiven.IsZero() && now.Sub(s.promiseGiven) < TakeoverWait
		return unlisted && !promised && now.Sub(v.started) >= TakeoverWait
	}
	return false
}
