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

// lookupFlags holds the flags of the lookup command.
type lookupFlags struct {
	entry, service, id, requestID, keyFile string

	deadline time.Duration
	traced   bool
	format   *outputFormat
}

func newLookup() *cobra.Command {
	f := &lookupFlags{}
	cmd := &cobra.Command{
		Use:     "lookup",
		GroupID: "commands",
		Short:   "Read one record, at most once if the service requires it",
		Long: "Read one record. The request identifier is written to standard error; a request\n" +
			"that is sent again with this identifier in --request-id does not run a second time.",
		Example: "  lacewingyard lookup --entry 127.0.0.1:8080 --service renewals --id renewal-000007",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	f.format = outputFlag(cmd)
	flags := cmd.Flags()
	flags.StringVar(&f.entry, "entry", "", "address of an entry host (IP:port)")
	flags.StringVar(&f.service, "service", "", "service that holds the record")
	flags.StringVar(&f.id, "id", "", "identifier of the record")
	flags.StringVar(&f.requestID, "request-id", "", "identifier of an earlier request to send again; empty for a new request")
	keyFlag(cmd, &f.keyFile)
	flags.BoolVar(&f.traced, "trace", false, "trace the request and write the trace identifier to standard error")
	flags.DurationVar(&f.deadline, "deadline", 0, "maximum time for the answer, such as 250ms; absent for the service's default")
	for _, name := range []string{"entry", "service", "id"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

func (f *lookupFlags) run(cmd *cobra.Command) error {
	req := api.LookupRequest{ID: f.id}
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
	if f.requestID == "" {
		var ticket api.TicketResponse
		if err := callHost(cmd.Context(), http.MethodPost, f.entry, "/v1/tickets", header, nil, &ticket); err != nil {
			return err
		}
		f.requestID = ticket.TicketPrefix + uuid.NewString()
	}
	fmt.Fprintln(cmd.ErrOrStderr(), "request-id:", f.requestID)
	header.Set(api.HeaderRequestID, f.requestID)
	if f.traced {
		traceRequest(cmd, header)
	}
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	var answer api.LookupResponse
	if err := callHost(cmd.Context(), http.MethodPost, f.entry, "/v1/services/"+f.service+"/lookup", header, bytes.NewReader(body), &answer); err != nil {
		return err
	}
	return f.format.print(cmd.OutOrStdout(), answer, func(w io.Writer) {
		fmt.Fprintf(w, "outcome\t%s\nfound\t%t\nsnapshot\t%d\nelapsed\t%.1f ms\n", answer.Outcome, answer.Found, answer.Snapshot, answer.ElapsedMS)
		if answer.Record != nil {
			fmt.Fprintf(w, "%s\t%s\n", answer.Record.ID, answer.Record.Text)
		}
	})
}
