package drain_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/drain"
)

// GracefulShutdown is the name of an invariant in docs/design.md and docs/invariants.md.
var _ = Describe("GracefulShutdown: Shutdown", func() {
	start := time.Unix(1000, 0)

	// Guards against a host that refuses callers which still have its address in a
	// cached address answer, or that exits while a request is open.
	It("passes the phases in order", func() {
		var s drain.Shutdown
		Expect(s.Phase(start, 3)).To(Equal(drain.Serving))
		s.Begin(start, 5*time.Second, 30*time.Second)
		s.Begin(start.Add(time.Hour), time.Second, time.Second) // a repeated signal does not extend the shutdown
		Expect(s.Phase(start, 0)).To(Equal(drain.Leaving))
		Expect(s.Phase(start.Add(4*time.Second), 0)).To(Equal(drain.Leaving))
		Expect(s.Phase(start.Add(5*time.Second), 1)).To(Equal(drain.Closing))
		Expect(s.Remaining(start.Add(5*time.Second), 1)).To(Equal(30 * time.Second))
		Expect(s.Phase(start.Add(5*time.Second), 0)).To(Equal(drain.Done))
		Expect(s.Phase(start.Add(35*time.Second), 1)).To(Equal(drain.Done))
	})

	It("tells for how long it has lasted", func() {
		var s drain.Shutdown
		Expect(s.Elapsed(start)).To(BeZero())
		s.Begin(start, 5*time.Second, 30*time.Second)
		s.Begin(start.Add(time.Second), 5*time.Second, 30*time.Second)
		Expect(s.Elapsed(start.Add(3 * time.Second))).To(Equal(3 * time.Second))
	})

	// Guards against a daemon that waits for a time other than the one after which
	// its status and the address answers change.
	It("leaves each phase after the remaining time", func() {
		var s drain.Shutdown
		Expect(s.Remaining(start, 1)).To(BeZero())
		s.Begin(start, 5*time.Second, 30*time.Second)
		now := start.Add(time.Second)
		Expect(s.Phase(now.Add(s.Remaining(now, 1)-1), 1)).To(Equal(drain.Leaving))
		now = now.Add(s.Remaining(now, 1))
		Expect(s.Phase(now, 1)).To(Equal(drain.Closing))
		Expect(s.Remaining(now, 0)).To(Equal(s.Remaining(now, 1)), "a request may arrive while the listener closes")
		Expect(s.Phase(now.Add(s.Remaining(now, 1)-1), 1)).To(Equal(drain.Closing))
		now = now.Add(s.Remaining(now, 1))
		Expect(s.Phase(now, 1)).To(Equal(drain.Done))
		Expect(s.Remaining(now.Add(time.Second), 1)).To(BeZero())
	})
})
