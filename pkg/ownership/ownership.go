// Package ownership decides which hosts own a target and how large a share of
// its limits each owner holds.
//
// Owners are ordinals of the target's place, not live hosts. An ordinal is set
// in a host's own settings and the number of ordinals in the configuration, so
// every host evaluates the same rule alone and the shares add up to the
// target's limit whatever hosts believe about each other. Deriving owners from
// a list of live hosts would let two halves of a partition each claim a target
// and together exceed its limit.
//
// The package holds no state.
package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PerTarget is the number of owners of a target. One owner would make a target
// unusable while that host is replaced; three would leave targets with two
// slots an owner without a slot.
const PerTarget = 2

// Owners returns the ordinals that own a target, highest rank first, by
// rendezvous hashing over the ordinals 0 to ordinals-1. It returns fewer than
// k ordinals if the place has fewer.
func Owners(targetID string, ordinals, k int) []int {
	hash := xxhash.Sum64String(targetID)
	owners := make([]int, 0, k+1)
	scores := make([]uint64, 0, k+1)
	for ordinal := range ordinals {
		// Ordinals come in ascending order, so that of equal scores the lower
		// ordinal stays first.
		score := mix(hash, uint64(ordinal))
		at := len(scores)
		for at > 0 && scores[at-1] < score {
			at--
		}
		if at >= k {
			continue
		}
		owners, scores = slices.Insert(owners, at, ordinal), slices.Insert(scores, at, score)
		owners, scores = owners[:min(k, len(owners))], scores[:min(k, len(scores))]
	}
	return owners
}

// Rank returns the rank of an ordinal among a target's owners, or -1.
func Rank(owners []int, ordinal int) int { return slices.Index(owners, ordinal) }

// Share returns the part of limit that the owner of the given rank holds. The
// shares of all k ranks add up to limit exactly.
func Share(limit, rank, k int) int {
	if rank < 0 || rank >= k {
		return 0
	}
	share := limit / k
	if rank < limit%k {
		share++
	}
	return share
}

// mix scores an ordinal for a target: the finaliser of SplitMix64 over both,
// which changes half of the bits for each changed bit of input.
func mix(hash, ordinal uint64) uint64 {
	z := hash + (ordinal+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
