package balance_test

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/balance"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Target.Full", func() {
	now := time.Unix(1000, 0)
	outstanding := func(n int) *balance.Target {
		t := balance.NewTarget(4)
		for range n {
			t.Sent(now)
		}
		return t
	}

	It("is false without a refusal, however many requests are outstanding", func() {
		Expect(outstanding(200).Full(now)).To(BeFalse())
	})

	It("bounds the requests outstanding after a refusal, and one is always allowed", func() {
		t := outstanding(10)
		t.Refused(now)
		Expect(t.Full(now)).To(BeTrue(), "9 are outstanding where 10 were too many")
		for range 3 {
			t.Answered(now, serviceTime, serviceTime)
		}
		Expect(t.Full(now)).To(BeFalse())
		one := outstanding(1)
		one.Refused(now)
		Expect(one.Full(now)).To(BeFalse())
	})

	// Guards against a burst of refusals by one full queue that closes the window.
	It("counts refusals of one full queue once", func() {
		t := outstanding(20)
		for range 8 {
			t.Refused(now)
		}
		Expect(t.Full(now)).To(BeFalse(), "12 are outstanding of 14")
	})

	It("shrinks while answers come late, and grows again with answers in time", func() {
		t := outstanding(10)
		t.Refused(now)
		for range 20 {
			now = now.Add(100 * time.Millisecond)
			t.Delayed(now)
		}
		for t.Outstanding() > 1 {
			t.Answered(now, serviceTime, serviceTime)
		}
		t.Sent(now)
		Expect(t.Full(now)).To(BeFalse())
		for range 200 {
			t.Sent(now)
			t.Answered(now, serviceTime, serviceTime)
		}
		for range 2 {
			t.Sent(now)
		}
		Expect(t.Full(now)).To(BeFalse())
	})

	It("ends some seconds after the last refusal", func() {
		t := outstanding(10)
		t.Refused(now)
		Expect(t.Full(now.Add(time.Second))).To(BeTrue())
		Expect(t.Full(now.Add(4 * time.Second))).To(BeFalse())
	})
})
