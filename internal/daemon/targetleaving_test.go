package daemon_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/platform"
)

var _ = Describe("TargetLeaving", func() {
	const service, target = "exhibitor-portal", "exhibitor-portal-g03-r1"
	// Bound of the invariant TargetLeaving, from the first signal to the last request.
	const stopLimit = 3 * time.Second

	// Guards against a host that keeps sending requests to a leaving target after only
	// one of the two signals: the host list and the state that the target reports.
	DescribeTable("stops new work from all hosts",
		func(ctx context.Context, leave func(f *fleet.Fleet) error) {
			f := startFleet(ctx, riga, service, nil)
			counts := f.Searchers[target].Counts()
			got := func() int64 { return counts.Searches.Load() + counts.Drained.Load() }
			loadCtx, stop := context.WithCancel(ctx)
			var wg sync.WaitGroup
			defer wg.Wait()
			defer stop()
			wg.Go(func() {
				defer GinkgoRecover()
				for loadCtx.Err() == nil {
					drive(loadCtx, f, service, 8, 20*time.Millisecond)
				}
			})
			Eventually(got).WithTimeout(20 * time.Second).Should(BeNumerically(">", 5))
			before, all := got(), executedSearches(f)
			Expect(leave(f)).To(Succeed())
			left := time.Now()
			last, lastAt := got(), time.Duration(0)
			Eventually(func() time.Duration {
				if n := got(); n != last {
					last, lastAt = n, time.Since(left)
				}
				return time.Since(left)
			}).WithTimeout(2 * stopLimit).WithPolling(5 * time.Millisecond).Should(BeNumerically(">", stopLimit+time.Second))
			fmt.Fprintf(GinkgoWriter, "%d requests after the signal, the last after %s\n", last-before, lastAt)
			Expect(executedSearches(f)).To(BeNumerically(">", all+100), "the load on other targets must continue")
			Expect(lastAt).To(BeNumerically("<", stopLimit))
		},
		Entry("by the host list only", func(f *fleet.Fleet) error {
			return f.PublishHosts(func(l *platform.HostList) {
				l.Targets = append(l.Targets, platform.TargetState{ID: target, State: platform.HostLeaving})
			})
		}, NodeTimeout(time.Minute)),
		Entry("by its draining mark only", func(f *fleet.Fleet) error {
			f.Searchers[target].SetDraining(true)
			return nil
		}, NodeTimeout(time.Minute)),
	)
})
