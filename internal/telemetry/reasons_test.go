package telemetry

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// Guards against a reason that operators meet in a warning or a metric and
// cannot look up, and against reasons of targets that make series.
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
