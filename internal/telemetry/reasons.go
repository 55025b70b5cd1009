package telemetry

import (
	"slices"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// reasonLabel returns the label value of a reason: the reason itself if it is None or one
// of outcome.Reasons, and otherReason otherwise. Targets choose the reasons of their
// refusals, and an unknown reason must not create a series.
func reasonLabel(r outcome.Reason) string {
	if r == outcome.None || slices.Contains(allReasons, r) {
		return string(r)
	}
	return otherReason
}

// otherReason is the label value of a reason that is not one of outcome.Reasons.
const otherReason = "other"

var allReasons = outcome.Reasons()

// CountSubRequestResult counts the result of a sub-request.
func (m *Metrics) CountSubRequestResult(service string, o outcome.Outcome) {
	m.SubRequestResults.WithLabelValues(service, o.Kind.String(), reasonLabel(o.Reason)).Inc()
}
