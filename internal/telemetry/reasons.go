package telemetry

import (
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// reasons is the closed set of label values for a reason. Targets name reasons
// in their refusals, and a name outside the set must not make a series.
var reasons = map[outcome.Reason]bool{
	outcome.None: true, outcome.Overload: true, outcome.Busy: true, outcome.Deadline: true, outcome.Draining: true, outcome.PlaceOut: true,
	outcome.Quarantined: true, outcome.VersionGone: true, outcome.Unavailable: true, outcome.ConnLost: true,
	outcome.Silent: true, outcome.Canceled: true, outcome.Invalid: true, outcome.Internal: true,
}

// reasonLabel returns the label value of a reason.
func reasonLabel(r outcome.Reason) string {
	if reasons[r] {
		return string(r)
	}
	return "other"
}

// SubRequestDone counts the result of a sub-request.
func (m *Metrics) SubRequestDone(service string, o outcome.Outcome) {
	m.SubRequestResults.WithLabelValues(service, o.Kind.String(), reasonLabel(o.Reason)).Inc()
}
