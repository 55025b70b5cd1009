package coverage_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
)

var _ = Describe("TrueCoverage: Merger", func() {
	// Guards against an answer that mixes two snapshots.
	It("refuses a part of another index version and stays unchanged", func() {
		m := coverage.NewMerger(7)
		err := m.Add(coverage.Part{Version: 8, Covered: []coverage.Covered{{Range: keyspace.Full()}}})
		Expect(err).To(MatchError(&coverage.VersionError{Want: 7, Got: 8}))
		Expect(m.Coverage()).To(BeZero())
	})

	// Guards against over-reported coverage and duplicate records when shards are
	// split or merged during the query, so that the ranges of answers overlap.
	It("equals a naive search of the union for any overlapping ranges", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const step = keyspace.Size / 16
			var records []coverage.Record
			for i := range uint64(64) {
				records = append(records, coverage.Record{ID: string(rune('A' + i)), Key: i * (keyspace.Size / 64)})
			}
			m := coverage.NewMerger(1)
			covered := map[uint64]bool{} // sixteenths of the key space
			for range rapid.IntRange(0, 6).Draw(t, "parts") {
				from := rapid.Uint64Range(0, 15).Draw(t, "from")
				to := rapid.Uint64Range(from+1, 16).Draw(t, "to")
				part := coverage.Part{Version: 1, Covered: []coverage.Covered{{Range: keyspace.Range{From: from * step, To: to * step}}}}
				for _, r := range records {
					if part.Covered[0].Contains(r.Key) {
						part.Records = append(part.Records, r)
					}
				}
				for s := from; s < to; s++ {
					covered[s] = true
				}
				if err := m.Add(part); err != nil {
					t.Fatal(err)
				}
			}
			want := []coverage.Record{}
			for _, r := range records {
				if covered[r.Key/step] {
					want = append(want, r)
				}
			}
			got := m.Records(0)
			if len(got) != len(want) {
				t.Fatalf("%d records, want %d", len(got), len(want))
			}
			for i := range got {
				if got[i] != want[i] {
					t.Fatalf("record %d is %v, want %v", i, got[i], want[i])
				}
			}
			if m.Coverage() != float64(len(covered))/16 {
				t.Fatalf("coverage %v, want %d sixteenths", m.Coverage(), len(covered))
			}
		})
	})

	// Guards against records lost between an answer that is truncated at its limit and
	// an overlapping one, for any ranges in any order.
	It("equals a naive search of the union with a record limit", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const step = keyspace.Size / 16
			limit := rapid.IntRange(1, 12).Draw(t, "limit")
			records := make([]coverage.Record, 96)
			for i := range records {
				records[i] = coverage.Record{ID: fmt.Sprintf("r%03d", i), Key: rapid.Uint64Range(0, keyspace.Size-1).Draw(t, "key")}
			}
			m := coverage.NewMerger(1)
			var union keyspace.Set
			for range rapid.IntRange(1, 8).Draw(t, "parts") {
				from := rapid.Uint64Range(0, 15).Draw(t, "from")
				to := rapid.Uint64Range(from+1, 16).Draw(t, "to")
				r := keyspace.Range{From: from * step, To: to * step}
				union.Add(r)
				part := coverage.Part{Version: 1, Limit: limit, Covered: []coverage.Covered{{Range: r}}}
				part.Records = first(records, limit, r.Contains)
				if err := m.Add(part); err != nil {
					t.Fatal(err)
				}
			}
			if got, want := m.Records(limit), first(records, limit, union.Contains); !slices.Equal(got, want) {
				t.Fatalf("records %v, want %v", got, want)
			}
			if got := m.Coverage(); got != float64(union.Len())/float64(keyspace.Size) {
				t.Fatalf("coverage %v, want %d keys", got, union.Len())
			}
		})
	})

	// Guards against coverage reported for a range of which records are missing.
	It("refuses a truncated part with records outside its ranges", func() {
		m := coverage.NewMerger(1)
		err := m.Add(coverage.Part{
			Version: 1, Limit: 2, Covered: []coverage.Covered{{Range: keyspace.Range{From: 0, To: 10}}},
			Records: []coverage.Record{{ID: "a", Key: 5}, {ID: "b", Key: 50}},
		})
		Expect(err).To(MatchError(&coverage.TruncatedError{Kept: 1, Limit: 2}))
		Expect(m.Coverage()).To(BeZero())
	})

	// Guards against a gap within the records of an answer when one part is truncated
	// at a lower limit than the query's.
	It("returns no more records than the smallest limit of a truncated part", func() {
		m := coverage.NewMerger(1)
		for from, limit := range map[uint64]int{0: 1, 10: 3} {
			part := coverage.Part{Version: 1, Limit: limit, Covered: []coverage.Covered{{Range: keyspace.Range{From: from, To: from + 10}}}}
			for i := range limit {
				part.Records = append(part.Records, coverage.Record{ID: fmt.Sprint(i, from), Key: from})
			}
			Expect(m.Add(part)).To(Succeed())
		}
		Expect(m.Records(3)).To(HaveLen(1))
	})

	// Guards against over-reported coverage by either measure, and against record
	// counts that are used although one of them is unknown.
	It("uses the fraction of records only if all counts are known and it is below that of keys", func() {
		const half = keyspace.Size / 2
		low, high := keyspace.Range{From: 0, To: half}, keyspace.Range{From: half, To: keyspace.Size}
		coverageOf := func(have, missing uint64) float64 {
			m := coverage.NewMerger(1)
			Expect(m.Add(coverage.Part{Version: 1, Covered: []coverage.Covered{{Range: low, Records: have}}})).To(Succeed())
			m.ExpectRecords(coverage.Covered{Range: high, Records: missing})
			return m.Coverage()
		}
		Expect(coverageOf(25, 75)).To(Equal(0.25))
		Expect(coverageOf(75, 25)).To(Equal(0.5))
		Expect(coverageOf(0, 75)).To(Equal(0.5))
		Expect(coverageOf(25, 0)).To(Equal(0.5))
	})
})

// first returns up to limit records with a wanted key, in order of identifier.
func first(records []coverage.Record, limit int, wanted func(uint64) bool) []coverage.Record {
	found := []coverage.Record{}
	for _, r := range records {
		if wanted(r.Key) && len(found) < limit {
			found = append(found, r)
		}
	}
	return found
}
