package published

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

const (
	// StoreReaders is the number of hosts that read the store on behalf of all. Store
	// calls are charged for; with two readers, the loss of one leaves no gap.
	StoreReaders = 2
	// staleReaders is the number of hosts that read the store once the last confirmation is
	// stale, and maxReaders their largest number: it doubles every readersStep, a fraction of
	// the bound on changes. A store that is away or turns hosts away gets no more calls
	// from a larger fleet.
	staleReaders = 8
	maxReaders   = 32
	readersStep  = 0.05
	// watchFraction is the longest duration of one watch, as a fraction of the change
	// bound, the time within which a change must be in force. A connection that failed
	// silently is detected after this time plus answerTimeout.
	watchFraction = 1.0 / 3
	// staleFraction is the age of the last confirmation, as a fraction of the change
	// bound, from which more hosts than the readers read the store.
	staleFraction = 0.6
	// overdueFraction is the age from which a host reads the store whose peers have later
	// confirmations than it: it cannot get their state.
	overdueFraction = 0.75
	// silentFraction is the time without a heartbeat, as a fraction of the change bound, from
	// which a host counts as cut off from its peers.
	silentFraction = 0.4
	// turnFraction is the age from which hosts behind maxReaders others call the store in turn.
	turnFraction = 2
	// turnPeriod is the time in which maxReaders of the other hosts call the store while the
	// last confirmation is stale.
	turnPeriod = time.Second
	// answerTimeout is how long the answer to a watch may take beyond the requested
	// wait.
	answerTimeout = 700 * time.Millisecond
	// readTimeout bounds a read of the whole state, whose pages take a few
	// milliseconds each and fifty times as long while the store is slow.
	readTimeout = 3 * time.Second
	// peerPullWait is how long a host that has just started waits for a pull from
	// a peer that has the state.
	peerPullWait = 250 * time.Millisecond
)

// Fleet is a host's place among the others.
type Fleet struct {
	ReaderRank int // see roster.Roster.ReaderRank
	HeardHosts int // see roster.Roster.HeardHosts
}

// Call is a call of the store.
type Call struct {
	Whole bool          // read the whole state; otherwise watch for changes after From.Revision
	Wait  time.Duration // of a watch
	Limit time.Duration // of the call
	From  Position      // of this host's state when the call began
	Began time.Time
}

// NextCall returns the call of the store that this host has to make now, and false if it has
// to make none: without a state, it waits for peers; with one, it makes calls if it is a
// reader, or if the last confirmation is so old that it has to know by itself.
func (r *Replica) NextCall(now time.Time, f Fleet) (Call, bool) {
	call := Call{From: r.Position(), Began: now}
	reader := false
	switch {
	case r.IsEmpty():
		if !r.mayReadFirst(now, f) {
			return Call{}, false
		}
		call.Whole, call.Limit = true, readTimeout
		return call, true
	case r.unreliable && now.Before(r.nextRead):
		return Call{}, false
	case f.ReaderRank < StoreReaders:
		reader = true
	case !r.callsByItself(now, f):
		return Call{}, false
	}
	if !r.needsRead {
		call.Wait = time.Duration(watchFraction * float64(r.settings.ChangeBound))
		call.Limit = call.Wait + answerTimeout
		return call, true
	}
	if !reader && now.Before(r.readTurn(now, f)) {
		return Call{}, false
	}
	call.Whole, call.Limit = true, readTimeout
	return call, true
}

// mayReadFirst reports whether a host without a state has waited long enough for peers.
func (r *Replica) mayReadFirst(now time.Time, f Fleet) bool {
	wait := max(r.settings.MinPeerWait, roster.FirstReadWait(r.settings.Seed, f.HeardHosts, r.settings.ReadDraw))
	if r.pulling {
		wait = max(wait, peerPullWait)
	}
	return now.Sub(r.settings.Started) >= wait
}

// readTurn returns when a host that is no reader may read the whole state. The readers do so at
// once, and most others have the state from them before their turn.
func (r *Replica) readTurn(now time.Time, f Fleet) time.Time {
	if r.readFrom.IsZero() {
		r.readFrom = now.Add(roster.FirstReadWait(false, f.HeardHosts, r.settings.ReadDraw))
	}
	return r.readFrom
}

// callsByItself reports whether a host calls the store although it is no reader.
func (r *Replica) callsByItself(now time.Time, f Fleet) bool {
	age := now.Sub(r.confirmedAt)
	if age <= r.staleAge() {
		return false
	}
	if now.Sub(r.heardAt) > r.fraction(silentFraction) || f.ReaderRank < r.readersAt(age) {
		return true
	}
	spread := roster.FirstReadWait(false, f.HeardHosts, r.settings.ReadDraw)
	if !r.pulling && now.Sub(r.peersConfirmed) <= r.staleAge() && age > r.fraction(overdueFraction)+spread {
		return true
	}
	return !r.pulling && age > r.fraction(turnFraction) && r.takesTurn(now, f)
}

// takesTurn reports whether it is the turn of a host behind maxReaders others, all of which may be
// turned away by the store. Together these hosts make maxReaders calls in each turnPeriod.
func (r *Replica) takesTurn(now time.Time, f Fleet) bool {
	period := turnPeriod * time.Duration(1+f.HeardHosts/maxReaders)
	if r.nextTurn.IsZero() || now.Sub(r.nextTurn) > period {
		r.nextTurn = now.Add(time.Duration(r.settings.ReadDraw * float64(period)))
	}
	if now.Before(r.nextTurn) {
		return false
	}
	r.nextTurn = r.nextTurn.Add(period)
	return true
}

// readersAt returns how many hosts read the store if the last confirmation has a stale age.
func (r *Replica) readersAt(age time.Duration) int {
	readers := staleReaders
	for over := age - r.staleAge(); over > r.fraction(readersStep) && readers < maxReaders; over -= r.fraction(readersStep) {
		readers *= 2
	}
	return readers
}

// staleAge returns the age of the last confirmation from which it is stale.
func (r *Replica) staleAge() time.Duration { return r.fraction(staleFraction) }

// fraction returns a fraction of the bound on changes.
func (r *Replica) fraction(f float64) time.Duration {
	return time.Duration(f * float64(r.settings.ChangeBound))
}
