package limit

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("CallerBytes", func() {
	start := time.Unix(1000, 0)

	// Guards against a budget that refuses the newest small request in place of the largest and
	// slowest one.
	It("gives up the largest and slowest for a small new one", func() {
		b := NewCallerBytes(100 << 10)
		var old, young, small CallerHold
		gone := ""
		b.Open(&old, start, func() { gone += "old" })
		Expect(b.Grow(start, &old, 30<<10)).To(BeTrue())
		now := start.Add(time.Second)
		b.Open(&young, now, func() { gone += "young" })
		Expect(b.Grow(now, &young, 40<<10)).To(BeTrue())
		now = now.Add(10 * time.Millisecond)
		b.Open(&small, now, func() { gone += "small" })
		Expect(b.Grow(now, &small, 4<<10)).To(BeTrue())
		Expect(gone).To(BeEmpty())
		Expect(b.Grow(now, &young, 60<<10)).To(BeTrue())
		Expect(gone).To(Equal("old"))
		Expect(b.Grow(now, &old, 1)).To(BeFalse(), "it was given up")
	})

	// Guards against large bodies that take the part of small requests, and against a request that
	// is given up after it was passed on.
	It("keeps a part for small requests and what was passed on", func() {
		b := NewCallerBytes(100 << 10)
		var passed, large, small CallerHold
		b.Open(&passed, start, func() { Fail("it was passed on") })
		Expect(b.Grow(start, &passed, 75<<10)).To(BeTrue())
		Expect(b.PassOn(&passed)).To(BeTrue())
		b.Open(&large, start, func() {})
		Expect(b.Grow(start, &large, SmallRequestBytes+1)).To(BeFalse())
		Expect(b.PassOn(&large)).To(BeFalse(), "it was refused")
		b.Open(&small, start, func() {})
		Expect(b.Grow(start, &small, SmallRequestBytes)).To(BeTrue())
		b.Release(&passed)
		b.Release(&passed)
		Expect(b.Use().Used).To(BeEquivalentTo(SmallRequestBytes))
	})

	// Guards against sums that leave the budget, or room that stays in use after its requests.
	It("stays within its limit for any requests", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const limit = 200 << 10
			b := NewCallerBytes(limit)
			now := start
			var holds []*CallerHold
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				if len(holds) == 0 || rapid.Bool().Draw(t, "opens") {
					h := &CallerHold{}
					b.Open(h, now, func() {})
					holds = append(holds, h)
				}
				h := rapid.SampledFrom(holds).Draw(t, "hold")
				switch rapid.IntRange(0, 3).Draw(t, "act") {
				case 0:
					b.PassOn(h)
				case 1:
					b.Release(h)
				default:
					b.Grow(now, h, h.size+int64(rapid.IntRange(0, 80<<10).Draw(t, "more")))
				}
				sum := int64(0)
				for _, h := range holds {
					sum += h.size
				}
				if use := b.Use(); use.Used != sum || use.Used > limit {
					t.Fatalf("in use %d, sum %d, limit %d", use.Used, sum, limit)
				}
			}
			for _, h := range holds {
				b.Release(h)
			}
			if use := b.Use(); use.Used != 0 || use.Reading != 0 {
				t.Fatalf("left: %+v", use)
			}
		})
	})

	// Guards against bounds that leave no descriptors for targets, or none for callers.
	DescribeTable("divides the limits of hosts", func(memory int64, descriptors int, want CallerParts) {
		Expect(CallerPartsOf(memory, descriptors)).To(Equal(want))
	},
		Entry("of the smallest host", int64(136<<20), 2870, CallerParts{Bytes: 17 << 20, Conns: 1335, SideConns: 166}),
		Entry("of the largest host", int64(536<<20), 8192, CallerParts{Bytes: 67 << 20, Conns: 3996, SideConns: 499}),
		Entry("without limits", int64(0), 0, CallerParts{Bytes: 64 << 20}),
		Entry("below the files kept", int64(0), 100, CallerParts{Bytes: 64 << 20, Conns: 16, SideConns: 16}),
	)
})
