package snapshot_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/snapshot"
)

var now = time.Unix(1000, 0)

// OneSnapshot is the name of an invariant in docs/design.md and docs/invariants.md.
var _ = Describe("OneSnapshot: Pick", func() {
	groups := [][]string{{"a0", "a1"}, {"b0", "b1"}}
	observe := func(v *snapshot.Versions, reported map[string][]uint64) {
		for t, versions := range reported {
			v.Observe(now, t, "", versions)
		}
	}

	// Guards against a newer version lowering coverage while an older one is
	// still served by every group.
	It("prefers the version that every group serves", func() {
		v := snapshot.NewVersions()
		s := v.CountVersions(groups)
		observe(v, map[string][]uint64{"a0": {6, 7}, "a1": {6, 7}, "b0": {5, 6}, "b1": {5, 6}})
		Expect(s.Pick()).To(Equal(uint64(6)))
	})

	// Guards against choosing a version that leaves no replica for a hedge.
	It("prefers a version that two replicas of each group serve", func() {
		v := snapshot.NewVersions()
		s := v.CountVersions(groups)
		observe(v, map[string][]uint64{"a0": {6, 7}, "a1": {5, 6}, "b0": {6, 7}, "b1": {6, 7}})
		Expect(s.Pick()).To(Equal(uint64(6)))
	})

	It("takes the highest of equal versions, and 0 if none is known", func() {
		v := snapshot.NewVersions()
		s := v.CountVersions(groups)
		Expect(s.Pick()).To(BeZero())
		observe(v, map[string][]uint64{"a0": {6, 7}, "a1": {6, 7}, "b0": {6, 7}, "b1": {6, 7}})
		Expect(s.Pick()).To(Equal(uint64(7)))
	})

	// Guards against choosing a version that has just begun to roll out, because
	// targets that have not reported might serve it.
	It("prefers the version that targets of the most groups reported", func() {
		v := snapshot.NewVersions()
		s := v.CountVersions([][]string{{"a0", "a1", "a2"}, {"b0", "b1", "b2"}})
		observe(v, map[string][]uint64{"a0": {7, 8}, "b0": {6, 7}})
		Expect(s.Pick()).To(Equal(uint64(7)))
	})

	// Guards against a new version that puts the load of a large group on the first
	// few replicas that serve it.
	It("does not pick a new version before half of a group serves it", func() {
		v := snapshot.NewVersions()
		ids := []string{"a0", "a1", "a2", "a3", "a4", "a5"}
		s := v.CountVersions([][]string{ids})
		for i, id := range ids {
			v.Observe(now, id, "", []uint64{6, 7})
			if i < 2 {
				v.Observe(now, id, "", []uint64{7, 8})
			}
		}
		Expect(s.Pick()).To(Equal(uint64(7)))
		v.Observe(now, ids[2], "", []uint64{7, 8})
		Expect(s.Pick()).To(Equal(uint64(8)))
	})

	// Guards against old versions that exclude a target forever after it restarted, or
	// after it got no queries for a while.
	It("drops the versions of a target that restarted or has reported none since a time", func() {
		v := snapshot.NewVersions()
		Expect(v.Observe(now, "a0", "boot-1", []uint64{6, 7})).To(BeFalse())
		Expect(v.MayServe("a0", 8)).To(BeFalse())
		Expect(v.Observe(now, "a0", "boot-2", nil)).To(BeTrue())
		Expect(v.MayServe("a0", 8)).To(BeTrue())
		v.Observe(now, "a1", "boot-1", []uint64{6, 7})
		v.Expire(now.Add(time.Second))
		Expect(v.MayServe("a1", 8)).To(BeTrue())
	})

	// Guards against a query that finds its version no longer served and picks it
	// again, or an older one that targets without queries reported earlier.
	It("does not pick a version that was reported only before the invalidation", func() {
		v := snapshot.NewVersions()
		s := v.CountVersions(groups)
		observe(v, map[string][]uint64{"a0": {6, 7}, "a1": {6, 7}, "b0": {6, 7}, "b1": {4, 5}})
		later := now.Add(time.Second)
		v.Observe(later, "a0", "", []uint64{8, 9})
		v.Observe(later, "a1", "", []uint64{8, 9})
		s.Invalidate(later)
		// 8 rather than 9: targets that have not answered yet may serve 7 and 8.
		Expect(s.PickAfter(7)).To(Equal(uint64(8)))
		Expect(s.CoveredGroups(8)).To(Equal(2))
	})

	// Guards against incremental counts that differ from the table: after any reports
	// the choice must equal the one computed from the definition.
	It("equals the choice computed over all groups", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			v := snapshot.NewVersions()
			groups := [][]string{{"a0", "a1", "a2"}, {"b0", "b1"}, {"c0"}}
			old := v.CountVersions(groups[:2])
			s := v.CountVersions(groups)
			old.Close()
			table := map[string][]uint64{}
			ids := slices.Concat(groups...)
			for range rapid.IntRange(0, 40).Draw(t, "reports") {
				id := rapid.SampledFrom(ids).Draw(t, "target")
				if rapid.IntRange(0, 4).Draw(t, "forget") == 0 {
					v.Forget(id)
					delete(table, id)
					continue
				}
				oldest := rapid.Uint64Range(1, 4).Draw(t, "oldest")
				table[id] = []uint64{oldest, oldest + 1}
				v.Observe(now, id, "", table[id])
			}
			if got, want := s.Pick(), naivePick(groups, table); got != want {
				t.Fatalf("picked %d, want %d of %v", got, want, table)
			}
		})
	})
})

// naivePick computes the choice of Pick from its definition.
func naivePick(groups [][]string, table map[string][]uint64) (best uint64) {
	bestRank := []int{-1}
	for version := uint64(9); version > 0; version-- {
		covered, redundant, reporting := 0, 0, 0
		for _, g := range groups {
			serving, reported := 0, false
			for _, id := range g {
				has := slices.Contains(table[id], version)
				reported = reported || has
				if has || table[id] == nil {
					serving++
				}
			}
			covered += count(serving > 0)
			redundant += count(serving >= max(min(2, len(g)), (len(g)+1)/2))
			reporting += count(reported)
		}
		rank := []int{covered, redundant, reporting}
		if reporting > 0 && slices.Compare(rank, bestRank) > 0 {
			best, bestRank = version, rank
		}
	}
	return best
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// BenchmarkPick measures one Pick after one target of the fleet reported other
// versions, in services of 10 and 1,300 groups.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := snapshot.NewVersions()
			groups := make([][]string, n)
			for g := range groups {
				for r := range 3 {
					groups[g] = append(groups[g], fmt.Sprintf("g%d-r%d", g, r))
					v.Observe(now, groups[g][r], "", []uint64{6, 7})
				}
			}
			s := v.CountVersions(groups)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				v.Observe(now, groups[i%n][i%3], "", []uint64{6 + uint64(i%2), 7 + uint64(i%2)})
				s.Pick()
			}
		})
	}
}
