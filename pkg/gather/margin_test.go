package gather_test

import (
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/gather"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Margin", func() {
	// play returns the fraction of answers that reach their callers within the objective,
	// and the mean margin. The link takes 2 ms and a host as long to read a request as to
	// write its answer.
	play := func(seed uint64, objective, overrun time.Duration) (inTime float64, mean time.Duration) {
		rng := rand.New(rand.NewPCG(seed, 9))
		var m gather.Margin
		const answers, learning = 400, 40
		for i := range answers {
			before := m.Before(objective)
			took := time.Duration((0.5 + rng.Float64()) * float64(overrun))
			arrived := objective - before + 2*took + 2*time.Millisecond
			m.Observe(took)
			if i < learning {
				continue
			}
			mean += before / (answers - learning)
			if arrived <= objective {
				inTime += 1.0 / (answers - learning)
			}
		}
		return inTime, mean
	}

	// Guards against answers that all arrive a few milliseconds late, on hosts with a
	// fifth of a core: half of the answers of a deployment with little traffic.
	It("lets answers of a slow host arrive in time", func() {
		for seed := range uint64(20) {
			inTime, _ := play(seed, 200*time.Millisecond, 9*time.Millisecond)
			Expect(inTime).To(BeNumerically(">", 0.99), "seed %d", seed)
		}
	})

	// Guards against answers of a fast host that lack parts for which there was time.
	It("stays near the round trip on a fast host", func() {
		for seed := range uint64(20) {
			inTime, mean := play(seed, 200*time.Millisecond, 100*time.Microsecond)
			Expect(inTime).To(BeNumerically(">", 0.999), "seed %d", seed)
			Expect(mean).To(BeNumerically("<", 13*time.Millisecond))
		}
	})

	// Guards against a host that answers early, with parts missing, long after a pause.
	It("forgets one pause of the host soon", func() {
		var m gather.Margin
		m.Observe(4 * time.Second)
		for range 30 {
			m.Observe(time.Millisecond)
		}
		Expect(m.Before(200 * time.Millisecond)).To(BeNumerically("<", 20*time.Millisecond))
	})

	It("leaves two thirds of the objective for the shards, however slow the host is", func() {
		var m gather.Margin
		for range 100 {
			m.Observe(time.Second)
		}
		Expect(m.Before(60 * time.Millisecond)).To(Equal(20 * time.Millisecond))
		for range 400 {
			m.Observe(0)
		}
		Expect(m.Before(200*time.Millisecond)).To(BeNumerically("<", 13*time.Millisecond), "it recovers")
	})
})
