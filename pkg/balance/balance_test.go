package balance_test

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/balance"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func three(change func(i int, s *searcher)) []*searcher {
	searchers := make([]*searcher, 3)
	for i := range searchers {
		searchers[i] = &searcher{free: make([]time.Duration, 4), near: i == 0, phase: time.Duration(i) * 1300 * time.Millisecond}
		change(i, searchers[i])
	}
	return searchers
}

var _ = Describe("Choose, under the load of a busy day", func() {
	const rate, length = 90.0, 30 * time.Second

	// A pause of 200 ms made a target look slow for seconds, and most requests
	// went to another place.
	It("stays in its place in spite of pauses", func() {
		for seed := range uint64(5) {
			r := play(seed, three(func(int, *searcher) {}), rate, length, false)
			Expect(r.far).To(BeNumerically("<", 0.15), "seed %d", seed)
			Expect(r.quantile(0.5)).To(BeNumerically("<", 2*work))
		}
	})

	It("leaves a target that turned slow, and is better than the fewest outstanding", func() {
		for seed := range uint64(5) {
			slow := func(i int, s *searcher) {
				if i == 0 {
					s.slow = 9
				}
			}
			r, plain := play(seed, three(slow), rate, length, false), play(seed, three(slow), rate, length, true)
			Expect(r.quantile(0.9)).To(BeNumerically("<", 5*work), "seed %d", seed)
			Expect(r.quantile(0.9)).To(BeNumerically("<=", plain.quantile(0.9)), "seed %d", seed)
		}
	})

	// A day on which 7,751 of 112,580 requests met a target that refused three of
	// five, and each refusal cost a token.
	It("gives less to a target that refuses a part", func() {
		for seed := range uint64(5) {
			part := func(i int, s *searcher) {
				if i == 0 {
					s.refuse = 0.6
				}
			}
			Expect(play(seed, three(part), rate, length, false).refused).To(BeNumerically("<", 0.1), "seed %d", seed)
		}
	})

	It("tries a silent target with single requests only", func() {
		for seed := range uint64(5) {
			dark := func(i int, s *searcher) { s.silent = i == 0 }
			r := play(seed, three(dark), rate, length, false)
			lost := 0
			for _, l := range r.latencies {
				if l >= timeLimit {
					lost++
				}
			}
			// One trial a host in each pause of 1.2 s and wait of 0.8 s, and those that
			// were on their way at first.
			Expect(lost).To(BeNumerically("<", 3*(15+10)), "seed %d", seed)
		}
	})
})

var _ = Describe("Target", func() {
	now := time.Unix(1000, 0)

	It("returns to a target that was slow once it got no work for a while", func() {
		t := balance.NewTarget(4)
		for range 20 {
			t.Sent(now)
			t.Answered(now, 10*work, work)
			now = now.Add(time.Second / 10)
		}
		Expect(t.Cost(now, work, 1)).To(BeNumerically(">", work+farLink), "a target elsewhere is better")
		Expect(t.Cost(now.Add(15*time.Second), work, 1)).To(BeNumerically("<", work+farLink))
	})

	It("is not used while it cannot be reached, and then by one request", func() {
		t := balance.NewTarget(4)
		t.Sent(now)
		t.Unreachable(now)
		Expect(t.Down(now)).To(BeTrue())
		later := now.Add(2 * time.Second)
		Expect(t.Down(later)).To(BeFalse())
		t.Sent(later)
		Expect(t.Down(later)).To(BeTrue(), "a trial is on its way")
		t.Answered(later, work, work)
		Expect(t.Down(later)).To(BeFalse())
	})

	It("counts as stalled when nothing comes back", func() {
		t := balance.NewTarget(4)
		t.Sent(now)
		Expect(t.Stalled(now.Add(work), work)).To(BeFalse())
		Expect(t.Stalled(now.Add(10*work), work)).To(BeTrue())
	})
})
