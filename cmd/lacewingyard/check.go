package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/spf13/cobra"
)

// checkReport is the output of check: a summary of a valid document or, as JSON
// only, the faults of an invalid one.
type checkReport struct {
	Version  uint64         `json:"version"`
	Places   int            `json:"places"`
	Services int            `json:"services"`
	Targets  int            `json:"targets"`
	Tenants  []tenantReport `json:"tenants,omitempty"`
	// Anonymous are the services that take requests without a key; only with tenants.
	Anonymous []string         `json:"anonymous,omitempty"`
	Faults    []settings.Fault `json:"faults,omitempty"`
}

func newCheck() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "check FILE",
		GroupID: "queries",
		Short:   "Check a configuration document",
		Long: "Check a configuration document. Each fault is written to standard error on a line\n" +
			"of its own, with the file and the path of the field, and with -o json also to\n" +
			"standard output as \"faults\". The exit status is 2 if there are faults.",
		Example: "  lacewingyard check examples/riga/config.json",
		Args:    cobra.ExactArgs(1),
	}
	format := outputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		tree, err := settings.LoadDocument(args[0])
		if err != nil {
			var invalid *settings.InvalidError
			if *format == "json" && errors.As(err, &invalid) {
				if err := format.print(cmd.OutOrStdout(), checkReport{Faults: invalid.Faults}, nil); err != nil {
					return err
				}
			}
			return usageError{faultsError(args[0], err)}
		}
		report := checkReport{Version: tree.Doc.Version, Places: len(tree.Doc.Places), Services: len(tree.Doc.Services)}
		tree.Targets(func(*settings.TargetInfo) { report.Targets++ })
		report.Tenants, report.Anonymous = tenantReports(tree), anonymousServices(tree)
		return format.print(cmd.OutOrStdout(), report, func(w io.Writer) {
			fmt.Fprintf(w, "version %d is valid: %d places, %d services, %d targets\n", report.Version, report.Places, report.Services, report.Targets)
			if tree.HasTenants() {
				printTenantReports(w, report.Tenants, report.Anonymous)
			}
		})
	}
	return cmd
}

// faultsError returns an error whose text lists the faults of a file, one per line.
// An error that is not an InvalidError is returned unchanged.
func faultsError(file string, err error) error {
	var invalid *settings.InvalidError
	if !errors.As(err, &invalid) {
		return err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s is refused, faults: %d", file, len(invalid.Faults))
	for _, fault := range invalid.Faults {
		fmt.Fprintf(&text, "\n%s: %s", file, fault)
	}
	return errors.New(text.String())
}
