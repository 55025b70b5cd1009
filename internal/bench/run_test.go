package bench

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
)

func runCase(ctx context.Context, text string, policy Policy) *Summary {
	c, err := ParseCase([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	d, err := fleet.Load("../../examples/riga")
	Expect(err).NotTo(HaveOccurred())
	summary, err := Run(ctx, d, Options{Case: c, Policy: policy, Seed: 1, Seconds: 2, Logger: hclog.NewNullLogger()})
	Expect(err).NotTo(HaveOccurred())
	return summary
}

var _ = Describe("Run", func() {
	// Guards against hosts that violate the checks even without faults, and against
	// checks that count correct answers as violations.
	It("finds no violations in a calm run of the tier", func(ctx context.Context) {
		summary := runCase(ctx, `{"name":"calm","rate":60}`, PolicyTier)
		total := summary.Rows[len(summary.Rows)-1]
		Expect(total.Violations).To(Equal(Violations{}), "%v", total.Samples)
		Expect(total.Sent).To(BeNumerically(">", 60))
		Expect(total.Answered + total.Partial + total.NotRun + total.Unknown + total.Errors).To(Equal(total.Sent))
		Expect(total.Answered).To(BeNumerically(">", 0))
		Expect(total.Necessary).To(BeNumerically(">", total.Sent))
	}, NodeTimeout(time.Minute))

	// Guards against checks that accept any answer.
	It("detects searchers that answer with wrong records", func(ctx context.Context) {
		summary := runCase(ctx, `{"name":"wrong","rate":60,"events":[{"at":"0s","do":"wrong","ratio":1}]}`, PolicyTier)
		Expect(summary.Rows[len(summary.Rows)-1].Violations.WrongRecord).To(BeNumerically(">", 0))
	}, NodeTimeout(time.Minute))

	// Guards against a check of snapshots that accepts answers merged from different
	// index versions, as PolicyNaive gives them while a new index is rolled out.
	It("OneSnapshot: catches two snapshots in answers of the naive version", func(ctx context.Context) {
		summary := runCase(ctx, `{"name":"roll","rate":60,"weights":{"command":0.1,"lookup":0.1},
			"events":[{"at":"0s","do":"roll","on":{"service":"exhibitor-portal"},"over":"2s"}]}`, PolicyNaive)
		total := summary.Rows[len(summary.Rows)-1]
		Expect(total.Violations.TwoSnapshots).To(BeNumerically(">", 0), "%+v", total)
	}, NodeTimeout(time.Minute))
})

var _ = Describe("checker", func() {
	half := keyspace.Range{From: 0, To: keyspace.Size / 2}
	data := standin.NewDataset("tag", 400, 1)
	terms := []string{"red"}
	var c *checker
	BeforeEach(func() {
		c = newChecker(map[string]*standin.Dataset{"s": data})
		c.groupRanges["low"] = half
	})
	check := func(a api.SearchResponse, limit int) Violations {
		a.Service, a.Snapshot = "s", 1
		return c.checkSearch(&api.SearchRequest{Terms: terms, Limit: limit}, &a)
	}
	all := data.Search(1, terms, 0)
	high := data.SearchRange(1, terms, 0, keyspace.Range{From: half.To, To: keyspace.Size})
	warn := []api.Warning{{Group: "low"}}

	// Guards against accepting an answer that claims more coverage than its records have,
	// and against rejecting a correct partial answer.
	DescribeTable("compares the coverage with the records and the warnings",
		func(a api.SearchResponse, limit int, want Violations) { Expect(check(a, limit)).To(Equal(want)) },
		Entry("full answer", api.SearchResponse{Coverage: 1, Records: all}, 0, Violations{}),
		Entry("answer up to the limit", api.SearchResponse{Coverage: 1, Records: all[:5]}, 5, Violations{}),
		Entry("partial answer with a warning", api.SearchResponse{Coverage: 0.5, Records: high, Warnings: warn}, 0, Violations{}),
		Entry("partial answer without a warning", api.SearchResponse{Coverage: 1, Records: high}, 0, Violations{OverCoverage: 1}),
		Entry("more coverage than the warnings permit", api.SearchResponse{Coverage: 0.9, Records: high, Warnings: warn}, 0, Violations{OverCoverage: 1}),
		Entry("a record missing outside the warnings", api.SearchResponse{Coverage: 0.5, Records: high[1:], Warnings: warn}, 0, Violations{OverCoverage: 1}),
		Entry("a record missing before the limit", api.SearchResponse{Coverage: 1, Records: all[1:6]}, 5, Violations{OverCoverage: 1}),
		Entry("a record twice", api.SearchResponse{Coverage: 1, Records: append([]coverage.Record{all[0]}, all...)}, 0, Violations{WrongRecord: 1}),
		Entry("another index version", api.SearchResponse{Coverage: 1, Records: data.Search(2, terms, 0)}, 0, Violations{TwoSnapshots: 1}),
	)
})

var _ = Describe("timeline", func() {
	// Guards against an oracle and a run with different faults.
	It("selects the same targets for the same seed", func() {
		d, err := fleet.Load("../../examples/riga")
		Expect(err).NotTo(HaveOccurred())
		c, err := ParseCase([]byte(`{"name":"x","load":1,"events":[{"at":"1s","every":"2s","for":"1s","do":"stuck","on":{"count":3}}]}`))
		Expect(err).NotTo(HaveOccurred())
		first, err := timeline(c, &d.Document, 7, 6*time.Second)
		Expect(err).NotTo(HaveOccurred())
		again, err := timeline(c, &d.Document, 7, 6*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(Equal(again))
		Expect(first).To(HaveLen(6)) // three events, each applied and undone
		Expect(first[0].targets).To(HaveLen(3))
	})
})
