package main

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

// version is set by the release build with -ldflags "-X main.version=...".
var version = "development"

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		GroupID: "queries",
		Short:   "Print the version",
		Example: "  lacewingyard version",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "lacewingyard %s %s %s/%s\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return err
		},
	}
}
