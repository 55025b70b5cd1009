package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShareAssignment tells since when a seat owns a target at its rank.
type ShareAssignment struct {
	// Since is when the configuration that gave the seat its rank came into
	// force here; zero if no other seat can still be using the share.
	Since time.Time
	// HistoryHash is that of the configuration that added the target; 0 if another
	// seat may have owned the target before.
	HistoryHash uint64
}

// ConfigHistoryHash returns the trail of a configuration: a hash of it and of the one in
// force here before. It is 0 unless there was one for TakeoverWait, so that a
// host with a trail has no requests left that began under an earlier one.
func ConfigHistoryHash(before time.Duration, previous, current uint64) uint64 {
	if previous == 0 || before < TakeoverWait {
		return 0
	}
	return xxhash.Sum64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, previous), current))
}

// NewShareAssignment returns the tenure of a target that the configuration of a trail has
// given to this seat. added says that the one before did not name the target.
func NewShareAssignment(now time.Time, added bool, trail uint64) ShareAssignment {
	if !added {
		trail = 0
	}
	return ShareAssignment{now, trail}
}

// Continue returns the tenure when a next configuration leaves the target with
// the seat. agreed is View.Agreed for the trail before the change.
func (t ShareAssignment) Continue(agreed bool) ShareAssignment {
	switch {
	case t.HistoryHash == 0:
		return t
	case agreed:
		return ShareAssignment{}
	default:
		return ShareAssignment{Since: t.Since}
	}
}

// SetHistoryHash tells the view the trail of the configuration in force and how many
// seats it has.
func (v *View) SetHistoryHash(trail uint64, seats int) { v.trail, v.allSeats = trail, seats }

// Agreed reports whether every other host has the configuration of a trail in
// force and had the same one before, for TakeoverWait. Then nobody has used a
// target for that time that the one before did not name. Only the contacts
// answer, so there is no agreement in a large fleet.
func (v *View) Agreed(trail uint64) bool {
	if trail == 0 || trail != v.trail || !v.named || len(v.listed) < v.allSeats || len(v.peers) >= FullMeshHosts {
		return false
	}
	for _, p := range v.peers {
		if v.trails[p.Name] != trail {
			return false
		}
	}
	return true
}

// learnTrail takes the trail of a peer. Only those of small fleets are kept.
func (v *View) learnTrail(name string, trail uint64) {
	if _, known := v.trails[name]; known || len(v.trails) < FullMeshHosts {
		v.trails[name] = trail
	}
}

// MayUseShare reports whether this process may use its share of a target.
// Unless this is the seat's first process, an earlier incarnation may still be
// using it for TakeoverWait, and unless all hosts agree on a target that is new,
// an earlier owner for PropagationLimit more.
//
// That the configuration before did not name the target here is not enough: two
// documents of one version may give it to different seats, and a host that is
// late may still apply a version from before the target was removed.
func (v *View) MayUseShare(now time.Time, t ShareAssignment) bool {
	if v.superseded || v.waits(now) {
		return false
	}
	return t.Since.IsZero() || now.Sub(t.Since) >= TakeoverWait+PropagationLimit || v.Agreed(t.HistoryHash)
}
