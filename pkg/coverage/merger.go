package coverage

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
)

// Record is one record of an answer.
type Record struct {
	ID   string `json:"id" cbor:"1,keyasint"`  // unique in its service
	Key  uint64 `json:"key" cbor:"2,keyasint"` // keyspace.KeyOf(ID)
	Text string `json:"text" cbor:"3,keyasint"`
}

// Covered is a key range that a target searched completely.
type Covered struct {
	keyspace.Range
	Epoch   uint64 `json:"epoch" cbor:"3,keyasint"`             // partition epoch of the range
	Records uint64 `json:"records,omitempty" cbor:"4,keyasint"` // records held in the range; 0 if not stated
}

// Part is the answer of one target.
type Part struct {
	Version uint64 // index version it was computed from
	Covered []Covered
	Records []Record
	// Limit is the number of records that the target was asked for, in order
	// of identifier; 0 for all. A part with that many records may be cut.
	Limit int
}

// VersionError reports a part from another index version than the query's.
type VersionError struct{ Want, Got uint64 }

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("answer is from index version %d, the query uses version %d", e.Got, e.Want)
}

// TruncatedError reports a part that was cut at its limit but holds fewer records of
// its own ranges, so that records of these ranges are missing from it.
type TruncatedError struct{ Kept, Limit int }

// Error names the limit and the records that are left.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("answer is cut at %d records, of which only %d lie in the ranges it states", e.Limit, e.Kept)
}

// Merger accumulates the parts of one query.
type Merger struct {
	version uint64
	covered keyspace.Set
	length  uint64 // keys covered
	weight  weight
	records []Record
	sorted  int // records up to here are in order and distinct
	cut     int // smallest limit of a part that may be cut; 0 if none is
	limit   int // largest limit of any part
	all     bool
	dropped int
}

// NewMerger returns a merger for one index version. Version 0 adopts the
// version of the first part that is added.
func NewMerger(version uint64) *Merger { return &Merger{version: version} }

// Version returns the index version of the answer; 0 before one is known.
func (m *Merger) Version() uint64 { return m.version }

// Add merges a part. It returns a *VersionError or a *TruncatedError and changes
// nothing if the part cannot be merged.
//
// A part that overlaps earlier ones is kept whole and its duplicates are
// removed by identifier. Dropping its records in the overlap by range instead
// would lose records when the part was cut: the target spent its limit on the
// overlap and left out later records of the keys that only it covers. With
// every part holding the first records of its ranges, the first records of the
// union are among them.
func (m *Merger) Add(p Part) error {
	version := m.version
	if version == 0 {
		version = p.Version
	}
	if p.Version != version {
		return &VersionError{Want: version, Got: p.Version}
	}
	kept := make([]Record, 0, len(p.Records))
	for _, rec := range p.Records {
		// Records outside the stated ranges are dropped: the shard that holds
		// them answers for them.
		if contains(p.Covered, rec.Key) {
			kept = append(kept, rec)
		}
	}
	cut := p.Limit > 0 && len(p.Records) >= p.Limit
	if cut && len(kept) < p.Limit {
		return &TruncatedError{Kept: len(kept), Limit: p.Limit}
	}
	if cut && (m.cut == 0 || p.Limit < m.cut) {
		m.cut = p.Limit
	}
	m.version = version
	m.limit = max(m.limit, p.Limit)
	m.all = m.all || p.Limit == 0
	m.dropped += len(p.Records) - len(kept)
	m.records = append(m.records, kept...)
	m.compact()
	m.cover(p.Covered)
	return nil
}

func contains(covered []Covered, key uint64) bool {
	for _, c := range covered {
		if c.Contains(key) {
			return true
		}
	}
	return false
}

// cover adds ranges to the union.
func (m *Merger) cover(covered []Covered) {
	for _, c := range covered {
		if !c.Valid() {
			continue // keys outside the key space would count as covered
		}
		fresh := m.covered.Uncovered(c.Range)
		for _, r := range fresh {
			m.length += r.Len()
		}
		m.weight.add(c, len(fresh) == 1 && fresh[0] == c.Range)
		m.covered.Add(c.Range)
	}
}

// compact bounds the records held to a few times the limit, so that 1,300
// parts do not keep 1,300 times the limit.
func (m *Merger) compact() {
	if m.all || m.limit == 0 || len(m.records)-m.sorted < 4*m.limit {
		return
	}
	m.sort()
	m.records = m.records[:min(len(m.records), m.limit)]
	m.sorted = len(m.records)
}

// sort orders the records and removes duplicates.
func (m *Merger) sort() {
	if m.sorted == len(m.records) {
		return
	}
	slices.SortFunc(m.records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	before := len(m.records)
	m.records = slices.CompactFunc(m.records, func(a, b Record) bool { return a.ID == b.ID })
	m.dropped += before - len(m.records)
	m.sorted = len(m.records)
}

// Coverage returns the covered fraction of the key space, 0 to 1. Where the
// record counts of all covered ranges and of all missing ones (Expect) are
// known it returns the fraction of records instead if that is lower, so that
// it is over-reported by neither measure.
func (m *Merger) Coverage() float64 {
	if m.Full() {
		return 1
	}
	keys := float64(m.length) / float64(keyspace.Size)
	if records, ok := m.weight.fraction(&m.covered, keyspace.Size-m.length); ok {
		return min(keys, records)
	}
	return keys
}

// ExpectRecords states the number of records in a range, from an earlier answer of the
// same index version, in case the range stays without an answer.
func (m *Merger) ExpectRecords(c Covered) { m.weight.expect(c) }

// Full reports whether the whole key space is covered.
func (m *Merger) Full() bool { return m.length == keyspace.Size }

// Covers reports whether the whole range is covered.
func (m *Merger) Covers(r keyspace.Range) bool { return len(m.covered.Uncovered(r)) == 0 }

// Missing returns the parts of a range that are not covered.
func (m *Merger) Missing(r keyspace.Range) []keyspace.Range { return m.covered.Uncovered(r) }

// Dropped returns the number of records dropped so far as duplicates or as
// lying outside the ranges their part stated.
func (m *Merger) Dropped() int { return m.dropped }

// Records returns the merged records ordered by identifier, at most limit of
// them; a limit of 0 returns all. It returns no more than the smallest limit
// at which a part was cut, because beyond that records may be missing.
func (m *Merger) Records(limit int) []Record {
	m.sort()
	if m.cut > 0 && (limit == 0 || m.cut < limit) {
		limit = m.cut
	}
	if limit > 0 && len(m.records) > limit {
		return m.records[:limit]
	}
	return m.records
}
