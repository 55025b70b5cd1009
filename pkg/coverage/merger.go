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
	Records uint64 `json:"records,omitempty" cbor:"4,keyasint"` // records that the target holds in the range; 0 if not stated
}

// Part is the answer of one target.
type Part struct {
	Version uint64 // index version that it was computed from
	Covered []Covered
	Records []Record
	// Limit is the number of records that the target was asked for, in order of
	// identifier; 0 for all. A part with that many records may be truncated.
	Limit int
}

// VersionError reports a part from an index version other than the query's.
type VersionError struct{ Want, Got uint64 }

// Error returns a message with both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("answer is from index version %d, the query uses version %d", e.Got, e.Want)
}

// TruncatedError reports a part that was truncated at its limit although some of its
// records lie outside the ranges that it covers, so that it lacks records of these
// ranges. Kept is the number of records within the ranges.
type TruncatedError struct{ Kept, Limit int }

// Error returns a message with the limit and the number of records kept.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("answer is truncated at %d records, of which only %d lie in the ranges that it covers", e.Limit, e.Kept)
}

// Merger merges the parts of one query.
type Merger struct {
	version     uint64
	covered     keyspace.Set
	coveredKeys uint64 // number of keys covered
	counts      recordCounts
	records     []Record
	sorted      int  // number of leading records that are in order and distinct
	truncatedAt int  // smallest limit of a part that may be truncated; 0 if there is none
	limit       int  // largest limit of any part
	unlimited   bool // a part without a limit was added
	dropped     int
}

// NewMerger returns a merger for one index version. Version 0 stands for the
// version of the first part that is added.
func NewMerger(version uint64) *Merger { return &Merger{version: version} }

// Version returns the index version of the answer, or 0 before it is known.
func (m *Merger) Version() uint64 { return m.version }

// Add merges a part. It returns a *VersionError or a *TruncatedError and leaves the
// merger unchanged if the part cannot be merged.
//
// A part that overlaps earlier ones is kept whole, and duplicates are removed by
// identifier. Dropping its records in the overlap by range would lose records if the
// part is truncated: the target spent its limit on the overlap and left out later
// records of the keys that only this part covers. As every part holds the first
// records of its ranges, the first records of the union are among them.
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
		// Records outside the covered ranges are dropped: another shard answers
		// for them.
		if contains(p.Covered, rec.Key) {
			kept = append(kept, rec)
		}
	}
	truncated := p.Limit > 0 && len(p.Records) >= p.Limit
	if truncated && len(kept) < p.Limit {
		return &TruncatedError{Kept: len(kept), Limit: p.Limit}
	}
	if truncated && (m.truncatedAt == 0 || p.Limit < m.truncatedAt) {
		m.truncatedAt = p.Limit
	}
	m.version = version
	m.limit = max(m.limit, p.Limit)
	m.unlimited = m.unlimited || p.Limit == 0
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

// cover adds key ranges to the union and to the record counts.
func (m *Merger) cover(covered []Covered) {
	for _, c := range covered {
		if !c.Valid() {
			continue // keys outside the key space must not count as covered
		}
		uncovered := m.covered.Uncovered(c.Range)
		for _, r := range uncovered {
			m.coveredKeys += r.Len()
		}
		m.counts.add(c, len(uncovered) == 1 && uncovered[0] == c.Range)
		m.covered.Add(c.Range)
	}
}

// compact keeps the number of records at a few times the limit, so that a query with
// 1,300 parts does not hold 1,300 times the limit.
func (m *Merger) compact() {
	if m.unlimited || m.limit == 0 || len(m.records)-m.sorted < 4*m.limit {
		return
	}
	m.sort()
	m.records = m.records[:min(len(m.records), m.limit)]
	m.sorted = len(m.records)
}

// sort sorts the records by identifier and removes duplicates.
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

// Coverage returns the covered fraction of the key space, 0 to 1. If the record
// counts of all covered ranges and of all missing ones (ExpectRecords) are known, it
// returns the smaller of this fraction and the covered fraction of records, so that
// neither measure over-reports the coverage.
func (m *Merger) Coverage() float64 {
	if m.Full() {
		return 1
	}
	keys := float64(m.coveredKeys) / float64(keyspace.Size)
	if records, ok := m.counts.fraction(&m.covered, keyspace.Size-m.coveredKeys); ok {
		return min(keys, records)
	}
	return keys
}

// ExpectRecords sets the number of records in a range, as known from an earlier answer
// of the same index version. Coverage uses it if the range stays without an answer.
func (m *Merger) ExpectRecords(c Covered) { m.counts.expect(c) }

// Full reports whether the whole key space is covered.
func (m *Merger) Full() bool { return m.coveredKeys == keyspace.Size }

// Covers reports whether the whole range is covered.
func (m *Merger) Covers(r keyspace.Range) bool { return len(m.covered.Uncovered(r)) == 0 }

// Missing returns the subranges of a range that are not covered.
func (m *Merger) Missing(r keyspace.Range) []keyspace.Range { return m.covered.Uncovered(r) }

// Dropped returns the number of records dropped so far, because they were duplicates
// or outside the ranges that their part covers.
func (m *Merger) Dropped() int { return m.dropped }

// Records returns the merged records ordered by identifier, at most limit of them; a
// limit of 0 returns all. It returns no more than the smallest limit at which a part
// was truncated, because records may be missing beyond that.
func (m *Merger) Records(limit int) []Record {
	m.sort()
	if m.truncatedAt > 0 && (limit == 0 || m.truncatedAt < limit) {
		limit = m.truncatedAt
	}
	if limit > 0 && len(m.records) > limit {
		return m.records[:limit]
	}
	return m.records
}
