package coverage

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
)

// Record is one record of an answer.
type Record struct {
	ID   string `json:"id" cbor:"1,keyasint"`
	Key  uint64 `json:"key" cbor:"2,keyasint"`
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
}

// VersionError reports a part from another index version than the query's.
type VersionError struct{ Want, Got uint64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("answer is from index version %d, the query uses version %d", e.Got, e.Want)
}

// Merger accumulates the parts of one query.
type Merger struct {
	version uint64
	covered keyspace.Set
	records []Record
	dropped int
}

// NewMerger returns a merger for one index version. Version 0 adopts the
// version of the first part that is added.
func NewMerger(version uint64) *Merger { return &Merger{version: version} }

// Version returns the index version of the answer; 0 before one is known.
func (m *Merger) Version() uint64 { return m.version }

// Add merges a part. It returns a *VersionError and changes nothing if the
// part is from another index version.
func (m *Merger) Add(p Part) error {
	if m.version == 0 {
		m.version = p.Version
	}
	if p.Version != m.version {
		return &VersionError{Want: m.version, Got: p.Version}
	}
	var fresh keyspace.Set
	for _, c := range p.Covered {
		for _, r := range m.covered.Minus(c.Range) {
			fresh.Add(r)
		}
	}
	for _, rec := range p.Records {
		// Records outside the stated ranges are dropped as well: counting
		// them would return a record twice when the right shard answers.
		if !fresh.Contains(rec.Key) {
			m.dropped++
			continue
		}
		m.records = append(m.records, rec)
	}
	for _, r := range fresh.Ranges() {
		m.covered.Add(r)
	}
	return nil
}

// Coverage returns the covered fraction of the key space, 0 to 1.
func (m *Merger) Coverage() float64 {
	return float64(m.covered.Len()) / float64(keyspace.Size)
}

// Full reports whether the whole key space is covered.
func (m *Merger) Full() bool { return m.covered.Len() == keyspace.Size }

// Covers reports whether the whole range is covered.
func (m *Merger) Covers(r keyspace.Range) bool { return len(m.covered.Minus(r)) == 0 }

// Dropped returns the number of records dropped as duplicates or as lying
// outside the ranges their part stated.
func (m *Merger) Dropped() int { return m.dropped }

// Records returns the merged records ordered by identifier, at most limit of
// them; a limit of 0 returns all.
func (m *Merger) Records(limit int) []Record {
	slices.SortFunc(m.records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	if limit > 0 && len(m.records) > limit {
		return m.records[:limit]
	}
	return m.records
}
