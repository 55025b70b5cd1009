package quota

import "time"

// memberRetention is how long a host that vanished without saying that it leaves counts as
// running: it may be cut off and grant as well. A host of the roster is forgotten earlier.
const memberRetention = 5 * time.Minute

// Fleet decides whether a host sees enough of the fleet to grant tokens.
type Fleet struct {
	self    string
	alive   int                  // as of the last call of Observe, this host included
	lowest  bool                 // whether the first name of all is among them
	members map[string]time.Time // last seen alive
}

// NewFleet returns the Fleet of a host that knows no others.
func NewFleet(self string) *Fleet {
	return &Fleet{self: self, alive: 1, lowest: true, members: map[string]time.Time{}}
}

// Observe records the names of the hosts that are alive now, with or without this host, and of
// those that have left in order.
func (f *Fleet) Observe(now time.Time, alive, left []string) {
	for _, name := range alive {
		f.members[name] = now
	}
	f.members[f.self] = now
	for _, name := range left {
		delete(f.members, name)
	}
	first, alive1 := "", 0
	for name, seen := range f.members {
		if now.Sub(seen) > memberRetention {
			delete(f.members, name)
			continue
		}
		if first == "" || name < first {
			first = name
		}
		if seen.Equal(now) {
			alive1++
		}
	}
	f.alive, f.lowest = alive1, f.members[first].Equal(now)
}

// Majority reports whether the hosts that are alive are more than half of those that may be
// running, or the half with the first name of all: of two sides of a partition, at most one
// grants. least is the smallest size of the fleet to assume.
func (f *Fleet) Majority(least int) bool {
	all := max(len(f.members), least)
	return 2*f.alive > all || 2*f.alive == all && f.lowest
}
