package quarantine_test

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Tally", func() {
	now := time.Unix(1000, 0)
	crash := func(target, attempt uint64) quarantine.Crash {
		return quarantine.Crash{Fingerprint: 7, Target: target, Attempt: attempt}
	}

	It("refuses a request that crashed three targets in more than one attempt", func() {
		t := quarantine.NewCrashCounter()
		t.Add(now, crash(1, 1))
		t.Add(now, crash(2, 1))
		t.Add(now, crash(3, 1))
		Expect(t.ShouldRefuse(now, 7)).To(BeFalse(), "a fan-out may have lost them to another cause")
		t.Add(now, crash(3, 2))
		Expect(t.ShouldRefuse(now, 7)).To(BeTrue())
		Expect(t.ShouldRefuse(now, 8)).To(BeFalse())
		Expect(t.ShouldRefuse(now.Add(2*time.Minute), 7)).To(BeFalse())
	})

	It("counts what other hosts tell once", func() {
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

	It("stays bounded", func() {
		t := quarantine.NewCrashCounter()
		for i := range 5000 {
			t.Add(now, quarantine.Crash{Fingerprint: quarantine.Fingerprint(i), Target: 1})
		}
		Expect(len(t.Recent(now, 5000))).To(BeNumerically("<=", 1024))
	})
})
