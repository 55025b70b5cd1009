package hedge_test

import (
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/hedge"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("WindowBudget", func() {
	const (
		length = 10 * time.Second
		ratio  = 0.2
		hosts  = 7
		total  = 54.0              // slack of all hosts together
		slack  = total / 2 / hosts // part of one host; the other half covers hosts that restart and forget their sends
	)

	// Guards against a sum of the hosts' extra sends above the limit of the service:
	// hosts that each spent their whole budget once sent 554 in ten seconds where
	// 553 were allowed.
	It("keeps the sum over all hosts in every sliding window within the ratio and the slack as the load changes", func() {
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 7))
			var windows [hosts]*hedge.WindowBudget
			for i := range windows {
				windows[i] = hedge.NewWindowBudget(length)
			}
			start := time.Unix(1000, 0)
			var firsts, extras []time.Duration
			rate, restarted := 250.0, 0
			for at := time.Duration(0); at < 40*time.Second; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
				if rng.IntN(200) == 0 {
					rate = 200 + 100*rng.Float64()
				}
				if i := int(at / (5 * time.Second)); i > restarted { // up to three of seven hosts restart within a window
					restarted = i
					windows[i%hosts] = hedge.NewWindowBudget(length)
				}
				w := windows[rng.IntN(hosts)]
				w.FirstSend(start.Add(at))
				if rng.IntN(25) > 0 { // a probe of one host does not count
					firsts = append(firsts, at)
				}
				for range 3 {
					if w.TryExtra(start.Add(at), ratio, slack, 0) {
						extras = append(extras, at)
					}
				}
			}
			for i, from := range extras {
				sent := 0
				for _, at := range extras[i:] {
					if at < from+length {
						sent++
					}
				}
				inWindow := func(lo time.Duration) (n float64) {
					for _, at := range firsts {
						if at >= lo && at < lo+length {
							n++
						}
					}
					return n
				}
				most := max(inWindow(from), inWindow(from-length), inWindow(from-length/2))
				Expect(float64(sent)).To(BeNumerically("<=", ratio*most+total), "seed %d, window from %v", seed, from)
			}
			Expect(len(extras)).To(BeNumerically(">", int(0.15*float64(len(firsts)))), "the budget grants too few extra sends")
		}
	})

	// Guards against sends of low importance that use up the whole budget.
	It("refuses extra sends that would use the reserve", func() {
		w := hedge.NewWindowBudget(length)
		now := time.Unix(1000, 0)
		Expect(w.TryExtra(now, ratio, slack, slack)).To(BeFalse())
		Expect(w.TryExtra(now, ratio, slack, 0)).To(BeTrue())
	})
})
