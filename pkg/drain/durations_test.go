package drain_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/drain"
)

var _ = Describe("Durations of sends that may run once", func() {
	now := time.Unix(1000, 0)
	observed := func(count int, took time.Duration) *drain.Durations[int] {
		d := drain.NewDurations[int]()
		for i := range count {
			d.Sent(i, now.Add(-took))
			d.Ended(i, took, true)
		}
		return d
	}

	// Guards against a guess from a few requests of a host that has just started.
	It("are not known after a few of them, nor from those that did not run", func() {
		d := observed(10, 100*time.Millisecond)
		for i := range 100 {
			d.Ended(i, time.Millisecond, false)
		}
		Expect(d.Usual(now)).To(BeZero())
	})

	It("are those of nearly all", func() {
		d := observed(300, 100*time.Millisecond)
		d.Ended(300, 4*time.Second, true)
		Expect(d.Usual(now)).To(BeNumerically("~", 100*time.Millisecond, 15*time.Millisecond))
	})

	// Guards against requests that are admitted and cut because the targets have turned slow
	// since the last ones ended.
	It("are not shorter than the sends in progress have taken", func() {
		d := observed(300, 100*time.Millisecond)
		d.Sent(300, now.Add(-2*time.Second))
		Expect(d.Usual(now)).To(Equal(2 * time.Second))
		d.Ended(300, 2*time.Second, true)
		Expect(d.Usual(now)).To(BeNumerically("<", time.Second))
	})
})
