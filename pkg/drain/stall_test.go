package drain_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/drain"
)

var _ = Describe("Stalls", func() {
	now := time.Unix(1000, 0)

	// Guards against a host that closes connections before it has read what arrived in a pause.
	It("ask for a wait right after a pause", func() {
		var s drain.Stalls
		s.Woke(now.Add(-time.Second), now)
		Expect(s.CatchUp(now)).To(Equal(100 * time.Millisecond))
		Expect(s.CatchUp(now.Add(60 * time.Millisecond))).To(Equal(40 * time.Millisecond))
		Expect(s.CatchUp(now.Add(time.Second))).To(BeZero())
	})

	It("ask for none if timers are hardly late", func() {
		var s drain.Stalls
		s.Woke(now.Add(-drain.StallThreshold), now)
		Expect(s.CatchUp(now)).To(BeZero())
	})
})
