package main

import (
	"fmt"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/spf13/cobra"
)

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		GroupID: "queries",
		Short:   "Check a configuration document",
		Long:    "Check a configuration document and list every fault with its path.",
		Example: "  lacewingyard check examples/riga/config.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			tree, err := settings.LoadDocument(args[0])
			if err != nil {
				return usageError{err}
			}
			targets := 0
			tree.Targets(func(*settings.TargetInfo) { targets++ })
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "version %d is valid: %d places, %d services, %d targets\n",
				tree.Doc.Version, len(tree.Doc.Places), len(tree.Doc.Services), targets)
			return err
		},
	}
}
