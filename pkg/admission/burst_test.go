package admission_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/knownred"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A burst", func() {
	const calm, burst, length = 2 * time.Second, 3 * time.Second, 7 * time.Second
	run := func(factor float64, limited bool, slow, crashed float64) *model {
		m := newModel(1, limited, slow, crashed)
		m.run(length, func(at time.Duration) float64 {
			if at >= calm && at < calm+burst {
				return factor
			}
			return 1
		})
		return m
	}

	// Guards against a limit that acts although the host has capacity left.
	It("of twice the load meets no limit", func() {
		m := run(2, true, 0, 0)
		Expect(m.inForce).To(BeZero())
	})

	for _, c := range []struct {
		name          string
		slow, crashed float64
	}{{"alone", 0, 0}, {"beside 35 % slow targets", 0.35, 0}, {"beside 40 % crashed targets", 0, 0.4}} {
		for _, factor := range []float64{8, 12} {
			// Guards against a burst in which all requests advance at the same pace and are
			// late together.
			It(fmt.Sprintf("of %v times the load %s keeps more urgent requests in time than without a limit, and passes", factor, c.name), func() {
				m, before := run(factor, true, c.slow, c.crashed), run(factor, false, c.slow, c.crashed)
				urgent, sweep := m.results["urgent"], m.results["sweep"]
				GinkgoWriter.Printf("urgent %+v, before %+v\nsweeps %+v, before %+v\n", *urgent, *before.results["urgent"], *sweep, *before.results["sweep"])
				Expect(urgent.share()).To(BeNumerically(">", before.results["urgent"].share()))
				Expect(urgent.share()).To(BeNumerically(">=", sweep.share()), "no urgent kind is served less often")
				Expect(sweep.inTime).To(BeNumerically(">", 0), "no kind is starved")
				last := m.bySecond[int(length/time.Second)-1]
				Expect(last.share()).To(BeNumerically(">=", 0.98), "calm two seconds after the burst")
			})

			// Guards against requests that are held until another host can no longer serve
			// them in time.
			It(fmt.Sprintf("of %v times the load %s refuses nine in ten within a quarter of the objective", factor, c.name), func() {
				m := run(factor, true, c.slow, c.crashed)
				urgent, sweep := m.results["urgent"], m.results["sweep"]
				Expect(10 * (urgent.refusedLate + sweep.refusedLate)).To(BeNumerically("<=", urgent.refused+sweep.refused))
			})
		}
	}

	// Guards against requests that are admitted and end late.
	It("of eight times the load leaves fewer than 1 in 50 of those not served late", func() {
		m := run(8, true, 0, 0)
		urgent, sweep := m.results["urgent"], m.results["sweep"]
		Expect(50 * (urgent.late + sweep.late)).To(BeNumerically("<", urgent.late+sweep.late+urgent.refused+sweep.refused))
	})

	// Guards against sweeps that make the urgent requests late.
	It("of eight times the load leaves the urgent kind at its calm share", func() {
		knownred.Skip(GinkgoT(), "A burst of eight times the load leaves the urgent kind at its calm share")
		calmShare := run(1, true, 0, 0).results["urgent"].share()
		Expect(run(8, true, 0, 0).results["urgent"].share()).To(BeNumerically(">=", calmShare-0.02))
	})
})
