package drain_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/drain"
)

var _ = Describe("Answers that end connections", func() {
	start := time.Unix(1000, 0)
	endsAfter := func(ttl, after time.Duration, alone bool) bool {
		var s drain.Shutdown
		s.Begin(start, ttl, time.Second)
		return s.EndsConnections(start.Add(after), alone)
	}

	// Guards against callers that lose a request to the close of an idle connection, and against
	// ones that open a connection for each request while they still find this host.
	It("begin a second before the listener closes", func() {
		Expect(endsAfter(3500*time.Millisecond, 0, false)).To(BeFalse())
		Expect(endsAfter(3500*time.Millisecond, 2499*time.Millisecond, false)).To(BeFalse())
		Expect(endsAfter(3500*time.Millisecond, 2500*time.Millisecond, false)).To(BeTrue())
		Expect(endsAfter(3500*time.Millisecond, 4*time.Second, false)).To(BeTrue())
	})

	It("begin halfway if that is later", func() {
		Expect(endsAfter(time.Second, 499*time.Millisecond, false)).To(BeFalse())
		Expect(endsAfter(time.Second, 500*time.Millisecond, false)).To(BeTrue())
	})

	// Guards against callers that have no connection left while all hosts stop at once.
	It("are not sent while no other host accepts callers", func() {
		Expect(endsAfter(3500*time.Millisecond, 3*time.Second, true)).To(BeFalse())
	})

	It("are not sent by a host that is not stopping", func() {
		var s drain.Shutdown
		Expect(s.EndsConnections(start, false)).To(BeFalse())
	})
})

var _ = Describe("Idle connections after the listener has closed", func() {
	// Guards against a stop that outlasts a short grace period for callers that send nothing.
	It("are kept for a moment, and for a fraction of a short rest", func() {
		Expect(drain.Linger(time.Minute)).To(Equal(200 * time.Millisecond))
		Expect(drain.Linger(400 * time.Millisecond)).To(Equal(100 * time.Millisecond))
		Expect(drain.Linger(-time.Second)).To(BeZero())
	})
})
