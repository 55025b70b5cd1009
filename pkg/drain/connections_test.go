package drain_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/drain"
)

var _ = Describe("Answers that end connections", func() {
	start := time.Unix(1000, 0)
	until := func(ttl, after time.Duration) time.Duration {
		var s drain.Shutdown
		s.Begin(start, ttl, time.Second)
		return s.UntilClosingAnswers(start.Add(after))
	}

	// Guards against callers that lose a request to the close of an idle connection, and against
	// ones that open a connection for each request while they still find this host.
	It("begin a second before the listener closes", func() {
		Expect(until(3500*time.Millisecond, 0)).To(Equal(2500 * time.Millisecond))
		Expect(until(3500*time.Millisecond, 2*time.Second)).To(Equal(500 * time.Millisecond))
		Expect(until(3500*time.Millisecond, 3*time.Second)).To(BeZero())
	})

	It("begin halfway if that is sooner", func() {
		Expect(until(time.Second, 0)).To(Equal(500 * time.Millisecond))
	})
})
