package drain_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/drain"
)

var _ = Describe("Work on the targets of a stopping host", func() {
	const ttl, requestGrace = 5 * time.Second, 30 * time.Second
	start := time.Unix(1000, 0)
	refusing := start.Add(ttl)
	awaits := func(after time.Duration, w drain.TargetWork) bool {
		var s drain.Shutdown
		s.Begin(start, ttl, requestGrace)
		return s.AwaitsTargets(refusing.Add(after), refusing, w)
	}

	// Guards against a command of another host that is cut off although grace is left.
	It("is awaited until the end of the grace period if a sender waits", func() {
		for _, w := range []drain.TargetWork{{Awaited: 1}, {Awaited: 2, AtTargets: 1}} {
			Expect(awaits(0, w)).To(BeTrue())
			Expect(awaits(requestGrace-1, w)).To(BeTrue())
			Expect(awaits(requestGrace, w)).To(BeFalse())
		}
	})

	// Guards against a target that keeps a host from stopping, and against a replacement that
	// uses a slot while the target works on a canceled request.
	It("is awaited briefly if its senders have left", func() {
		canceled := drain.TargetWork{AtTargets: 1}
		Expect(awaits(drain.CanceledTimeout-1, canceled)).To(BeTrue())
		Expect(awaits(drain.CanceledTimeout, canceled)).To(BeFalse())
	})

	// Guards against replies that are lost because requests of callers lasted until the end.
	It("is awaited briefly if the grace period ends first", func() {
		var s drain.Shutdown
		s.Begin(start, ttl, 0)
		late := start.Add(ttl)
		Expect(s.AwaitsTargets(late, late, drain.TargetWork{Awaited: 1})).To(BeTrue())
		Expect(s.AwaitsTargets(late.Add(drain.CanceledTimeout), late, drain.TargetWork{Awaited: 1})).To(BeFalse())
	})

	It("delays no host without work", func() {
		Expect(awaits(0, drain.TargetWork{})).To(BeFalse())
	})
})
