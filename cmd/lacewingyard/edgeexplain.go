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
	var operator string
	cmd := &cobra.Command{
		Use:     "edge-explain HOST PATH",
		GroupID: "queries",
		Short:   "Show where a host on the users' platform would send a request",
		Long: "Show the route of a host name and a path in the configuration that a host has in\n" +
			"force, and for each service the target that it would choose now and why it would\n" +
			"not choose others. Nothing is sent.",
		Example: "  lacewingyard edge-explain --operators 10.1.0.39:9464 leno12.example /nono601/x",
		Args:    cobra.ExactArgs(2),
	}
	format := outputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		query := url.Values{edge.HostParam: {args[0]}, edge.PathParam: {args[1]}}
		var x engine.Explanation
		if err := call(cmd.Context(), http.MethodGet, operator, edge.ExplainPath+"?"+query.Encode(), nil, nil, &x); err != nil {
			return err
		}
		return format.print(cmd.OutOrStdout(), x, func(w io.Writer) { printExplanation(w, &x) })
	}
	operatorFlag(cmd, &operator)
	return cmd
}

func printExplanation(w io.Writer, x *engine.Explanation) {
	fmt.Fprintf(w, "route\t%s\nprefix\t%s\nconfiguration\t%d\nrevision\t%d\nrepeatable\t%t\nattempts\t%d\n",
		x.Route, x.Prefix, x.Config, x.Revision, x.Repeatable, x.Attempts)
	fmt.Fprintln(w, "\nSERVICE\tWEIGHT\tCHOICE")
	for _, s := range x.Services {
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
	for _, s := range x.Services {
		targets = append(targets, s.Targets...)
	}
	printTargets(w, targets)
}
