// Package keyspace defines the space of record keys, half-open ranges in it and sets of
// such ranges.
//
// Keys are 32-bit hashes of record identifiers, so that a key is an exact JSON number
// and every range bound, the exclusive upper one included, fits an unsigned 64-bit
// integer. The package does not decide which group holds a range. It holds no state; a
// Set is not safe for concurrent use.
package keyspace

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Size is the number of keys. Keys run from 0 to Size-1.
const Size uint64 = 1 << 32

// KeyOf returns the key of a record identifier.
func KeyOf(id string) uint64 { return xxhash.Sum64String(id) % Size }

// Range is the half-open interval [From, To) of keys.
type Range struct {
	From uint64 `json:"from" cbor:"1,keyasint"`
	To   uint64 `json:"to" cbor:"2,keyasint"`
}

// Full returns the range of the whole key space.
func Full() Range { return Range{0, Size} }

// Len returns the number of keys in the range, 0 if the range is empty.
func (r Range) Len() uint64 {
	if r.To <= r.From {
		return 0
	}
	return r.To - r.From
}

// Contains reports whether key lies in the range.
func (r Range) Contains(key uint64) bool { return key >= r.From && key < r.To }

// Valid reports whether the range is non-empty and within the key space.
func (r Range) Valid() bool { return r.From < r.To && r.To <= Size }

// String formats the range as [from,to) for messages.
func (r Range) String() string { return fmt.Sprintf("[%d,%d)", r.From, r.To) }

// Split divides the key space into n contiguous ranges of nearly equal length.
func Split(n int) []Range {
	ranges := make([]Range, n)
	for i := range ranges {
		ranges[i] = Range{Size * uint64(i) / uint64(n), Size * uint64(i+1) / uint64(n)}
	}
	return ranges
}

// Set is a set of keys held as sorted, disjoint, non-adjacent ranges. The zero
// value is empty. It is not safe for concurrent use.
type Set struct{ ranges []Range }

// Add adds the keys of r to the set.
func (s *Set) Add(r Range) {
	if r.Len() == 0 {
		return
	}
	first := 0
	for first < len(s.ranges) && s.ranges[first].To < r.From {
		first++
	}
	last := first
	for last < len(s.ranges) && s.ranges[last].From <= r.To {
		r.From = min(r.From, s.ranges[last].From)
		r.To = max(r.To, s.ranges[last].To)
		last++
	}
	s.ranges = slices.Replace(s.ranges, first, last, r)
}

// Contains reports whether key is in the set.
func (s *Set) Contains(key uint64) bool {
	for _, r := range s.ranges {
		if r.Contains(key) {
			return true
		}
	}
	return false
}

// Uncovered returns the subranges of r that are not in the set, in order.
func (s *Set) Uncovered(r Range) []Range {
	var uncovered []Range
	from := r.From
	for _, covered := range s.ranges {
		if covered.To <= from || covered.From >= r.To {
			continue
		}
		if covered.From > from {
			uncovered = append(uncovered, Range{from, covered.From})
		}
		from = max(from, covered.To)
	}
	if from < r.To {
		uncovered = append(uncovered, Range{from, r.To})
	}
	return uncovered
}

// Len returns the number of keys in the set.
func (s *Set) Len() uint64 {
	var n uint64
	for _, r := range s.ranges {
		n += r.Len()
	}
	return n
}

// Ranges returns a copy of the set's ranges in order.
func (s *Set) Ranges() []Range { return slices.Clone(s.ranges) }
