package engine

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Times of sends that may run once", func() {
	now := time.Unix(1000, 0)
	observed := func(count int, took time.Duration) *onceTimes {
		o := newOnceTimes()
		for range count {
			x := &execution{}
			o.sent(x, now.Add(-took))
			o.ended(x, took, true)
		}
		return o
	}

	// Guards against a guess from a few requests of a host that has just started.
	It("are not known after a few of them, nor from those that did not run", func() {
		o := observed(10, 100*time.Millisecond)
		for range 100 {
			o.ended(&execution{}, time.Millisecond, false)
		}
		Expect(o.usual(now)).To(BeZero())
	})

	It("are those of nearly all", func() {
		o := observed(300, 100*time.Millisecond)
		o.ended(&execution{}, 4*time.Second, true)
		Expect(o.usual(now)).To(BeNumerically("~", 100*time.Millisecond, 15*time.Millisecond))
	})

	// Guards against requests that are admitted and cut because the targets have turned slow
	// since the last ones ended.
	It("are not shorter than the sends in progress have taken", func() {
		o := observed(300, 100*time.Millisecond)
		slow := &execution{}
		o.sent(slow, now.Add(-2*time.Second))
		Expect(o.usual(now)).To(Equal(2 * time.Second))
		o.ended(slow, 2*time.Second, true)
		Expect(o.usual(now)).To(BeNumerically("<", time.Second))
	})
})
