package bench

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// classRun returns a run with 100 answers of class critical at the given latency and 100
// requests of class batch, of which some are refused.
func classRun(load float64, latency time.Duration, refused int) *Summary {
	rec := newRecorder(&settings.Document{Services: map[string]settings.Service{"tagdesk": {}}}, 1)
	for i := range 100 {
		r := &result{query: &query{service: "tagdesk", class: "batch"}, latency: 3 * latency, coverage: 1, good: true}
		r.reply.outcome = outcome.OK()
		if i < refused {
			r.reply.outcome = outcome.Refused(outcome.Overload, "full")
		}
		rec.add(r)
		rec.add(&result{query: &query{service: "tagdesk", class: "critical"}, reply: reply{outcome: outcome.OK()}, latency: latency, coverage: 1, good: true})
	}
	return &Summary{Load: load, Rows: rec.rows(1, true)}
}

var _ = Describe("priority classes", func() {
	// Guards against results in which refusals of low classes hide the latency of the
	// highest class.
	It("are reported separately and compared across loads", func() {
		calm, full, over := classRun(0.6, 10*time.Millisecond, 0), classRun(1, 10*time.Millisecond, 20), classRun(1.5, 20*time.Millisecond, 90)
		rows := over.Rows[0].Classes
		Expect(rows).To(HaveLen(2))
		Expect([]any{rows[0].Class, rows[0].Sent, rows[0].NotRun, rows[0].Goodput}).To(Equal([]any{"critical", 100, 0, 100.0}))
		Expect([]any{rows[1].Class, rows[1].Sent, rows[1].NotRun, rows[1].Goodput}).To(Equal([]any{"batch", 100, 90, 10.0}))
		Expect(rows[1].P99).To(BeNumerically("~", 60, 0.1))
		loads := CompareLoads([]*Summary{full, over, calm})
		Expect(loads).To(HaveLen(6)) // three loads each for the service and the total
		Expect(loads[2].GoodputRatio).To(BeNumerically("~", 110.0/180, 0.001))
		Expect(loads[2].P99Ratio).To(BeNumerically("~", 2, 0.01))
	})
})
