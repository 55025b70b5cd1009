package hedge_test

import (
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/hedge"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("FanOut", func() {
	const (
		expected = 20 * time.Millisecond
		delay    = 50 * time.Millisecond // after which a shard is hedged
		recheck  = expected / 2
	)
	// hedges plays one fan-out in steps of a millisecond and returns how many shards are
	// hedged. answers are the times at which the shards answer without a hedge; with a
	// hedge, a shard answers after the expected time at the latest.
	hedges := func(gated bool, answers []time.Duration) (sent int, last time.Duration) {
		answered, due := make([]bool, len(answers)), make([]time.Duration, len(answers))
		for i := range due {
			due[i] = delay
		}
		hedged := make([]bool, len(answers))
		latest := time.Duration(0)
		for now := time.Duration(0); now < time.Second; now += time.Millisecond {
			left := 0
			for i, at := range answers {
				if !answered[i] && at <= now {
					answered[i], latest, last = true, now, now
				}
				if !answered[i] {
					left++
				}
			}
			for i := range answers {
				if answered[i] || hedged[i] || now < due[i] {
					continue
				}
				f := hedge.FanOut{Shards: len(answers), Unanswered: left, SinceLast: now - latest, Expected: expected}
				if gated && f.Holds() {
					due[i] = now + recheck
					continue
				}
				hedged[i] = true
				sent++
				answers[i] = min(answers[i], now+expected)
			}
		}
		return sent, last
	}
	draw := func(seed uint64, n int, at func(i int, rng *rand.Rand) time.Duration) []time.Duration {
		rng := rand.New(rand.NewPCG(seed, 4))
		out := make([]time.Duration, n)
		for i := range out {
			out[i] = at(i, rng)
		}
		return out
	}

	// Guards against a host with a fifth of a core that sends each of 90 sub-requests
	// twice, because it takes 150 ms to read their answers.
	It("sends few hedges while a slow host still reads the first answers", func() {
		for seed := range uint64(20) {
			slow := func(i int, _ *rand.Rand) time.Duration {
				return expected + time.Duration(i)*1600*time.Microsecond
			}
			before, _ := hedges(false, draw(seed, 90, slow))
			after, _ := hedges(true, draw(seed, 90, slow))
			Expect(before).To(BeNumerically(">", 60))
			Expect(after).To(BeNumerically("<=", 45))
		}
	})

	// Guards against stragglers that are not hedged.
	It("sends the same hedges as without it while few targets pause", func() {
		for seed := range uint64(20) {
			pausing := func(_ int, rng *rand.Rand) time.Duration {
				if rng.Float64() < 0.05 {
					return 200 * time.Millisecond
				}
				return time.Duration((0.5 + rng.Float64()) * float64(expected))
			}
			before, lastBefore := hedges(false, draw(seed, 36, pausing))
			after, lastAfter := hedges(true, draw(seed, 36, pausing))
			Expect(after).To(Equal(before), "seed %d", seed)
			Expect(lastAfter).To(Equal(lastBefore), "seed %d", seed)
		}
	})

	// Guards against a fan-out that waits for the dark targets of a whole place.
	It("hedges as soon as no answer arrives any more, however many shards are left", func() {
		for seed := range uint64(20) {
			dark := func(i int, rng *rand.Rand) time.Duration {
				if i%10 > 0 {
					return time.Hour
				}
				return time.Duration((0.5 + rng.Float64()) * float64(expected))
			}
			_, last := hedges(true, draw(seed, 90, dark))
			Expect(last).To(BeNumerically("<=", delay+recheck+expected+time.Millisecond), "seed %d", seed)
		}
	})

	It("does not hold the hedges of a single request", func() {
		Expect(hedge.FanOut{Shards: 1, Unanswered: 1, Expected: time.Second}.Holds()).To(BeFalse())
	})
})
