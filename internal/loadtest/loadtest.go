// Package loadtest keeps the specs that check latency or coverage under load
// apart from the others. The race detector multiplies the processor time of a
// query, so that on a small machine such a spec would measure the detector
// instead of the tier. Only tests use this package.
package loadtest

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
)

// Label marks a spec that checks latency or coverage under load.
const Label = "load"

// RunSpecs is ginkgo.RunSpecs, but with the race detector it leaves out the
// specs with Label, unless a label filter is given. .ci/test runs them without
// the detector.
func RunSpecs(t *testing.T, suite string) bool {
	t.Helper()
	config, reporter := ginkgo.GinkgoConfiguration()
	if raceDetector && config.LabelFilter == "" {
		config.LabelFilter = "!" + Label
	}
	return ginkgo.RunSpecs(t, suite, config, reporter)
}
