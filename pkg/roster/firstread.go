package roster

import "time"

const (
	// FirstReadDelay is how long a host that has just started waits for a peer that has
	// the published state before it reads the store: a round trip between places and some
	// CPU time.
	FirstReadDelay = 25 * time.Millisecond
	// readSpacing is the time between two reads of the whole state at which the store's
	// link carries them, with some hundreds of targets.
	readSpacing = 1500 * time.Microsecond
	// maxReadSpread bounds the time over which the hosts spread their first reads.
	maxReadSpread = 2 * time.Second
)

// FirstReadWait returns how long after its start a host without a state waits for a peer
// before it reads the store. If all hosts restart at once, none has the state; hundreds
// of reads of the whole state would hold each other up. So the seeds, which all others
// greet, read at once, and the others spread their reads over the time that the store
// needs for them: most pull the state from a peer before their turn. fleet is the largest
// number of hosts that this host or a peer has heard of, this one included, and draw a
// number in [0, 1) that the host draws once at its start. A host that hears no other reads
// at once: the seeds are down, or start later.
func FirstReadWait(seed bool, fleet int, draw float64) time.Duration {
	if seed {
		return 0
	}
	spread := min(maxReadSpread, time.Duration(max(0, fleet-1))*readSpacing)
	return FirstReadDelay + time.Duration(draw*float64(spread))
}

// HeardHosts returns the largest number of hosts, this one included, that this host or a
// peer in its roster knows of.
func (r *Roster) HeardHosts() int {
	most := r.Size()
	for _, h := range r.hosts {
		most = max(most, h.KnownHosts)
	}
	return most
}

// Size returns the number of hosts in the roster, silent ones and this one included. It is
// what a host tells others, rather than HeardHosts: the largest number that any host ever
// told would never be forgotten.
func (r *Roster) Size() int { return 1 + len(r.hosts) }

// staleStateWait is how long a host that has just started waits for the store or a peer with
// a confirmed state before it takes an old one. That may name targets that left and routes
// that were withdrawn; a read of the store usually takes less.
const staleStateWait = 300 * time.Millisecond

// TakesFirstState reports whether a host that started sinceStart ago and has no state takes
// one that the store confirmed age ago. Up to maxAge, the state of a host counts as current.
func TakesFirstState(sinceStart, age, maxAge time.Duration) bool {
	return age <= maxAge || sinceStart >= staleStateWait
}
