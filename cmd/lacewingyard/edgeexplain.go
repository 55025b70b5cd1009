package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/lacewingyard/lacewingyard/internal/edge"
	"github.com/lacewingyard/lacewingyard/internal/engine"
	"github.com/spf13/cobra"
)

func newEdgeExplain() *cobra.Command {
	var address, tenant string
	cmd := &cobra.Command{
		Use:     "edge-explain [HOST PATH]",
		GroupID: "queries",
		Short:   "Show where a host on the users' platform would send a request, or the limit of a tenant",
		Long: "Show the route of a host name and a path in the configuration that is in force at\n" +
			"a host, and for each service the target that the host would choose now and the\n" +
			"state of every target. No request is sent to a target. With --tenant, show the\n" +
			"limit of a tenant, its granting host and the tokens that the host holds for it.",
		Example: "  lacewingyard edge-explain --operators 10.1.0.39:9464 leno12.example /nono601/x\n" +
			"  lacewingyard edge-explain --operators 10.1.0.39:9464 --tenant alder",
		Args: func(cmd *cobra.Command, args []string) error {
			if tenant != "" {
				return cobra.NoArgs(cmd, args)
			}
			return cobra.ExactArgs(2)(cmd, args)
		},
	}
	format := outputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if tenant != "" {
			var explanation edge.TenantExplanation
			if err := callHost(cmd.Context(), http.MethodGet, address, edge.ExplainPath+"?"+url.Values{edge.TenantParam: {tenant}}.Encode(), nil, nil, &explanation); err != nil {
				return err
			}
			return format.print(cmd.OutOrStdout(), explanation, func(w io.Writer) { printTenant(w, &explanation) })
		}
		query := url.Values{edge.HostParam: {args[0]}, edge.PathParam: {args[1]}}
		var explanation engine.Explanation
		if err := callHost(cmd.Context(), http.MethodGet, address, edge.ExplainPath+"?"+query.Encode(), nil, nil, &explanation); err != nil {
			return err
		}
		return format.print(cmd.OutOrStdout(), explanation, func(w io.Writer) { printExplanation(w, &explanation) })
	}
	operatorsFlag(cmd, &address)
	cmd.Flags().StringVar(&tenant, "tenant", "", "name of a tenant to explain, in place of HOST and PATH")
	return cmd
}

func printTenant(w io.Writer, t *edge.TenantExplanation) {
	priority, limit := "that of the route", "none"
	if t.Priority != nil {
		priority = fmt.Sprint(*t.Priority)
	}
	if t.RatePerS > 0 {
		limit = fmt.Sprintf("%g/s, burst %g", t.RatePerS, t.Burst)
	}
	fmt.Fprintf(w, "tenant\t%s\nconfiguration\t%d\nstate\t%s\nkeys\t%d\npriority\t%s\nlimit\t%s\n",
		t.Tenant, t.Config, describeState(t.Era, t.Revision, t.ConfirmedBy, t.ConfirmedAgeMS), t.Keys, priority, limit)
	if t.RatePerS > 0 {
		fmt.Fprintf(w, "granting host\t%s\ngrants here\t%t\ntokens held\t%.1f\nrequests\t%.1f/s\nover its limit\t%t\nrefused\t%d\n",
			orNone(t.GrantingHost), t.GrantsHere, t.Tokens, t.DemandPerS, t.OverLimit, t.Refused)
	}
}

func describeState(era, revision uint64, confirmedBy string, confirmedAgeMS int64) string {
	return fmt.Sprintf("era %d, revision %d, confirmed by %s %d ms ago", era, revision, orNone(confirmedBy), confirmedAgeMS)
}

func printExplanation(w io.Writer, explanation *engine.Explanation) {
	fmt.Fprintf(w, "route\t%s\nprefix\t%s\nconfiguration\t%d\nstate\t%s\nrepeatable\t%t\nattempts\t%d\n",
		explanation.Route, explanation.Prefix, explanation.Config,
		describeState(explanation.Era, explanation.Revision, explanation.ConfirmedBy, explanation.ConfirmedAgeMS), explanation.Repeatable, explanation.Attempts)
	fmt.Fprintln(w, "\nSERVICE\tWEIGHT\tCHOICE")
	for _, s := range explanation.Services {
		weight, choice := "-", s.Choice
		if s.Weight > 0 {
			weight = fmt.Sprintf("%g", s.Weight)
		}
		if choice == "" {
			choice = "none"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", s.Service, weight, choice)
	}
	var targets []engine.TargetReport
	for _, s := range explanation.Services {
		targets = append(targets, s.Targets...)
	}
	printTargets(w, targets)
}
