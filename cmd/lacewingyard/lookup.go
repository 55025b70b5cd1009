package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/spf13/cobra"
)

func newLookup() *cobra.Command {
	var entry, service, id, requestID string
	var deadline time.Duration
	var traced bool
	cmd := &cobra.Command{
		Use:     "lookup",
		GroupID: "commands",
		Short:   "Read one record, at most once if the service demands it",
		Long: "Read one record. The request identifier is written to standard error; a request\n" +
			"that is sent again with --request-id does not run a second time.",
		Example: "  lacewingyard lookup --entry 127.0.0.1:8080 --service renewals --id renewal-000007",
		Args:    cobra.NoArgs,
	}
	format := outputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		req := api.LookupRequest{ID: id}
		if err := req.Check(); err != nil {
			return usageError{err}
		}
		header := http.Header{}
		if err := setDeadline(cmd, header, deadline); err != nil {
			return usageError{err}
		}
		if requestID == "" {
			var ticket api.TicketResponse
			if err := call(cmd.Context(), http.MethodPost, entry, "/v1/tickets", nil, nil, &ticket); err != nil {
				return err
			}
			requestID = ticket.TicketPrefix + uuid.NewString()
		}
		fmt.Fprintln(cmd.ErrOrStderr(), "request-id:", requestID)
		body, err := json.Marshal(req)
		if err != nil {
			return err
		}
		header.Set(api.HeaderRequestID, requestID)
		if traced {
			traceRequest(cmd, header)
		}
		var answer api.LookupResponse
		if err := call(cmd.Context(), http.MethodPost, entry, "/v1/services/"+service+"/lookup", header, bytes.NewReader(body), &answer); err != nil {
			return err
		}
		return format.print(cmd.OutOrStdout(), answer, func(w io.Writer) {
			fmt.Fprintf(w, "outcome\t%s\nfound\t%t\nsnapshot\t%d\nelapsed\t%.1f ms\n", answer.Outcome, answer.Found, answer.Snapshot, answer.ElapsedMS)
			if answer.Record != nil {
				fmt.Fprintf(w, "%s\t%s\n", answer.Record.ID, answer.Record.Text)
			}
		})
	}
	flags := cmd.Flags()
	flags.StringVar(&entry, "entry", "", "address of an entry host (IP:port)")
	flags.StringVar(&service, "service", "", "service to ask")
	flags.StringVar(&id, "id", "", "identifier of the record")
	flags.StringVar(&requestID, "request-id", "", "identifier of a request that is sent again; empty for a new one")
	flags.BoolVar(&traced, "trace", false, "trace the request and write the trace's identifier to standard error")
	flags.DurationVar(&deadline, "deadline", 0, "time the answer may take; 0 for the service's default")
	for _, name := range []string{"entry", "service", "id"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}
