package engine

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("firstAttempt", func() {
	// Guards against answers that are late by the time in which the caller looked up the
	// directory and opened a connection: 9 of 200 ms, and 17 of 80 ms.
	It("counts all time that is missing from the caller's timeout", func() {
		s := &routeState{}
		received := time.Unix(1000, 0)
		at := func(timeout time.Duration) time.Duration {
			return received.Sub(s.firstAttempt(&Request{Received: received, Timeout: timeout}))
		}
		Expect(at(800 * time.Millisecond)).To(BeZero())
		Expect(at(791 * time.Millisecond)).To(Equal(9 * time.Millisecond))
		Expect(at(500 * time.Millisecond)).To(Equal(300 * time.Millisecond))
		Expect(at(0)).To(BeZero(), "a caller that states no timeout")
		Expect(at(2*time.Second)).To(BeZero(), "a longer timeout than seen before")
	})

	// Guards against one caller that waits for an hour, after which the requests of all
	// others count as late.
	It("forgets the timeout of a caller that waits much longer than the others", func() {
		s, received := &routeState{}, time.Unix(1000, 0)
		used := func(timeout time.Duration) time.Duration {
			return received.Sub(s.firstAttempt(&Request{Received: received, Timeout: timeout}))
		}
		used(time.Hour)
		for range 2 * timeoutWindow {
			used(800 * time.Millisecond)
		}
		Expect(used(790 * time.Millisecond)).To(Equal(10 * time.Millisecond))
	})
})

var _ = Describe("plan", func() {
	// Guards against answers that leave early, with parts missing, after the timeout of
	// the route has changed: 217 of 313 in two seconds. Callers wait as long as before.
	It("answers by the same time whatever the timeout of the route was", func() {
		now := time.Unix(1000, 0)
		e := New(Config{RetryWindow: time.Second, Fleet: fleetOf{roster.New("a", "p", now)}, Log: hclog.NewNullLogger()})
		var first time.Time
		for _, limit := range []time.Duration{2 * time.Second, 900 * time.Millisecond, 3 * time.Second} {
			route := &catalog.Route{Name: "r", Service: "s", Timeout: limit, Objective: 150 * time.Millisecond}
			x := e.plan(&Request{Received: now, Timeout: time.Second}, route, nil)
			if first.IsZero() {
				first = x.answerBy
			}
			Expect(x.answerBy).To(Equal(first), "timeout %v", limit)
		}
	})
})
