package ownership_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/ownership"
)

var _ = Describe("Share", func() {
	// Guards against owners that together exceed a target's limit or leave a part
	// of it unused.
	It("adds up to the limit for every limit and number of owners", func() {
		for limit := range 200 {
			for k := 1; k <= 8; k++ {
				sum := 0
				for rank := -1; rank <= k; rank++ {
					sum += ownership.Share(limit, rank, k)
				}
				Expect(sum).To(Equal(limit))
			}
		}
	})
})

var _ = Describe("Owners", func() {
	// Guards against a place in which a few hosts own most of the targets, and
	// against one ordinal that holds both shares of a target.
	It("spreads targets evenly and never names an owner twice", func() {
		const ordinals, targets = 8, 4000
		owned := make([]int, ordinals)
		for i := range targets {
			owners := ownership.Owners(fmt.Sprintf("t%d", i), ordinals, ownership.PerTarget)
			Expect(owners).To(HaveLen(2))
			Expect(owners[0]).NotTo(Equal(owners[1]))
			for _, o := range owners {
				owned[o]++
			}
		}
		for _, n := range owned {
			Expect(n).To(BeNumerically("~", targets*2/ordinals, targets*2/ordinals/8))
		}
	})

	// Guards against an owner that does not exist in a place with a single ordinal.
	It("names fewer owners in a place with fewer ordinals", func() {
		Expect(ownership.Owners("t", 1, ownership.PerTarget)).To(Equal([]int{0}))
	})
})
