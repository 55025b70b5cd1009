package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/lacewingyard/lacewingyard/internal/daemon"
	"github.com/spf13/cobra"
)

func newStatus() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:     "status",
		GroupID: "queries",
		Short:   "Show the state of one host and its view of the others",
		Long: "Show the state of one host: its phase, the configuration in force, places, services\n" +
			"with the coverage of the last minute, the other hosts by their last message, and the\n" +
			"targets that it owns. docs/operators/observing.md explains each column.",
		Example: "  lacewingyard status --operators 127.0.0.1:8070",
		Args:    cobra.NoArgs,
	}
	format := outputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var status daemon.Status
		if err := callHost(cmd.Context(), http.MethodGet, address, "/status", nil, nil, &status); err != nil {
			return err
		}
		return format.print(cmd.OutOrStdout(), status, func(w io.Writer) { printStatus(w, &status) })
	}
	cmd.Flags().StringVar(&address, "operators", "", "address of the host's operators' listener (IP:port)")
	_ = cmd.MarkFlagRequired("operators")
	return cmd
}

func printStatus(w io.Writer, s *daemon.Status) {
	fmt.Fprintf(w, "host\t%s\nplace\t%s\nordinal\t%d\nphase\t%s\nmay start work\t%t\nopen requests\t%d\n",
		s.Host, s.Place, s.Ordinal, s.Phase, s.Control.Ready, s.Open)
	fmt.Fprintf(w, "configuration version\t%d\nconfiguration age\t%.0f s\nconfigurations refused\t%d\nhost list version\t%d\n",
		s.ConfigVersion, s.ConfigAgeSeconds, s.Control.Config.Refused, s.HostsVersion)
	if s.Control.LastRefusal != "" {
		fmt.Fprintf(w, "last refusal\t%s\n", s.Control.LastRefusal)
	}
	fmt.Fprintln(w, "\nPLACE\tSTATE\tORDINALS\tTAKE WORK\tHEARD\tIN USE HERE")
	for _, p := range s.Places {
		inUse := "-" // slots in use are reported only within the host's own place
		if p.Name == s.Place {
			inUse = fmt.Sprint(p.InUse)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", p.Name, p.State, p.Hosts, p.Live, p.Heard, inUse)
	}
	fmt.Fprintln(w, "\nSERVICE\tKIND\tGROUPS\tUNUSABLE\tANSWERS/MIN\tFAILED\tCOVERAGE\tLOWEST")
	for _, v := range s.Services {
		mean, lowest := "-", "-"
		if v.Searches > 0 {
			mean, lowest = fmt.Sprintf("%.4f", v.CoverageMean), fmt.Sprintf("%.4f", v.CoverageMin)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n", v.Service, v.Kind, v.Groups, len(v.Unusable), v.Answers, v.Failed, mean, lowest)
	}
	if s.HasTenants {
		fmt.Fprintln(w)
		printTenants(w, s.Tenants)
		fmt.Fprintf(w, "requests without a known key\t%d\n", s.UnknownKeys)
	}
	fmt.Fprintln(w, "\nHOST\tPLACE\tORDINAL\tLIST\tPHASE\tLAST MESSAGE\tLOAD\tCONFIGURATION")
	for _, h := range s.Hosts {
		age := "never"
		if h.AgeSeconds != nil {
			age = fmt.Sprintf("%.1f s ago", *h.AgeSeconds)
		}
		switch {
		case h.Self:
			age = "this host"
		case h.Silent:
			age = "silent, " + age
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%.2f\t%d\n", h.Name, h.Place, h.Ordinal, h.State, h.Phase, age, h.Load, h.ConfigVersion)
	}
	fmt.Fprintln(w, "\nTARGET\tSERVICE\tRANK\tSTATE\tIN USE\tSLOTS\tWAITING\tSERVICE ms\tUSUAL ms")
	for _, t := range s.Targets {
		state := t.State
		if t.Suspect {
			state += ", suspect"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\t%s\n", t.Target, t.Service, t.Rank, state, t.InUse, t.Slots, t.Queue, formatEstimate(t.ServiceMS), formatEstimate(t.UsualMS))
	}
	if len(s.Quarantined) > 0 {
		fmt.Fprintln(w, "\nQUERY\tSTATE\tREFUSED FOR s\tTARGETS THAT DIED")
	}
	for _, q := range s.Quarantined {
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%s\n", q.Fingerprint, q.State, q.LeftSeconds, strings.Join(q.Targets, " "))
	}
}

// printTenants prints tenants with their limits and their use.
func printTenants(w io.Writer, tenants []daemon.TenantStatus) {
	fmt.Fprintln(w, "TENANT\tKEYS\tPRIORITY\tRATE/s\tBURST\tREQUESTS\tOVER RATE\tTOKENS HERE\tGRANTED BY")
	for _, t := range tenants {
		rate, burst, tokens, granter := "-", "-", "-", "-"
		if t.RatePerS > 0 {
			rate, burst, tokens, granter = fmt.Sprintf("%g", t.RatePerS), fmt.Sprintf("%g", t.Burst), fmt.Sprintf("%.0f", t.Tokens), cmp.Or(t.GrantingHost, "no host")
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", t.Name, t.Keys, cmp.Or(t.Priority, "-"), rate, burst, t.Requests, t.Refused, tokens, granter)
	}
}

// formatEstimate formats an estimated time in milliseconds; 0 means that there is no
// estimate yet.
func formatEstimate(ms float64) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", ms)
}
