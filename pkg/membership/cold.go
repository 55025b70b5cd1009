package membership

import "time"

// seatState is what a host remembers of another seat.
type seatState struct {
	incarnation uint64    // highest heard of
	promisedTo  uint64    // incarnation that the last promise was given to
	promised    time.Time // when this host last promised that seat not to take over
	granted     time.Time // when the heartbeat was sent that the seat last answered with a promise
	listedAs    string    // name by which a host list last named the seat's host
	reused      bool      // the seat is known to have had several processes
	vacancy
}

// promise decides what to answer to a heartbeat. A promise goes to one
// incarnation of a seat at a time: after one to an earlier incarnation the next
// waits until that one has run out. A process gives none in the first
// TakeoverWait, because an earlier one of its own seat may have taken over,
// unless it is the first of its seat.
func (v *View) promise(now time.Time, hb Heartbeat) (higher uint64, promised bool) {
	s, known := v.seats[hb.From.OrdinalID]
	if !known && len(v.seats) >= 2*maxSeats {
		return 0, false
	}
	defer func() { v.seats[hb.From.OrdinalID] = s }()
	if hb.Incarnation < s.incarnation {
		return s.incarnation, false
	}
	s.meet(hb.Incarnation)
	s.learnStop(now, hb)
	if hb.From.OrdinalID == v.self.OrdinalID {
		v.replaces, v.met = true, true
		if hb.Incarnation > v.incarnation {
			v.supersede()
		}
		return max(v.incarnation, hb.Incarnation), false
	}
	if now.Sub(v.started) < TakeoverWait && !v.FirstProcess() {
		return 0, false
	}
	if s.promisedTo != hb.Incarnation && !s.promised.IsZero() && now.Sub(s.promised) < TakeoverWait {
		return 0, false
	}
	s.promisedTo, s.promised = hb.Incarnation, now
	return 0, true
}

func (v *View) keepPromise(sent time.Time, from OrdinalID, ack Ack) {
	s := v.seats[from]
	s.meet(ack.Incarnation)
	if ack.Promise && sent.After(s.granted) {
		s.granted = sent
	}
	v.seats[from] = s
}

// MayUseColdAllowance reports whether this host, the owner of a rank of a cold target,
// may use the target's cold allowance. other is the other owner's seat; nil if
// the target has one owner.
//
// Rank 0 needs a promise of rank 1 that is not older than IsolationLimit. Rank 1
// takes over when the host list names no host for the seat of rank 0 and it has
// given that seat no promise for TakeoverWait. The list alone never permits:
// two hosts may hold different versions of it for any length of time.
func (v *View) MayUseColdAllowance(now time.Time, rank int, other *OrdinalID) bool {
	if !v.Confirmed(now) || v.Isolated(now) {
		return false
	}
	if other == nil {
		return rank == 0 && (now.Sub(v.started) >= TakeoverWait || v.FirstProcess())
	}
	s := v.seats[*other]
	switch rank {
	case 0:
		return !s.granted.IsZero() && now.Sub(s.granted) <= IsolationLimit
	case 1:
		gone := v.listed != nil && !v.listed[*other]
		lent := !s.promised.IsZero() && now.Sub(s.promised) < TakeoverWait
		return gone && !lent && now.Sub(v.started) >= TakeoverWait
	}
	return false
}
