package hedge

import "time"

// FanOut is the progress of a fan-out whose sub-requests are hedged.
type FanOut struct {
	Shards     int
	Unanswered int
	SinceLast  time.Duration // time since the latest answer of a shard; since the first send if there is none
	Expected   time.Duration // expected service time of a sub-request
}

// minGatedShards is the number of shards below which each shard is hedged on its own.
const minGatedShards = 4

// Holds reports whether the hedges of a fan-out have to wait. Hedges are for stragglers:
// few sub-requests that are slow while the others have been answered. While answers keep
// arriving and most of them are still to come, the cause is common to all, such as a lack
// of processor time on this host, connections being opened, or a burst that fills all
// targets. Further sends only add to it. If no answer arrives for the expected service
// time, the targets themselves may be silent, and hedges are sent.
//
// It answers two loads: a host with little processor time and many shards, and a burst
// over the capacity of the shards.
func (f FanOut) Holds() bool {
	return f.Shards >= minGatedShards && 2*f.Unanswered > f.Shards && f.SinceLast < f.Expected
}
