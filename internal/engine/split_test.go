package engine

import (
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("splitter", func() {
	share := func(s *splitter, weights []catalog.Weight, n int) float64 {
		first := 0
		for range n {
			if s.next(weights) == weights[0].Service {
				first++
			}
		}
		return float64(first) / float64(n)
	}

	// Guards against counts kept across a change of weights: after a change from 0.75 to
	// 0.25 a service got 0.05 of the requests until its old share was made up for.
	It("follows new weights from the first request after a change", func() {
		s := &splitter{}
		Expect(share(s, []catalog.Weight{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}, 400)).To(BeNumerically("~", 0.75, 0.01))
		Expect(share(s, []catalog.Weight{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}}, 100)).To(BeNumerically("~", 0.25, 0.02))
	})

	// Guards against requests sent to a service whose weight operators set to zero.
	It("never chooses a service with weight zero", func() {
		Expect(share(&splitter{}, []catalog.Weight{{Service: "a"}, {Service: "b", Weight: 1}}, 100)).To(BeZero())
	})
})
