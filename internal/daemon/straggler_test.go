package daemon_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/knownred"
	"github.com/lacewingyard/lacewingyard/internal/loadtest"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

var _ = Describe("Stragglers", Label(loadtest.Label), func() {
	const queries, warmupQueries = 500, 150
	const interval = 8 * time.Millisecond

	// run measures queries under stragglers with the given extra-load ratio. It returns
	// the results, the extra load as a fraction, and the deployment.
	run := func(ctx context.Context, ratio string) (*loadResult, float64, *fleet.Fleet) {
		f := startFleet(ctx, newEngland, "tagdesk", settings.Overrides{
			"early_finish_after": rawJSON(`"0s"`), "extra_load_ratio": rawJSON(ratio),
		})
		drive(ctx, f, "tagdesk", warmupQueries, interval)
		for id, s := range f.Searchers {
			s.SetFaults(standin.Faults{SlowRatio: 0.01, SlowFactor: 20, Stuck: id == "tagdesk-g03-r1"})
		}
		before := executedSearches(f)
		l := drive(ctx, f, "tagdesk", queries, interval)
		extra := float64(executedSearches(f)-before)/float64(l.sent*10) - 1
		AddReportEntry("load", fmt.Sprintf("ratio %s: p50 %s p99 %s coverage %.4f failed %d extra %.3f\n", ratio, l.latencyAt(50), l.latencyAt(99), l.meanCoverage(), l.failed, extra))
		Expect(l.wrongAnswer).NotTo(HaveOccurred())
		return l, extra, f
	}

	// Guards against queries as slow as their slowest target, against hedges beyond the
	// extra-load budget, and against superseded attempts that are not canceled.
	It("keeps p99 under a third of that without hedges within the extra load", func(ctx context.Context) {
		without, extra, _ := run(ctx, "0")
		Expect(extra).To(BeNumerically("<=", 0))
		with, extra, f := run(ctx, "0.05")
		Expect(extra).To(BeNumerically("<=", 0.05))
		Expect(with.meanCoverage()).To(BeNumerically(">=", 0.999))
		Eventually(f.Searchers["tagdesk-g03-r1"].Counts().Canceled.Load, time.Second).Should(BeNumerically(">", 0))
		knownred.Skip(GinkgoT(), "Stragglers keeps p99 under a third of that without hedges within the extra load")
		Expect(with.latencyAt(99)).To(BeNumerically("<=", without.latencyAt(99)/3), fmt.Sprint("without hedges ", without.latencyAt(99)))
	}, NodeTimeout(time.Minute))
})
