package coverage_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
)

var _ = Describe("Merger", func() {
	// Guards against mixing two snapshots in one answer.
	It("refuses a part of another version and keeps its state", func() {
		m := coverage.NewMerger(7)
		err := m.Add(coverage.Part{Version: 8, Covered: []coverage.Covered{{Range: keyspace.Full()}}})
		Expect(err).To(MatchError(&coverage.VersionError{Want: 7, Got: 8}))
		Expect(m.Coverage()).To(BeZero())
	})

	// Guards against over-reported coverage and records that appear twice when
	// shards are split or merged in mid-query: whatever overlapping ranges
	// answer, the result is the naive search of their union.
	It("equals a naive union for any overlapping ranges", func() {
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
})
