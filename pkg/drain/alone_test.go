package drain_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/drain"
)

var _ = Describe("Shutdown of a host without others", func() {
	const ttl, requestGrace = 3500 * time.Millisecond, 2100 * time.Millisecond
	start := time.Unix(1000, 0)
	var s drain.Shutdown
	s.Begin(start, ttl, requestGrace)
	expired := start.Add(ttl)

	// Guards against callers that find no listener while all hosts stop at once.
	It("accepts connections while it waits for its last requests", func() {
		Expect(s.StaysOpen(expired, 1, true)).To(BeTrue())
		Expect(s.StaysOpen(expired.Add(999*time.Millisecond), 1, true)).To(BeTrue())
		Expect(s.StaysOpen(expired.Add(time.Second), 1, true)).To(BeFalse(), "the last connections need their time")
	})

	// Guards against a stop that is prolonged, and against callers that are kept from other hosts.
	It("accepts none without open requests or beside other hosts", func() {
		Expect(s.StaysOpen(expired, 0, true)).To(BeFalse())
		Expect(s.StaysOpen(expired, 1, false)).To(BeFalse())
	})

	// Guards against callers that use up their repeats before a host is back.
	It("sends callers away for longer than beside other hosts", func() {
		Expect(drain.RetryAfter(true)).To(BeNumerically(">", 10*drain.RetryAfter(false)))
	})
})
