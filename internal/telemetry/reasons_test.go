package telemetry

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// Guards against a reason in warnings and metrics that the operators' documentation does
// not explain, and against reasons of targets that create series.
func TestReasonsAreExplainedAndBounded(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/operators/coverage.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, r := range outcome.Reasons() {
		g.Expect(string(page)).To(MatchRegexp("(?m)^\\|[^|]*`" + string(r) + "`[^|]*\\|"))
		g.Expect(reasonLabel(r)).To(Equal(string(r)))
	}
	g.Expect(string(page)).To(ContainSubstring("`" + otherReason + "`"))
	g.Expect(reasonLabel("made-up-by-a-target")).To(Equal(otherReason))
}
