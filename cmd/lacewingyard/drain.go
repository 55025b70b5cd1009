package main

import (
	"fmt"
	"io"
	"net/http"

	"github.com/lacewingyard/lacewingyard/internal/daemon"
	"github.com/spf13/cobra"
)

func newDrain() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:     "drain",
		GroupID: "commands",
		Short:   "Shut one host down gracefully",
		Long: "Shut one host down gracefully, as SIGTERM does: it is removed from the answers to\n" +
			"GET /v1/entries, accepts requests until cached answers have expired, finishes the\n" +
			"requests in progress and exits. The command returns at once; \"status\" shows the phase.",
		Example: "  lacewingyard drain --operators 127.0.0.1:8070",
		Args:    cobra.NoArgs,
	}
	format := outputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var answer daemon.DrainResponse
		if err := callHost(cmd.Context(), http.MethodPost, address, "/v1/drain", nil, nil, &answer); err != nil {
			return err
		}
		return format.print(cmd.OutOrStdout(), answer, func(w io.Writer) {
			fmt.Fprintf(w, "host\t%s\naccepts requests for\t%d ms\nopen requests may take\t%d ms more\n", answer.Host, answer.AcceptingMS, answer.GraceMS)
		})
	}
	cmd.Flags().StringVar(&address, "operators", "", "address of the host's operators' listener (IP:port)")
	_ = cmd.MarkFlagRequired("operators")
	return cmd
}
