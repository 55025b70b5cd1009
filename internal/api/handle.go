package api

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/lacewingyard/lacewingyard/internal/callerbody"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// Services provides the configuration of services and the outcome of refused requests.
type Services interface {
	// Service returns the kind and the settings of a service, and whether the service
	// is configured.
	Service(name string) (settings.ServiceKind, *settings.Policy, bool)
	// RefusalOutcome returns the outcome to report for a request that is refused
	// before it reaches the service: normally o, which is "not run", but the outcome
	// "unknown" if an earlier send of the same command may have run.
	RefusalOutcome(requestID string, o outcome.Outcome) outcome.Outcome
	// KeyRefusal returns the refusal of a request that lacks a known key and true, or
	// false if the service takes the request. The empty service is for tickets.
	KeyRefusal(service string, c tenant.Credential) (outcome.Outcome, bool)
}

// Body is the body of a request to a service.
type Body interface {
	// Validate returns an error that names an invalid field of the decoded body.
	Validate() error
}

// Operation is one kind of request to a service.
type Operation struct {
	Verb  string                 // completes the error text "service … is a … service and does not …", as in "search"
	Kinds []settings.ServiceKind // kinds of services that support the operation
}

// accept reads a request to the service that the path names. It answers an invalid
// request with an error and returns false.
func accept(w http.ResponseWriter, r *http.Request, services Services, operation Operation, body Body) (service string, meta Meta, ok bool) {
	service = mux.Vars(r)["service"]
	if refused, ok := services.KeyRefusal(service, tenant.ParseBearer(r.Header[HeaderAuthorization])); ok {
		WriteOutcome(w, services.RefusalOutcome(r.Header.Get(HeaderRequestID), refused))
		return service, meta, false
	}
	kind, policy, known := services.Service(service)
	if !known {
		o := services.RefusalOutcome(r.Header.Get(HeaderRequestID), outcome.Refused(outcome.Invalid, "service %s does not exist", service))
		WriteJSON(w, http.StatusNotFound, Error{Outcome: o.Kind, Reason: o.Reason, Message: o.Message})
		return service, meta, false
	}
	meta, err := readRequest(w, r, policy, body)
	if !slices.Contains(operation.Kinds, kind) {
		err = fmt.Errorf("service %s is a %s service and does not %s", service, kind, operation.Verb)
	}
	if err != nil {
		refused := outcome.Refused(outcome.Invalid, "%v", err)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // set only when the host stops
			refused = outcome.Refused(outcome.Draining, "the host stops and has not read the whole request: %v", err)
		case errors.Is(err, callerbody.ErrNoRoom), errors.Is(err, callerbody.ErrTooSlow):
			refused = outcome.Refused(outcome.Overload, "%v", err)
			refused.RetryAfter = callerbody.RetryAfter
		}
		WriteOutcome(w, services.RefusalOutcome(r.Header.Get(HeaderRequestID), refused))
		return service, meta, false
	}
	return service, meta, true
}

// Serve reads a request to the service that the path names, runs it and writes the
// answer, or an error body if run returns no answer.
func Serve[Request, Answer any, Pointer interface {
	*Request
	Body
}](w http.ResponseWriter, r *http.Request, services Services, operation Operation,
	run func(ctx context.Context, service string, meta Meta, req Pointer) (*Answer, outcome.Outcome),
) {
	req := Pointer(new(Request))
	service, meta, ok := accept(w, r, services, operation, req)
	if !ok {
		return
	}
	answer, o := run(r.Context(), service, meta, req)
	if answer == nil {
		WriteOutcome(w, o)
		return
	}
	WriteJSON(w, http.StatusOK, answer)
}

func readRequest(w http.ResponseWriter, r *http.Request, policy *settings.Policy, body Body) (Meta, error) {
	meta, err := ReadMeta(r.Header)
	if err == nil {
		err = decodeBody(w, r, policy.MaxBodyBytes, body)
	}
	if err == nil {
		err = body.Validate()
	}
	return meta, err
}

// ReadAnswer decodes the answer to a request. For an error answer it returns an error
// with the outcome, reason and message of the body, or else with the HTTP status.
func ReadAnswer(resp *http.Response, answer any) error {
	if resp.StatusCode != http.StatusOK {
		var e Error
		if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
			return fmt.Errorf("answer has status %s and no error body", resp.Status)
		}
		return fmt.Errorf("%s (%s): %s", e.Outcome, e.Reason, e.Message)
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	// The decoder stops before the last chunk and the trailer.
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("end of the answer: %w", err)
	}
	return nil
}
