package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/spf13/cobra"
)

func newExplain() *cobra.Command {
	var file, place, service string
	cmd := &cobra.Command{
		Use:     "explain",
		GroupID: "queries",
		Short:   "Show the effective settings and the level that sets each",
		Long: "Show for one service in one place the effective value of each setting, the level\n" +
			"that sets it and the values of other levels that it overrules. If the document has\n" +
			"tenants, the table also shows the class and the rate limit of each one's requests.",
		Example: "  lacewingyard explain --config examples/riga/config.json --place riga-a --service order-desk",
		Args:    cobra.NoArgs,
	}
	format := outputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		tree, err := settings.LoadDocument(file)
		if err != nil {
			return usageError{err}
		}
		if _, ok := tree.Doc.Places[place]; !ok {
			return usageError{fmt.Errorf("%s: no place %q, the places are %s", file, place, joinKeys(tree.Doc.Places))}
		}
		if _, ok := tree.Doc.Services[service]; !ok {
			return usageError{fmt.Errorf("%s: no service %q, the services are %s", file, service, joinKeys(tree.Doc.Services))}
		}
		explained := tree.Explain(place, service)
		return format.print(cmd.OutOrStdout(), explained, func(w io.Writer) {
			fmt.Fprintln(w, "FIELD\tVALUE\tLEVEL\tOVERRULED")
			for _, e := range explained {
				overruled := make([]string, len(e.Overruled))
				for i, v := range e.Overruled {
					overruled[i] = fmt.Sprintf("%s %s", v.Level, v.Value)
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Field, e.Value, e.Level, strings.Join(overruled, ", "))
			}
			if tree.HasTenants() {
				explainTenants(w, tree, place, service)
			}
		})
	}
	cmd.Flags().StringVar(&file, "config", "", "configuration document (JSON)")
	cmd.Flags().StringVar(&place, "place", "", "place")
	cmd.Flags().StringVar(&service, "service", "", "service")
	for _, name := range []string{"config", "place", "service"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

// joinKeys returns the sorted keys of a map, separated by commas.
func joinKeys[V any](m map[string]V) string { return strings.Join(slices.Sorted(maps.Keys(m)), ", ") }
