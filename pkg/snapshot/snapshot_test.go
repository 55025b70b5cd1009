package snapshot_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/snapshot"
)

var _ = Describe("Pick", func() {
	groups := [][]string{{"a0", "a1"}, {"b0", "b1"}}

	// Guards against a newer version lowering coverage while an older one is
	// still served by every group.
	It("prefers the version that every group serves", func() {
		v := snapshot.NewVersions()
		v.Observe("a0", []uint64{6, 7})
		v.Observe("a1", []uint64{6, 7})
		v.Observe("b0", []uint64{5, 6})
		v.Observe("b1", []uint64{5, 6})
		Expect(v.Pick(groups)).To(Equal(uint64(6)))
	})

	// Guards against choosing a version that leaves no replica to hedge on.
	It("prefers a version that two replicas of each group serve", func() {
		v := snapshot.NewVersions()
		v.Observe("a0", []uint64{6, 7})
		v.Observe("a1", []uint64{5, 6})
		v.Observe("b0", []uint64{6, 7})
		v.Observe("b1", []uint64{6, 7})
		Expect(v.Pick(groups)).To(Equal(uint64(6)))
	})

	It("takes the highest of equal versions, and 0 if none is known", func() {
		v := snapshot.NewVersions()
		Expect(v.Pick(groups)).To(BeZero())
		for _, t := range []string{"a0", "a1", "b0", "b1"} {
			v.Observe(t, []uint64{6, 7})
		}
		Expect(v.Pick(groups)).To(Equal(uint64(7)))
	})
})
