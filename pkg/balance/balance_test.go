package balance_test

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/balance"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func threeSearchers(change func(i int, s *searcher)) []*searcher {
	searchers := make([]*searcher, 3)
	for i := range searchers {
		searchers[i] = &searcher{freeAt: make([]time.Duration, 4), local: i == 0, phase: time.Duration(i) * 1300 * time.Millisecond}
		change(i, searchers[i])
	}
	return searchers
}

var _ = Describe("Choose, at the request rate of a busy day", func() {
	const rate, duration = 90.0, 30 * time.Second

	// Guards against a pause of 200 ms that makes a target look slow for seconds,
	// so that most requests go to another place.
	It("keeps requests in the local place when targets pause", func() {
		for seed := range uint64(5) {
			r := simulate(seed, threeSearchers(func(int, *searcher) {}), rate, duration, false)
			Expect(r.remote).To(BeNumerically("<", 0.15), "seed %d", seed)
			Expect(r.quantile(0.5)).To(BeNumerically("<", 2*serviceTime))
		}
	})

	// Guards against a slow target that keeps its share of the requests.
	It("avoids a target that turned slow and beats the choice by fewest outstanding requests", func() {
		for seed := range uint64(5) {
			slow := func(i int, s *searcher) {
				if i == 0 {
					s.slow = 9
				}
			}
			r, baseline := simulate(seed, threeSearchers(slow), rate, duration, false), simulate(seed, threeSearchers(slow), rate, duration, true)
			Expect(r.quantile(0.9)).To(BeNumerically("<", 5*serviceTime), "seed %d", seed)
			Expect(r.quantile(0.9)).To(BeNumerically("<=", baseline.quantile(0.9)), "seed %d", seed)
		}
	})

	// Guards against requests that keep going to a target which refuses three of
	// five: 7,751 of 112,580 requests of one day were refused, each at the cost of a
	// retry token.
	It("sends less to a target that refuses some requests", func() {
		for seed := range uint64(5) {
			refusing := func(i int, s *searcher) {
				if i == 0 {
					s.refuse = 0.6
				}
			}
			Expect(simulate(seed, threeSearchers(refusing), rate, duration, false).refused).To(BeNumerically("<", 0.1), "seed %d", seed)
		}
	})

	// Guards against requests lost to a target that accepts them and never answers.
	It("probes a silent target with single requests only", func() {
		for seed := range uint64(5) {
			silent := func(i int, s *searcher) { s.silent = i == 0 }
			r := simulate(seed, threeSearchers(silent), rate, duration, false)
			lost := 0
			for _, l := range r.latencies {
				if l >= requestTimeout {
					lost++
				}
			}
			// One probe per host in each cycle of 1.2 s backoff and 0.8 s timeout, and the
			// requests that were outstanding before the first timeout.
			Expect(lost).To(BeNumerically("<", 3*(15+10)), "seed %d", seed)
		}
	})
})

var _ = Describe("Target", func() {
	now := time.Unix(1000, 0)

	// Guards against a target that was slow once and never gets a request again.
	It("decays its slowness while it gets no requests", func() {
		t := balance.NewTarget(4)
		for range 20 {
			t.Sent(now)
			t.Answered(now, 10*serviceTime, serviceTime)
			now = now.Add(time.Second / 10)
		}
		Expect(t.Cost(now, serviceTime, 1)).To(BeNumerically(">", serviceTime+remoteRTT), "a target in another place is cheaper")
		Expect(t.Cost(now.Add(15*time.Second), serviceTime, 1)).To(BeNumerically("<", serviceTime+remoteRTT))
	})

	// Guards against many requests lost to a target that is still unreachable when
	// its backoff ends.
	It("is down during the backoff and then allows one probe request", func() {
		t := balance.NewTarget(4)
		t.Sent(now)
		t.Unreachable(now)
		Expect(t.Down(now)).To(BeTrue())
		afterBackoff := now.Add(2 * time.Second)
		Expect(t.Down(afterBackoff)).To(BeFalse())
		t.Sent(afterBackoff)
		Expect(t.Down(afterBackoff)).To(BeTrue(), "a probe is outstanding")
		t.Answered(afterBackoff, serviceTime, serviceTime)
		Expect(t.Down(afterBackoff)).To(BeFalse())
	})

	// Guards against requests that are sent to a target which has stopped answering,
	// until the first of them times out.
	It("is stalled when no outstanding request ends", func() {
		t := balance.NewTarget(4)
		t.Sent(now)
		Expect(t.Stalled(now.Add(serviceTime), serviceTime)).To(BeFalse())
		Expect(t.Stalled(now.Add(10*serviceTime), serviceTime)).To(BeTrue())
	})
})
