// Package api defines the JSON bodies that callers exchange with the tier and
// the form of its errors. The handlers are in the packages queries, for what
// only asks, and commands, for what may change something.
package api

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Header names of the caller protocol.
const (
	HeaderRequestID = "Request-Id"
	HeaderDeadline  = "Deadline-Ms" // milliseconds from now
	HeaderPriority  = "Priority"
	HeaderTrace     = "Traceparent"
)

// Limits of a search.
const (
	maxTerms     = 32
	maxTermBytes = 256
	maxLimit     = 10000
	maxIDBytes   = 256
)

// Meta is what the headers of a request say.
type Meta struct {
	RequestID   string
	Deadline    time.Duration // from now; 0 if not stated
	Priority    settings.Priority
	HasPriority bool
	Traceparent string
}

// SearchRequest is the body of POST /v1/services/{service}/search.
type SearchRequest struct {
	Terms []string `json:"terms"` // a record matches if its text holds all of them
	Limit int      `json:"limit"` // records wanted, in order of identifier; 0 for all
	// MinCoverage is the coverage below which the search must not end early;
	// it raises the service's early_finish_coverage and never lowers it.
	MinCoverage float64 `json:"min_coverage,omitempty"`
}

// SearchResponse is the answer to a search.
type SearchResponse struct {
	RequestID string            `json:"request_id"`
	Service   string            `json:"service"`
	Outcome   outcome.Kind      `json:"outcome"`
	Coverage  float64           `json:"coverage"` // fraction of the key space, 0 to 1
	Snapshot  uint64            `json:"snapshot"` // index version of the whole answer
	Records   []coverage.Record `json:"records"`
	Warnings  []Warning         `json:"warnings,omitempty"` // what is missing and why
	ElapsedMS float64           `json:"elapsed_ms"`
}

// Warning names a shard group that is missing from an answer.
type Warning struct {
	Group   string         `json:"group"`
	Reason  outcome.Reason `json:"reason"`
	Message string         `json:"message,omitempty"`
}

// LookupRequest is the body of POST /v1/services/{service}/lookup.
type LookupRequest struct {
	ID string `json:"id"`
}

// LookupResponse is the answer to a lookup.
type LookupResponse struct {
	RequestID string           `json:"request_id"`
	Service   string           `json:"service"`
	Outcome   outcome.Kind     `json:"outcome"`
	Found     bool             `json:"found"`
	Record    *coverage.Record `json:"record,omitempty"`
	Snapshot  uint64           `json:"snapshot"`
	ElapsedMS float64          `json:"elapsed_ms"`
}

// EntriesResponse is the answer to GET /v1/entries.
type EntriesResponse struct {
	Entries []Entry `json:"entries"` // in order of preference
	TTLMS   int64   `json:"ttl_ms"`  // how long the answer may be kept
}

// Entry is one address that a caller may use.
type Entry struct {
	Host    string `json:"host"`
	Place   string `json:"place"`
	Address string `json:"address"` // IP and port
	// TicketPrefix starts the identifiers of requests that may not be
	// repeated; only the answering host has one.
	TicketPrefix string `json:"ticket_prefix,omitempty"`
}

// TicketResponse is the answer to POST /v1/tickets.
type TicketResponse struct {
	Host         string `json:"host"`          // the home of the requests
	TicketPrefix string `json:"ticket_prefix"` // with a unique suffix it is a request identifier
	TTLMS        int64  `json:"ttl_ms"`        // how long it may be used
}

// Error is the one form of every error answer.
type Error struct {
	Outcome      outcome.Kind   `json:"outcome"`
	Reason       outcome.Reason `json:"reason"`
	Message      string         `json:"message"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
}

// WriteJSON writes a body with a status. A failed write means that the caller
// has gone, which needs no handling.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteOutcome writes an outcome other than an answer as an error body.
func WriteOutcome(w http.ResponseWriter, o outcome.Outcome) {
	if o.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(o.RetryAfter.Seconds())+1))
	}
	WriteJSON(w, status(o), Error{
		Outcome: o.Kind, Reason: o.Reason, Message: o.Message, RetryAfterMS: o.RetryAfter.Milliseconds(),
	})
}

// status maps an outcome to an HTTP status.
func status(o outcome.Outcome) int {
	switch {
	case o.Kind != outcome.NotRun:
		return http.StatusGatewayTimeout
	case o.Reason == outcome.Invalid:
		return http.StatusBadRequest
	case o.Reason == outcome.Overload:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// ReadMeta reads the headers that every request may carry.
func ReadMeta(h http.Header) (Meta, error) {
	m := Meta{RequestID: h.Get(HeaderRequestID), Traceparent: h.Get(HeaderTrace)}
	if len(m.RequestID) > maxIDBytes {
		return m, errors.Newf("header %s has %d bytes, the limit is %d", HeaderRequestID, len(m.RequestID), maxIDBytes)
	}
	if text := h.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return m, errors.Newf("header %s: %q is not a number of milliseconds", HeaderDeadline, text)
		}
		if ms <= 0 {
			return m, errors.Newf("header %s: the deadline is %d ms in the past", HeaderDeadline, -ms)
		}
		m.Deadline = time.Duration(ms) * time.Millisecond
	}
	if text := h.Get(HeaderPriority); text != "" {
		class, err := settings.ParsePriority(text)
		if err != nil {
			return m, errors.Wrapf(err, "header %s", HeaderPriority)
		}
		m.Priority, m.HasPriority = class, true
	}
	return m, nil
}

// DecodeBody decodes a JSON body strictly, reading at most limit bytes.
func DecodeBody(r io.Reader, limit int, body any) error {
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	if len(data) > limit {
		return errors.Newf("body exceeds %d bytes", limit)
	}
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(body); err != nil {
		return errors.Wrap(err, "body is not the expected JSON")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON body")
	}
	return nil
}

// Validate reports what is wrong with a search.
func (r *SearchRequest) Validate() error {
	switch {
	case len(r.Terms) == 0:
		return errors.New("terms: at least one is needed")
	case len(r.Terms) > maxTerms:
		return errors.Newf("terms: %d given, the limit is %d", len(r.Terms), maxTerms)
	case r.Limit < 0 || r.Limit > maxLimit:
		return errors.Newf("limit: %d is outside 0 to %d", r.Limit, maxLimit)
	case r.MinCoverage < 0 || r.MinCoverage > 1:
		return errors.Newf("min_coverage: %v is outside 0 to 1", r.MinCoverage)
	}
	for i, term := range r.Terms {
		if term == "" || len(term) > maxTermBytes {
			return fmt.Errorf("terms[%d]: must have 1 to %d bytes", i, maxTermBytes)
		}
	}
	return nil
}

// Validate reports what is wrong with a lookup.
func (r *LookupRequest) Validate() error {
	if r.ID == "" || len(r.ID) > maxIDBytes {
		return errors.Newf("id: must have 1 to %d bytes", maxIDBytes)
	}
	return nil
}
