package settings

import (
	"fmt"
	"strings"
)

// Reference returns the table of policy settings for the reference page.
func Reference() string {
	var b strings.Builder
	b.WriteString("| setting | unit | accepted | default | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, f := range fields {
		fmt.Fprintf(&b, "| `%s` | %s | %s | `%s` | %s |\n", f.Name, f.Unit, f.Range, f.Default, f.Doc)
	}
	return b.String()
}
