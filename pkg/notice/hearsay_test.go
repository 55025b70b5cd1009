package notice_test

import (
	"math"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/notice"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("What other hosts report of a target", func() {
	rng := newRand()
	// told returns a target that gave this host a notice at the start.
	told := func(said notice.Said) *notice.Target {
		t := &notice.Target{}
		t.Observe(at(0), at(-time.Millisecond), said, alone, rng)
		return t
	}
	// heardFrom returns a target of which this host has only heard, from a host that reported
	// it after the given time.
	heardFrom := func(t *notice.Target, after time.Duration) *notice.Target {
		r, ok := t.Report(at(after))
		Expect(ok).To(BeTrue())
		other := &notice.Target{}
		other.Hear(at(after), r, alone, rng)
		return other
	}
	decide := func(t *notice.Target, now time.Duration) notice.Decision { return t.Decide(at(now), drain, rng) }

	// Guards against hosts that each find out by themselves, with a request, and against a
	// target that hosts stop using because of what it said to another one.
	It("makes a target the last choice, and takes it out of use only by its own answers", func() {
		leaving := heardFrom(told(notice.Said{Leaving: true}), time.Second)
		Expect(leaving.IsLeaving()).To(BeFalse())
		Expect(leaving.Heard(at(time.Second))).To(Equal([]notice.Kind{notice.Leaving}))
		Expect(leaving.Takes(at(time.Second))).To(BeFalse())
		Expect(decide(leaving, time.Hour)).To(Equal(notice.Decision{Allowed: true, Preference: notice.Leaves}))

		away := heardFrom(told(notice.Said{RetryAfter: 4 * time.Second}), time.Second)
		Expect(away.Heard(at(time.Second))).To(Equal([]notice.Kind{notice.RetryAfter}))
		Expect(decide(away, 3900*time.Millisecond)).To(Equal(notice.Decision{Allowed: true, Preference: notice.MayTurnAway}))
		Expect(decide(away, 4100*time.Millisecond)).To(Equal(notice.Decision{Allowed: true}))
		Expect(away.Heard(at(4100 * time.Millisecond))).To(BeEmpty())
	})

	// Guards against a limit that each host exceeds until it has asked the target itself.
	It("paces requests to a target that names a limit, until no host reports it any more", func() {
		limited := heardFrom(told(notice.Said{Limit: 8, Limited: true}), time.Second)
		Expect(limited.Limit()).To(BeZero())
		Expect(limited.Heard(at(time.Second))).To(Equal([]notice.Kind{notice.Limit}))
		Expect(limited.HostRate()).To(Equal(notice.HostRate(8, alone())))
		sends := 0
		for now := time.Second; now < 3*time.Second; now += time.Millisecond {
			if decide(limited, now).Allowed {
				limited.Sent(at(now))
				sends++
			}
		}
		Expect(sends).To(BeNumerically("<=", 2*8+1))
		Expect(sends).To(BeNumerically(">", 8))
		Expect(decide(limited, 10*time.Second)).To(Equal(notice.Decision{Allowed: true}))
		Expect(limited.HostRate()).To(BeZero())
		Expect(limited.Heard(at(10 * time.Second))).To(BeEmpty())
	})

	// Guards against hosts that keep each other from a target that has recovered.
	It("is replaced by the answers of the target, and not by reports of older ones", func() {
		said := notice.Said{Leaving: true, RetryAfter: 4 * time.Second, Limit: 8, Limited: true}
		report, _ := told(said).Report(at(time.Second))
		t := heardFrom(told(said), time.Second)
		Expect(t.Heard(at(time.Second))).To(HaveLen(3))
		t.Observe(at(1500*time.Millisecond), at(-time.Second), notice.Said{}, alone, rng)
		Expect(t.Heard(at(1500*time.Millisecond))).To(HaveLen(3), "the request was older than the notice")
		t.Observe(at(1500*time.Millisecond), at(1200*time.Millisecond), notice.Said{}, alone, rng)
		Expect(t.Heard(at(1500 * time.Millisecond))).To(BeEmpty())
		t.Hear(at(1600*time.Millisecond), report, alone, rng)
		Expect(decide(t, 1600*time.Millisecond)).To(Equal(notice.Decision{Allowed: true}), "the report is of an answer before that one")
	})

	// Guards against a pace that starts again, and saves up requests, when the target itself
	// names the limit that was heard.
	It("goes over into the limit that the target names to this host", func() {
		t := heardFrom(told(notice.Said{Limit: 8, Limited: true}), 0)
		t.Sent(at(time.Second))
		wait := decide(t, time.Second).Wait
		changes := t.Observe(at(time.Second), at(time.Second), notice.Said{Limit: 8, Limited: true}, alone, rng)
		Expect(changes).To(Equal([]notice.Change{{Kind: notice.Limit, Value: 8}}))
		Expect(decide(t, time.Second).Wait).To(Equal(wait))
		Expect(t.Heard(at(time.Second))).To(BeEmpty())
		t.Hear(at(2*time.Second), notice.Report{Limit: 80}, alone, rng)
		Expect(t.Limit()).To(Equal(8.0))
		Expect(t.HostRate()).To(Equal(notice.HostRate(8, alone())))
	})

	// Guards against notices that go round among hosts after the target has ended them.
	It("is not reported further", func() {
		_, ok := heardFrom(told(notice.Said{Leaving: true, RetryAfter: time.Second, Limit: 8, Limited: true}), 0).Report(at(0))
		Expect(ok).To(BeFalse())
	})

	DescribeTable("is ignored if it makes no sense", func(r notice.Report) {
		var t notice.Target
		t.Hear(at(0), r, alone, rng)
		Expect(t.Heard(at(0))).To(BeEmpty())
		Expect(decide(&t, 0)).To(Equal(notice.Decision{Allowed: true}))
	},
		Entry("a limit that is no number", notice.Report{Limit: math.NaN()}),
		Entry("an infinite limit", notice.Report{Limit: math.Inf(1)}),
		Entry("a negative limit", notice.Report{Limit: -1}),
		Entry("answers of the future", notice.Report{Limit: 8, LimitAgeMS: -1, Leaving: true, LeavingAgeMS: -1, AwayMS: 9, AwayAgeMS: -1}),
		Entry("answers of long ago", notice.Report{Limit: 8, LimitAgeMS: math.MaxInt64, Leaving: true, LeavingAgeMS: math.MaxInt64, AwayMS: 9, AwayAgeMS: math.MaxInt64}),
		Entry("a negative time", notice.Report{AwayMS: math.MinInt64}),
	)

	It("holds for a bounded time", func() {
		var t notice.Target
		t.Hear(at(0), notice.Report{AwayMS: math.MaxInt64}, alone, rng)
		Expect(t.Heard(at(time.Minute - time.Millisecond))).To(Equal([]notice.Kind{notice.RetryAfter}))
		Expect(t.Heard(at(time.Minute + time.Millisecond))).To(BeEmpty())
	})

	// Guards against targets of which no host hears because others are always reported first.
	It("takes its turn if there is more than fits a message", func() {
		seen := map[uint64]int{}
		next := uint64(0)
		for range 10 {
			reports := []notice.Report{{Process: 5}, {Process: 1}, {Process: 4}, {Process: 2}, {Process: 3}}
			reports, next = notice.InTurn(reports, next, 2)
			Expect(reports).To(HaveLen(2))
			for _, r := range reports {
				seen[r.Process]++
			}
		}
		Expect(seen).To(Equal(map[uint64]int{1: 4, 2: 4, 3: 4, 4: 4, 5: 4}))
		all, _ := notice.InTurn([]notice.Report{{Process: 2}, {Process: 1}}, 2, 2)
		Expect(all).To(Equal([]notice.Report{{Process: 1}, {Process: 2}}))
	})
})
