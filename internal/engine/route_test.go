package engine

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
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
			return received.Sub(s.firstAttempt(&catalog.Route{}, &Request{Received: received, Timeout: timeout}))
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
		first := func(route *catalog.Route, timeout time.Duration) time.Duration {
			return received.Sub(s.firstAttempt(route, &Request{Received: received, Timeout: timeout}))
		}
		first(&catalog.Route{}, time.Hour)
		for range 2 * timeoutWindow {
			first(&catalog.Route{}, 800*time.Millisecond)
		}
		Expect(first(&catalog.Route{}, 790*time.Millisecond)).To(Equal(10 * time.Millisecond))
		limited := &catalog.Route{Timeout: 700 * time.Millisecond}
		s = &routeState{}
		first(limited, time.Hour)
		Expect(first(limited, 790*time.Millisecond)).To(BeZero(), "no caller waits longer than the route allows")
	})
})
