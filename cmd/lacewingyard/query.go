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

func newQuery() *cobra.Command {
	var entry, service, priority string
	var terms []string
	var limit int
	var minCoverage float64
	var deadline time.Duration
	var traced bool
	cmd := &cobra.Command{
		Use:     "query",
		GroupID: "queries",
		Short:   "Search a service and show the answer with its coverage",
		Long: "Search a service for records that hold all of the given words. The answer states\n" +
			"the coverage, the fraction of the key space that was searched, the one snapshot of\n" +
			"all records, and for each shard group that is missing the reason. A partial answer\n" +
			"is an answer: the exit status is 0.",
		Example: "  lacewingyard query --entry 127.0.0.1:8080 --service tagdesk --term red --term wheel",
		Args:    cobra.NoArgs,
	}
	format := outputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		req := api.SearchRequest{Terms: terms, Limit: limit, MinCoverage: minCoverage}
		if err := req.Check(); err != nil {
			return usageError{err}
		}
		body, err := json.Marshal(req)
		if err != nil {
			return err
		}
		header := http.Header{}
		if err := setDeadline(cmd, header, deadline); err != nil {
			return usageError{err}
		}
		if priority != "" {
			if _, err := settings.ParsePriority(priority); err != nil {
				return usageError{err}
			}
			header.Set(api.HeaderPriority, priority)
		}
		if traced {
			traceRequest(cmd, header)
		}
		var answer api.SearchResponse
		if err := call(cmd.Context(), http.MethodPost, entry, "/v1/services/"+service+"/search", header, bytes.NewReader(body), &answer); err != nil {
			return err
		}
		return format.print(cmd.OutOrStdout(), answer, func(w io.Writer) {
			fmt.Fprintf(w, "outcome\t%s\ncoverage\t%.4f\nsnapshot\t%d\nelapsed\t%.1f ms\nrecords\t%d\n\n",
				answer.Outcome, answer.Coverage, answer.Snapshot, answer.ElapsedMS, len(answer.Records))
			for _, r := range answer.Records {
				fmt.Fprintf(w, "%s\t%s\n", r.ID, r.Text)
			}
			for _, warning := range answer.Warnings {
				fmt.Fprintf(w, "missing\t%s: %s %s\n", warning.Group, warning.Reason, warning.Message)
			}
		})
	}
	flags := cmd.Flags()
	flags.StringVar(&entry, "entry", "", "address of an entry host (IP:port)")
	flags.StringVar(&service, "service", "", "service to search")
	flags.StringArrayVar(&terms, "term", nil, "word that records must hold; may be given several times")
	flags.IntVar(&limit, "limit", 20, "records wanted; 0 for all")
	flags.Float64Var(&minCoverage, "min-coverage", 0, "coverage below which the search must not end early")
	flags.DurationVar(&deadline, "deadline", 0, "time the answer may take; 0 for the service's default")
	flags.BoolVar(&traced, "trace", false, "trace the request and write the trace's identifier to standard error")
	flags.StringVar(&priority, "priority", "", "critical, interactive or batch; empty for the service's default")
	for _, name := range []string{"entry", "service", "term"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}
