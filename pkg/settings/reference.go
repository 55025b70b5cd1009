package settings

import (
	"fmt"
	"strings"
)

// Reference returns the Markdown table of policy settings that
// docs/configuration.md contains.
func Reference() string {
	var b strings.Builder
	b.WriteString("| setting | levels | unit | accepted | default | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, f := range fields {
		levels := "fleet, place, service"
		if f.HostWide {
			levels = "fleet, place"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | `%s` | %s |\n", f.Name, levels, f.Unit, f.Range, f.Default, f.Doc)
	}
	return b.String()
}
