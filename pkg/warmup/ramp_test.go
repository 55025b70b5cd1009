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
	medianLatency = 8 * time.Millisecond
	reportedWarm  = warmup.ReportedWarm
)

var start = time.Unix(1000, 0)

// warmRamp returns the ramp of a target that reported warm as process "b1".
func warmRamp(share int) (*warmup.Ramp, time.Time) {
	r := warmup.NewRamp(warmup.Config{ColdConcurrency: 1, RampStep: 2, Share: share})
	r.ObserveReport(start, start, "b1", reportedWarm)
	return r, start.Add(time.Second)
}

func answered(sent time.Time, reported warmup.ReportedState, latency time.Duration) warmup.Sample {
	return warmup.Sample{Sent: sent, BootID: "b1", Reported: reported, Latency: latency, MedianLatency: medianLatency}
}

// ColdBearable is the name of an invariant in docs/design.md and docs/invariants.md.
var _ = Describe("ColdBearable: Ramp", func() {
	// Guards against an owner that sends its whole share to a target which restarted:
	// any one of these signals may reach the owner first. The second argument of Allowed
	// says whether the owner holds the cold allowance.
	DescribeTable("limits a warm target to ColdConcurrency, or to 0 without the cold allowance, after",
		func(signal func(*warmup.Ramp, time.Time)) {
			r, now := warmRamp(2)
			Expect(r.Allowed(now, false)).To(Equal(2))
			signal(r, now)
			Expect(r.Allowed(now, false)).To(BeZero())
			Expect(r.Allowed(now, true)).To(Equal(1))
		},
		Entry("a broken connection", func(r *warmup.Ramp, now time.Time) { r.ConnectionLost(now) }),
		Entry("a report of cold", func(r *warmup.Ramp, now time.Time) { r.Observe(now, answered(now, warmup.ReportedCold, medianLatency)) }),
		Entry("another boot_id", func(r *warmup.Ramp, now time.Time) { r.ObserveReport(now, now, "b2", reportedWarm) }),
		Entry("slow answers without a report of cold", func(r *warmup.Ramp, now time.Time) {
			for range 3 {
				r.Observe(now, answered(now, reportedWarm, 4*medianLatency))
			}
		}),
		Entry("slow requests that the caller canceled", func(r *warmup.Ramp, now time.Time) {
			for range 3 {
				r.Observe(now, warmup.Sample{Result: warmup.Canceled, Latency: 4 * medianLatency, MedianLatency: medianLatency})
			}
		}),
	)

	// Guards against answers out of order: a report of warm in the answer to a request
	// that was sent before a connection was lost, or before a report of cold or
	// draining arrived, must not revoke these.
	It("ignores reports of warm older than the last lost connection or report of cold or draining", func() {
		for _, reported := range []warmup.ReportedState{warmup.ReportedCold, warmup.ReportedDraining} {
			r, now := warmRamp(2)
			r.Observe(now, answered(now, reported, medianLatency))
			r.Observe(now, answered(now.Add(-time.Millisecond), reportedWarm, medianLatency))
			Expect(r.Allowed(now, false)).To(BeZero())
			r.ObserveReport(now, now.Add(time.Millisecond), "b1", reportedWarm)
			Expect(r.Allowed(now, false)).To(Equal(2))
		}
		r, now := warmRamp(2)
		r.ConnectionLost(now)
		r.Observe(now, answered(now.Add(-time.Millisecond), reportedWarm, medianLatency))
		Expect(r.Allowed(now, false)).To(BeZero())
	})

	// Guards against a ramp that never ends, or that grows without good answers.
	It("grows by one per step of good answers and shrinks on a failure", func() {
		r, now := warmRamp(4)
		r.ObserveReport(now, now, "b2", reportedWarm)
		good := warmup.Sample{Sent: now, BootID: "b2", Reported: reportedWarm, Latency: medianLatency, MedianLatency: medianLatency}
		for _, want := range []int{1, 1, 2, 2, 3, 3} {
			Expect(r.Allowed(now, true)).To(Equal(want))
			r.Observe(now, good)
		}
		Expect(r.State()).To(Equal(warmup.Warm))
		r.ObserveReport(now, now, "b3", reportedWarm)
		good.BootID = "b3"
		for range 4 {
			r.Observe(now, good)
		}
		Expect(r.Allowed(now, true)).To(Equal(3))
		r.Observe(now, warmup.Sample{Result: warmup.Failed})
		Expect(r.Allowed(now, true)).To(Equal(1))
	})

	// Guards against ramps caused by ordinary stragglers: with 1 % of answers 20 times
	// slower there may be at most one false positive in 20,000 answers.
	It("does not treat a warm target with stragglers as cold", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		r, now := warmRamp(2)
		falsePositives := 0
		for range 100_000 {
			latency := time.Duration(float64(medianLatency) * math.Exp(0.4*rng.NormFloat64()))
			if rng.Float64() < 0.01 {
				latency *= 20
			}
			r.Observe(now, answered(now, reportedWarm, latency))
			if r.State() != warmup.Warm {
				falsePositives++
				r, now = warmRamp(2)
			}
		}
		Expect(falsePositives).To(BeNumerically("<=", 5))
	})

	// Guards against an owner without the cold allowance that sends to a target which
	// may be cold, after any sequence of events. The hold is the time for which such an
	// owner does not send to a target that turned cold without reporting so.
	It("never lets an owner without the cold allowance send before a fresh report of warm or the end of the hold", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r, now := warmRamp(2)
			for range rapid.IntRange(1, 40).Draw(t, "events") {
				now = now.Add(time.Millisecond)
				bootID := rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "boot_id")
				before, lastBootID := r.Allowed(now, false), r.BootID()
				reported := rapid.SampledFrom([]warmup.ReportedState{reportedWarm, warmup.ReportedCold, warmup.ReportedDraining}).Draw(t, "reported")
				latency := medianLatency * time.Duration(rapid.IntRange(1, 5).Draw(t, "latency"))
				if rapid.Bool().Draw(t, "connection lost") {
					r.ConnectionLost(now)
					if r.Allowed(now, false) != 0 {
						t.Fatal("requests allowed after a lost connection")
					}
					continue
				}
				r.Observe(now, warmup.Sample{Sent: now, BootID: bootID, Reported: reported, Latency: latency, MedianLatency: medianLatency})
				if after := r.Allowed(now, false); after > before && (reported != reportedWarm || bootID != lastBootID) {
					t.Fatalf("allowed rose from %d to %d without a report of warm from a known process", before, after)
				}
			}
		})
	})
})
