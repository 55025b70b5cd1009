package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/spf13/cobra"
)

// queryFlags holds the flags of the query command.
type queryFlags struct {
	entry, service, priority, keyFile string

	terms       []string
	limit       int
	minCoverage float64
	deadline    time.Duration
	traced      bool
	format      *outputFormat
}

func newQuery() *cobra.Command {
	f := &queryFlags{}
	cmd := &cobra.Command{
		Use:     "query",
		GroupID: "queries",
		Short:   "Search a service and show the answer with its coverage",
		Long: "Search a service for records that contain all of the given words. The answer states\n" +
			"the coverage (the fraction of the key space that was searched), the snapshot from\n" +
			"which all records come, and the reason for each missing shard group. The exit\n" +
			"status of a partial answer is 0.",
		Example: "  lacewingyard query --entry 127.0.0.1:8080 --service tagdesk --term red --term wheel",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	f.format = outputFlag(cmd)
	flags := cmd.Flags()
	flags.StringVar(&f.entry, "entry", "", "address of an entry host (IP:port)")
	flags.StringVar(&f.service, "service", "", "service to search")
	flags.StringArrayVar(&f.terms, "term", nil, "word that records must contain; may be repeated")
	flags.IntVar(&f.limit, "limit", 20, "maximum number of records; 0 for all")
	flags.Float64Var(&f.minCoverage, "min-coverage", 0, "coverage, 0 to 1, that the search must reach before it may end early")
	flags.DurationVar(&f.deadline, "deadline", 0, "maximum time for the answer, such as 250ms; absent for the service's default")
	flags.BoolVar(&f.traced, "trace", false, "trace the request and write the trace identifier to standard error")
	keyFlag(cmd, &f.keyFile)
	flags.StringVar(&f.priority, "priority", "", "critical, interactive or batch; empty for the service's default")
	for _, name := range []string{"entry", "service", "term"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

func (f *queryFlags) run(cmd *cobra.Command) error {
	req := api.SearchRequest{Terms: f.terms, Limit: f.limit, MinCoverage: f.minCoverage}
	if err := req.Validate(); err != nil {
		return usageError{err}
	}
	header := http.Header{}
	if err := setKey(header, f.keyFile); err != nil {
		return usageError{err}
	}
	if err := setDeadline(cmd, header, f.deadline); err != nil {
		return usageError{err}
	}
	if f.priority != "" {
		if _, err := settings.ParsePriority(f.priority); err != nil {
			return usageError{err}
		}
		header.Set(api.HeaderPriority, f.priority)
	}
	if f.traced {
		traceRequest(cmd, header)
	}
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	var answer api.SearchResponse
	if err := callHost(cmd.Context(), http.MethodPost, f.entry, "/v1/services/"+f.service+"/search", header, bytes.NewReader(body), &answer); err != nil {
		return err
	}
	return f.format.print(cmd.OutOrStdout(), answer, func(w io.Writer) { printAnswer(w, &answer) })
}

func printAnswer(w io.Writer, answer *api.SearchResponse) {
	fmt.Fprintf(w, "outcome\t%s\ncoverage\t%.4f\nsnapshot\t%d\nelapsed\t%.1f ms\nrecords\t%d\n\n",
		answer.Outcome, answer.Coverage, answer.Snapshot, answer.ElapsedMS, len(answer.Records))
	for _, r := range answer.Records {
		fmt.Fprintf(w, "%s\t%s\n", r.ID, r.Text)
	}
	for _, warning := range answer.Warnings {
		fmt.Fprintf(w, "missing\t%s: %s: %s\n", warning.Group, warning.Reason, warning.Message)
	}
}
