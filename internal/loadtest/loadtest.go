// Package loadtest runs Ginkgo suites whose specs with Label check latency or
// coverage under load. The race detector multiplies the processor time of a query,
// so on a small machine such a spec would measure the detector instead of the tier;
// RunSpecs excludes these specs under the detector. The package also reports failures that coincide with late
// timers. It does not change the result of a spec.
//
// Only tests use the package. It keeps state of the process and supports one suite
// per test binary, with serial specs.
package loadtest

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"

	"github.com/lacewingyard/lacewingyard/internal/timerlag"
)

// Label marks a spec that checks latency or coverage under load.
const Label = "load"

// invalidRun is printed when timers were late during every failed spec, which makes
// the run invalid as a measurement.
const invalidRun = "loadtest: invalid run: timers were late during every failed spec"

var (
	lag                     *timerlag.Meter // nil unless the label filter is Label
	failed, failedWithDelay int             // number of failed specs, and of those with late timers
)

// RunSpecs is ginkgo.RunSpecs, except that under the race detector it excludes the
// specs with Label unless a label filter is given. .ci/load runs these specs without
// the race detector.
func RunSpecs(t *testing.T, suite string) bool {
	t.Helper()
	config, reporter := ginkgo.GinkgoConfiguration()
	if raceDetector && config.LabelFilter == "" {
		config.LabelFilter = "!" + Label
	}
	if config.LabelFilter == Label {
		lag = timerlag.Start()
		defer lag.Stop()
	}
	passed := ginkgo.RunSpecs(t, suite, config, reporter)
	if failed > 0 && failed == failedWithDelay {
		fmt.Println(invalidRun)
	}
	return passed
}

var _ = ginkgo.BeforeEach(func() {
	if lag != nil {
		lag.Reset()
	}
})

var _ = ginkgo.ReportAfterEach(func(report ginkgo.SpecReport) {
	if lag == nil || !report.Failed() {
		return
	}
	failed++
	if p99 := lag.P99(); p99 > timerlag.Limit {
		failedWithDelay++
		fmt.Printf("loadtest: %q failed with a p99 timer delay of %s\n", report.FullText(), p99)
	}
})
