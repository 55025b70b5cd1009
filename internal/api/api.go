// Package api defines the HTTP interface between callers and the tier: headers, JSON
// bodies, limits and error bodies, with the decoding and the rate limit that all
// handlers share.
//
// The package maps outcomes to HTTP statuses. It does not decide which targets answer
// a request, whether a request may run, or with which outcome it ends. The routes are
// in package queries for searches and entry addresses and in package commands for
// lookups and tickets. All functions and RateLimiter are safe for concurrent use.
package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/callerbody"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// Header names of the caller protocol.
const (
	HeaderRequestID = "Request-Id"
	HeaderDeadline  = "Deadline-Ms" // milliseconds from now
	HeaderPriority  = "Priority"
	HeaderTrace     = "Traceparent"
	// HeaderAuthorization carries the key of a tenant, as "Bearer KEY".
	HeaderAuthorization = "Authorization"
	headerChallenge     = "WWW-Authenticate"
)

// Limits of requests.
const (
	maxTerms     = 32
	maxTermBytes = 256
	maxLimit     = 10000
	maxIDBytes   = 256
)

// Meta holds the values of a request's headers.
type Meta struct {
	RequestID   string
	Deadline    time.Duration     // from now; 0 if not stated
	Priority    settings.Priority // valid if HasPriority
	HasPriority bool
	Traceparent string
	// Credential is the digest of the key that the request carries, if any.
	Credential tenant.Credential
}

// SearchRequest is the body of POST /v1/services/{service}/search.
type SearchRequest struct {
	Terms []string `json:"terms"` // a record matches if its text holds all of them
	Limit int      `json:"limit"` // maximum number of records, in order of identifier; 0 for all
	// MinCoverage is the coverage, 0 to 1, below which the search must not end
	// early. It can raise the service's early_finish_coverage but not lower it.
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
	Warnings  []Warning         `json:"warnings,omitempty"` // missing groups
	ElapsedMS float64           `json:"elapsed_ms"`
}

// Warning states that a group is missing from an answer, and why.
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
	TTLMS   int64   `json:"ttl_ms"`  // how long the answer may be cached
}

// Entry is one address that a caller may use.
type Entry struct {
	Host    string `json:"host"`
	Place   string `json:"place"`
	Address string `json:"address"` // IP address and port
	// TicketPrefix starts the identifiers of requests that may not be
	// repeated. It is set for the answering host only.
	TicketPrefix string `json:"ticket_prefix,omitempty"`
}

// TicketResponse is the answer to POST /v1/tickets.
type TicketResponse struct {
	Host         string `json:"host"`          // the home of the requests
	TicketPrefix string `json:"ticket_prefix"` // a request identifier is the prefix and a unique suffix
	TTLMS        int64  `json:"ttl_ms"`        // how long the prefix may be used
}

// Error is the body of every error answer.
type Error struct {
	Outcome      outcome.Kind   `json:"outcome"`
	Reason       outcome.Reason `json:"reason"`
	Message      string         `json:"message"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
}

// WriteJSON writes a body with a status. A failed write is ignored, because it means
// that the caller has disconnected.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteOutcome writes an outcome that is not an answer as an error body, with
// Retry-After in whole seconds if the outcome has a retry delay.
func WriteOutcome(w http.ResponseWriter, o outcome.Outcome) {
	if o.Reason == outcome.UnknownKey {
		w.Header().Set(headerChallenge, tenant.Scheme)
	}
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
	case o.Reason == outcome.UnknownKey:
		return http.StatusUnauthorized // also if an earlier send of a command may have run
	case o.Kind != outcome.NotRun:
		return http.StatusGatewayTimeout
	case o.Reason == outcome.Invalid:
		return http.StatusBadRequest
	case o.Reason == outcome.Overload, o.Reason == outcome.OverQuota:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// ReadMeta reads the headers that every request may carry. It returns an error for a
// request identifier that is too long, a deadline that is not a positive number of
// milliseconds, and an unknown priority.
func ReadMeta(h http.Header) (Meta, error) {
	m := Meta{RequestID: h.Get(HeaderRequestID), Traceparent: h.Get(HeaderTrace), Credential: tenant.ParseBearer(h[HeaderAuthorization])}
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

// decodeBody decodes the JSON body of a request. It returns an error if the body exceeds limit
// bytes, has unknown fields or is followed by other data, or one of package callerbody.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int, body any) error {
	data, err := callerbody.Read(w, r, int64(limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errors.Newf("body exceeds %d bytes", limit)
	case err != nil:
		return errors.Wrap(err, "read body")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(body); err != nil {
		return errors.Wrap(err, "body is not the expected JSON")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON body")
	}
	return nil
}

// Validate returns an error that names the first invalid field of a search.
func (r *SearchRequest) Validate() error {
	switch {
	case len(r.Terms) == 0:
		return errors.New("terms: at least one term is required")
	case len(r.Terms) > maxTerms:
		return errors.Newf("terms: %d terms, the limit is %d", len(r.Terms), maxTerms)
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

// Validate returns an error if the identifier of a lookup is invalid.
func (r *LookupRequest) Validate() error {
	if r.ID == "" || len(r.ID) > maxIDBytes {
		return errors.Newf("id: must have 1 to %d bytes", maxIDBytes)
	}
	return nil
}
