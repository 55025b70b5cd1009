// Package ownership decides which hosts own a target and how large a share of
// the target's limits each owner holds.
//
// Owners are ordinals of the target's place, not live hosts. An ordinal is set in
// a host's own settings, and the number of ordinals in the configuration, so that
// every host evaluates the same rule without coordination and the shares add up
// to the target's limit whichever hosts are considered alive. If owners were
// derived from a list of live hosts, both halves of a partition could claim a
// target and together exceed its limit.
//
// The package does not decide when an owner may use its share; see package
// membership. It holds no state, and its functions are safe for concurrent use.
package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PerTarget is the number of owners of a target. With one owner a target would be
// unusable while that host is replaced; with three, one owner of a target with
// two slots would have no slot.
const PerTarget = 2

// Owners returns the k ordinals that own a target, by rendezvous hashing over the
// ordinals 0 to ordinals-1. The index in the result is the rank. The result is
// shorter than k if the place has fewer ordinals.
func Owners(targetID string, ordinals, k int) []int {
	hash := xxhash.Sum64String(targetID)
	owners := make([]int, 0, k+1)
	scores := make([]uint64, 0, k+1)
	for ordinal := range ordinals {
		// Ordinals are visited in ascending order, so that of two equal scores the
		// lower ordinal has the lower rank.
		score := rendezvousScore(hash, uint64(ordinal))
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

// Rank returns the rank of an ordinal among a target's owners, or -1 if the
// ordinal is not an owner.
func Rank(owners []int, ordinal int) int { return slices.Index(owners, ordinal) }

// Share returns the part of limit that the owner of the given rank of k owners
// holds. The shares of the ranks 0 to k-1 add up to exactly limit; other ranks
// have a share of 0.
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

// rendezvousScore returns the score of an ordinal for a target hash: the
// finaliser of SplitMix64, which changes half of the output bits on average for
// each changed input bit.
func rendezvousScore(hash, ordinal uint64) uint64 {
	z := hash + (ordinal+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
