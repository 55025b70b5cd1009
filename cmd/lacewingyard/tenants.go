package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// tenantReport is a tenant in the output of check. It has no digest of a key.
type tenantReport struct {
	Name     string  `json:"name"`
	Keys     int     `json:"keys"`
	Priority string  `json:"priority,omitempty"`
	RatePerS float64 `json:"rate_per_s,omitempty"` // 0 for no limit
	Burst    float64 `json:"burst,omitempty"`
}

// maxPrintedTenants bounds the tenants of a table; JSON output has all.
const maxPrintedTenants = 50

func tenantReports(tree *settings.Tree) []tenantReport {
	reports := make([]tenantReport, len(tree.Doc.Tenants))
	for i, t := range tree.Doc.Tenants {
		reports[i] = tenantReport{Name: t.Name, Keys: len(t.KeyDigests), Priority: t.Priority, RatePerS: t.RatePerS, Burst: t.Burst}
	}
	return reports
}

// anonymousServices returns the services that take requests without a key.
func anonymousServices(tree *settings.Tree) []string {
	var names []string
	for name, s := range tree.Doc.Services {
		if tree.HasTenants() && s.Anonymous {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func printTenantReports(w io.Writer, tenants []tenantReport, anonymous []string) {
	fmt.Fprintf(w, "%d tenants; services without keys: %s\n", len(tenants), cmp.Or(strings.Join(anonymous, ", "), "none"))
	if len(tenants) == 0 {
		return
	}
	fmt.Fprintln(w, "\nTENANT\tKEYS\tPRIORITY\tRATE/s\tBURST")
	for _, t := range tenants[:min(len(tenants), maxPrintedTenants)] {
		rate, burst := formatLimit(&t)
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", t.Name, t.Keys, cmp.Or(t.Priority, "-"), rate, burst)
	}
	if more := len(tenants) - maxPrintedTenants; more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
}

// explainTenants prints how each tenant's requests to a service are treated.
func explainTenants(w io.Writer, tree *settings.Tree, place, service string) {
	anonymous := "no: requests without a known key get 401"
	if tree.Doc.Services[service].Anonymous {
		anonymous = "yes: requests without a known key are accepted"
	}
	fmt.Fprintf(w, "\nanonymous\t%s\n", anonymous)
	reports := tenantReports(tree)
	if len(reports) == 0 {
		return
	}
	fmt.Fprintln(w, "\nTENANT\tCLASS\tSET BY\tRATE/s\tBURST")
	for _, t := range reports[:min(len(reports), maxPrintedTenants)] {
		class, by := t.Priority, "tenant"
		if class == "" {
			class, by = tree.Effective(place, service).Priority.String(), "service"
		}
		rate, burst := formatLimit(&t)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", t.Name, class, by, rate, burst)
	}
}

func formatLimit(t *tenantReport) (rate, burst string) {
	if t.RatePerS == 0 {
		return "no limit", "-"
	}
	return fmt.Sprintf("%g", t.RatePerS), fmt.Sprintf("%g", t.Burst)
}
