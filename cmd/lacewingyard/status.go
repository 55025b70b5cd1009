package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/lacewingyard/lacewingyard/internal/daemon"
	"github.com/spf13/cobra"
)

func newStatus() *cobra.Command {
	var operator string
	cmd := &cobra.Command{
		Use:     "status",
		GroupID: "queries",
		Short:   "Show the state of one host",
		Example: "  lacewingyard status --operators 127.0.0.1:8070",
		Args:    cobra.NoArgs,
	}
	format := outputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var status daemon.Status
		if err := call(cmd.Context(), http.MethodGet, operator, "/status", nil, nil, &status); err != nil {
			return err
		}
		return format.print(cmd.OutOrStdout(), status, func(w io.Writer) {
			fmt.Fprintf(w, "host\t%s\nplace\t%s\nordinal\t%d\nphase\t%s\nopen requests\t%d\nconfiguration version\t%d\nhost list version\t%d\n",
				status.Host, status.Place, status.Ordinal, status.Phase, status.Open, status.ConfigVersion, status.HostsVersion)
			names := make([]string, 0, len(status.Places))
			for name := range status.Places {
				names = append(names, name)
			}
			slices.Sort(names)
			for _, name := range names {
				fmt.Fprintf(w, "place %s\t%s\n", name, status.Places[name])
			}
			fmt.Fprintf(w, "configuration age\t%.0f s\nconfigurations refused\t%d\n", status.ConfigAgeSeconds, status.Control.Config.Refused)
			for _, h := range status.Hosts {
				fmt.Fprintf(w, "host %s\t%s, %s, heard %t\n", h.Name, h.Place, h.State, h.Heard)
			}
			for _, t := range status.Targets {
				fmt.Fprintf(w, "target %s\t%s, %d of %d slots, %d waiting, usually %.1f ms\n", t.Target, t.State, t.InUse, t.Slots, t.Queue, t.UsualMS)
			}
			for _, q := range status.Quarantined {
				fmt.Fprintf(w, "query %s\t%s, %d deaths\n", q.Fingerprint, q.State, q.Deaths)
			}
		})
	}
	cmd.Flags().StringVar(&operator, "operators", "", "address of the host's operators' listener (IP:port)")
	_ = cmd.MarkFlagRequired("operators")
	return cmd
}
