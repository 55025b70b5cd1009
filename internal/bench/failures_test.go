package bench

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

var _ = Describe("failures", func() {
	// Guards against reports that do not state the time and reason of refusals, and
	// against one entry per target or duration, because numbers differ in messages.
	It("groups refusals and missing groups by message and second", func() {
		f := newFailureCounts(3)
		refused := func(target string) *reply {
			return &reply{outcome: outcome.Refused(outcome.Unavailable, "target %s: cold", target)}
		}
		f.addReply(refused("renewals-01"), 100*time.Millisecond)
		f.addReply(refused("renewals-22"), 2500*time.Millisecond)
		f.addReply(&reply{outcome: outcome.Outcome{Kind: outcome.Partial}, search: &api.SearchResponse{
			Warnings: []api.Warning{{Group: "g1", Reason: outcome.Deadline, Message: "no answer within 1.5s"}},
		}}, time.Second)
		f.addReply(&reply{outcome: outcome.OK()}, 0)
		Expect(f.list()).To(Equal([]Failure{
			{Outcome: "not_run", Reason: outcome.Unavailable, Message: "target renewals-#: cold", Count: 2, Seconds: []int{1, 0, 1}},
			{Outcome: "missing", Reason: outcome.Deadline, Message: "no answer within #s", Count: 1, Seconds: []int{0, 1, 0}},
		}))
	})
})
