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
	"cmp"
	"slices"
	"strconv"

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
	type scored struct {
		ordinal int
		score   uint64
	}
	all := make([]scored, ordinals)
	for i := range all {
		all[i] = scored{i, score(targetID, i)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ordinal, b.ordinal))
	})
	owners := make([]int, 0, k)
	for _, s := range all[:min(k, len(all))] {
		owners = append(owners, s.ordinal)
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

func score(targetID string, ordinal int) uint64 {
	return xxhash.Sum64String(targetID + "/" + strconv.Itoa(ordinal))
}
