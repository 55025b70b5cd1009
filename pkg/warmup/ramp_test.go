package warmup_test

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/warmup"
)

const (
	usual    = 8 * time.Millisecond
	warmMark = warmup.ReportedWarm
)

var start = time.Unix(1000, 0)

// warm returns the ramp of a target known to be warm as process "b1".
func warm(share int) (*warmup.Ramp, time.Time) {
	r := warmup.NewRamp(warmup.Config{Concurrency: 1, Step: 2, Share: share})
	r.ObserveReport(start, start, "b1", warmMark)
	return r, start.Add(time.Second)
}

func answer(sent time.Time, mark warmup.ReportedState, took time.Duration) warmup.Sample {
	return warmup.Sample{Sent: sent, BootID: "b1", Reported: mark, Latency: took, MedianLatency: usual}
}

var _ = Describe("ColdBearable: Ramp", func() {
	// Guards against an owner that still sends its warm load after a restart,
	// whichever signal reaches it first.
	DescribeTable("treats a warm target as cold after",
		func(signal func(*warmup.Ramp, time.Time)) {
			r, now := warm(2)
			Expect(r.Allowed(now, false)).To(Equal(2))
			signal(r, now)
			Expect(r.Allowed(now, false)).To(BeZero())
			Expect(r.Allowed(now, true)).To(Equal(1))
		},
		Entry("a broken connection", func(r *warmup.Ramp, now time.Time) { r.ConnectionLost(now) }),
		Entry("a cold mark", func(r *warmup.Ramp, now time.Time) { r.Observe(now, answer(now, warmup.ReportedCold, usual)) }),
		Entry("another boot_id", func(r *warmup.Ramp, now time.Time) { r.ObserveReport(now, now, "b2", warmMark) }),
		Entry("slow answers without a mark", func(r *warmup.Ramp, now time.Time) {
			for range 3 {
				r.Observe(now, answer(now, warmMark, 4*usual))
			}
		}),
		Entry("slow requests that the caller gave up", func(r *warmup.Ramp, now time.Time) {
			for range 3 {
				r.Observe(now, warmup.Sample{Result: warmup.Canceled, Latency: 4 * usual, MedianLatency: usual})
			}
		}),
	)

	// Guards against late news: an answer to a request that was sent before the
	// cold or draining mark was learned must not revoke it.
	It("ignores warm marks older than the bad news", func() {
		for _, mark := range []warmup.ReportedState{warmup.ReportedCold, warmup.ReportedDraining} {
			r, now := warm(2)
			r.Observe(now, answer(now, mark, usual))
			r.Observe(now, answer(now.Add(-time.Millisecond), warmMark, usual))
			Expect(r.Allowed(now, false)).To(BeZero())
			r.ObserveReport(now, now.Add(time.Millisecond), "b1", warmMark)
			Expect(r.Allowed(now, false)).To(Equal(2))
		}
		r, now := warm(2)
		r.ConnectionLost(now)
		r.Observe(now, answer(now.Add(-time.Millisecond), warmMark, usual))
		Expect(r.Allowed(now, false)).To(BeZero())
	})

	// Guards against a ramp that never ends or that grows without proof.
	It("grows by one per step of good answers and falls back on a bad one", func() {
		r, now := warm(4)
		r.ObserveReport(now, now, "b2", warmMark)
		good := warmup.Sample{Sent: now, BootID: "b2", Reported: warmMark, Latency: usual, MedianLatency: usual}
		for _, want := range []int{1, 1, 2, 2, 3, 3} {
			Expect(r.Allowed(now, true)).To(Equal(want))
			r.Observe(now, good)
		}
		Expect(r.State()).To(Equal(warmup.Warm))
		r.ObserveReport(now, now, "b3", warmMark)
		good.BootID = "b3"
		for range 4 {
			r.Observe(now, good)
		}
		Expect(r.Allowed(now, true)).To(Equal(3))
		r.Observe(now, warmup.Sample{Result: warmup.Failed})
		Expect(r.Allowed(now, true)).To(Equal(1))
	})

	// Guards against ramps caused by ordinary stragglers: 1 % of answers 20
	// times slower must cost less than one false alarm per 20,000 answers.
	It("does not take stragglers for a cold target", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		r, now := warm(2)
		alarms := 0
		for range 100_000 {
			took := time.Duration(float64(usual) * math.Exp(0.4*rng.NormFloat64()))
			if rng.Float64() < 0.01 {
				took *= 20
			}
			r.Observe(now, answer(now, warmMark, took))
			if r.State() != warmup.Warm {
				alarms++
				r, now = warm(2)
			}
		}
		Expect(alarms).To(BeNumerically("<=", 5))
	})

	// Guards against an owner without the cold allowance that sends to a target
	// it has cause to believe cold, after any sequence of events.
	It("never lets rank 1 send before a fresh warm mark or the hold", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r, now := warm(2)
			for range rapid.IntRange(1, 40).Draw(t, "events") {
				now = now.Add(time.Millisecond)
				boot := rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "boot")
				before, was := r.Allowed(now, false), r.BootID()
				mark := rapid.SampledFrom([]warmup.ReportedState{warmMark, warmup.ReportedCold, warmup.ReportedDraining}).Draw(t, "mark")
				took := usual * time.Duration(rapid.IntRange(1, 5).Draw(t, "took"))
				if rapid.Bool().Draw(t, "broke") {
					r.ConnectionLost(now)
					if r.Allowed(now, false) != 0 {
						t.Fatal("allowed after a break")
					}
					continue
				}
				r.Observe(now, warmup.Sample{Sent: now, BootID: boot, Reported: mark, Latency: took, MedianLatency: usual})
				if after := r.Allowed(now, false); after > before && (mark != warmMark || boot != was) {
					t.Fatalf("allowed rose from %d to %d without a warm mark of a known process", before, after)
				}
			}
		})
	})
})
