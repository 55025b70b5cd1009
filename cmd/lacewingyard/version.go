package main

import (
	"fmt"
	"io"
	"runtime"

	"github.com/spf13/cobra"
)

// version is set by the release build with -ldflags "-X main.version=...".
var version = "development"

// versionReport is the output of the version command.
type versionReport struct {
	Version string `json:"version"`
	Go      string `json:"go"`
	OS      string `json:"os"`
	Arch    string `json:"arch"`
}

func newVersion() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "version",
		GroupID: "queries",
		Short:   "Print the version of the binary",
		Example: "  lacewingyard version",
		Args:    cobra.NoArgs,
	}
	format := outputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		v := versionReport{Version: version, Go: runtime.Version(), OS: runtime.GOOS, Arch: runtime.GOARCH}
		return format.print(cmd.OutOrStdout(), v, func(w io.Writer) {
			fmt.Fprintf(w, "lacewingyard %s %s %s/%s\n", v.Version, v.Go, v.OS, v.Arch)
		})
	}
	return cmd
}
