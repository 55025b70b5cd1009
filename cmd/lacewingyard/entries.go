package main

import (
	"fmt"
	"io"
	"net/http"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/spf13/cobra"
)

func newEntries() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:     "entries",
		GroupID: "queries",
		Short:   "Show the host addresses that are given to callers",
		Example: "  lacewingyard entries --entry 127.0.0.1:8080",
		Args:    cobra.NoArgs,
	}
	format := outputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var answer api.EntriesResponse
		if err := callHost(cmd.Context(), http.MethodGet, address, "/v1/entries", nil, nil, &answer); err != nil {
			return err
		}
		return format.print(cmd.OutOrStdout(), answer, func(w io.Writer) {
			fmt.Fprintln(w, "HOST\tPLACE\tADDRESS")
			for _, e := range answer.Entries {
				fmt.Fprintf(w, "%s\t%s\t%s\n", e.Host, e.Place, e.Address)
			}
		})
	}
	cmd.Flags().StringVar(&address, "entry", "", "address of any entry host (IP:port)")
	_ = cmd.MarkFlagRequired("entry")
	return cmd
}
