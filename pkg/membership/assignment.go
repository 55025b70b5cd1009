package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShareAssignment records since when an ordinal owns a target at its rank.
type ShareAssignment struct {
	// Since is when the configuration that gave the ordinal its rank came into
	// force here; zero if no other ordinal can still be using the share.
	Since time.Time
	// HistoryHash is the history hash of the configuration that added the target;
	// 0 if another ordinal may have owned the target before.
	HistoryHash uint64
}

// ConfigHistoryHash returns the history hash of a configuration: a hash of the
// digests of the configuration in force and of the previous one, which was in
// force for the time before. The hash is 0 if there was no previous configuration
// or if it was in force for less than TakeoverWait, so that a host with a history
// hash has no requests left that began under a configuration before these two.
func ConfigHistoryHash(before time.Duration, previous, current uint64) uint64 {
	if previous == 0 || before < TakeoverWait {
		return 0
	}
	return xxhash.Sum64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, previous), current))
}

// NewShareAssignment returns the assignment of a target that the configuration
// with the given history hash has given to this ordinal. added means that the
// previous configuration did not name the target.
func NewShareAssignment(now time.Time, added bool, historyHash uint64) ShareAssignment {
	if !added {
		historyHash = 0
	}
	return ShareAssignment{now, historyHash}
}

// Continue returns the assignment under a next configuration that leaves the
// target with the ordinal. agreed is View.Agreed for the history hash before the
// change.
func (a ShareAssignment) Continue(agreed bool) ShareAssignment {
	switch {
	case a.HistoryHash == 0:
		return a
	case agreed:
		return ShareAssignment{}
	default:
		return ShareAssignment{Since: a.Since}
	}
}

// SetHistoryHash sets the history hash of the configuration in force and the
// number of ordinals in that configuration.
func (v *View) SetHistoryHash(historyHash uint64, ordinals int) {
	v.historyHash, v.ordinalCount = historyHash, ordinals
}

// Agreed reports whether every other host has the configuration of a history hash
// in force and had the same previous one in force for TakeoverWait. Then no host
// has used, for that time, a target that the previous configuration did not name.
// Only contacts answer, so that a fleet of more than FullMeshHosts never agrees.
func (v *View) Agreed(historyHash uint64) bool {
	if historyHash == 0 || historyHash != v.historyHash || !v.selfListed || len(v.listedOrdinals) < v.ordinalCount || len(v.peers) >= FullMeshHosts {
		return false
	}
	for _, p := range v.peers {
		if v.historyHashes[p.Name] != historyHash {
			return false
		}
	}
	return true
}

// learnHistoryHash records the history hash of a peer, for at most FullMeshHosts
// peers.
func (v *View) learnHistoryHash(name string, historyHash uint64) {
	if _, known := v.historyHashes[name]; known || len(v.historyHashes) < FullMeshHosts {
		v.historyHashes[name] = historyHash
	}
}

// MayUseShare reports whether this process may use its share of a target. Another
// process of the ordinal may use the share until TakeoverWait after the start of
// this one, unless none exists or all have stopped. An earlier owner may use the
// share until TakeoverWait and PropagationLimit after the assignment, unless all
// hosts agree that the target is new.
//
// The absence of the target from this host's previous configuration is not
// enough: two documents of one version may give the target to different
// ordinals, and a host that lags may still apply a version from before the target
// was removed.
func (v *View) MayUseShare(now time.Time, a ShareAssignment) bool {
	if v.superseded || v.mustWait(now) {
		return false
	}
	return a.Since.IsZero() || now.Sub(a.Since) >= TakeoverWait+PropagationLimit || v.Agreed(a.HistoryHash)
}
