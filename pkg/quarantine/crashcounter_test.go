package quarantine_test

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("CrashCounter", func() {
	now := time.Unix(1000, 0)
	crash := func(target, attempt uint64) quarantine.Crash {
		return quarantine.Crash{Fingerprint: 7, Target: target, Attempt: attempt}
	}

	// Guards against a request that a caller repeats until all targets are down, and
	// against refusing one whose targets a single fan-out lost to another cause.
	It("refuses a request that crashed three targets in more than one attempt", func() {
		counter := quarantine.NewCrashCounter()
		counter.Add(now, crash(1, 1))
		counter.Add(now, crash(2, 1))
		counter.Add(now, crash(3, 1))
		Expect(counter.ShouldRefuse(now, 7)).To(BeFalse(), "a single fan-out may have lost them to another cause")
		counter.Add(now, crash(3, 2))
		Expect(counter.ShouldRefuse(now, 7)).To(BeTrue())
		Expect(counter.ShouldRefuse(now, 8)).To(BeFalse())
		Expect(counter.ShouldRefuse(now.Add(2*time.Minute), 7)).To(BeFalse())
	})

	// Guards against counting a crash again each time that another host repeats it,
	// and against sharing crashes for ever.
	It("counts a crash that another host shares only once", func() {
		a, b := quarantine.NewCrashCounter(), quarantine.NewCrashCounter()
		for i := range uint64(3) {
			a.Add(now, crash(i, i))
		}
		for _, c := range a.Recent(now, 8) {
			Expect(b.Add(now, c)).To(BeTrue())
			Expect(b.Add(now, c)).To(BeFalse())
		}
		Expect(b.ShouldRefuse(now, 7)).To(BeTrue())
		Expect(a.Recent(now.Add(time.Minute), 8)).To(BeEmpty())
	})

	// Guards against unbounded memory under many distinct requests.
	It("holds a bounded number of requests", func() {
		counter := quarantine.NewCrashCounter()
		for i := range 5000 {
			counter.Add(now, quarantine.Crash{Fingerprint: quarantine.Fingerprint(i), Target: 1})
		}
		Expect(len(counter.Recent(now, 5000))).To(BeNumerically("<=", 1024))
	})
})
