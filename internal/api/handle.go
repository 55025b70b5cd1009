package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/gorilla/mux"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Services tells what may be asked of a service.
type Services interface {
	// Service returns the kind and the settings of a service.
	Service(name string) (settings.ServiceKind, *settings.Policy, bool)
	// RefusalOutcome returns what may be said of a request that is refused as "not
	// run" before it reaches the service. An earlier send of a request that may
	// not be repeated may have run, which makes the outcome unknown.
	RefusalOutcome(requestID string, o outcome.Outcome) outcome.Outcome
}

// Body is the body of a request to a service.
type Body interface {
	// Validate reports what is wrong with the decoded body.
	Validate() error
}

// Operation is one kind of request to a service.
type Operation struct {
	Verb  string                 // what it does, for the refusal of other kinds
	Kinds []settings.ServiceKind // the services that allow it
}

// accept reads a request to the service that the path names. It answers a
// faulty request itself, as "not run", and returns false.
func accept(w http.ResponseWriter, r *http.Request, services Services, method Operation, body Body) (service string, meta Meta, ok bool) {
	service = mux.Vars(r)["service"]
	kind, policy, known := services.Service(service)
	if !known {
		o := services.RefusalOutcome(r.Header.Get(HeaderRequestID), outcome.Refused(outcome.Invalid, "service %s does not exist", service))
		WriteJSON(w, http.StatusNotFound, Error{Outcome: o.Kind, Reason: o.Reason, Message: o.Message})
		return service, meta, false
	}
	meta, err := readRequest(r, policy, body)
	if !slices.Contains(method.Kinds, kind) {
		err = fmt.Errorf("service %s is a %s service, it does not %s", service, kind, method.Verb)
	}
	if err != nil {
		WriteOutcome(w, services.RefusalOutcome(r.Header.Get(HeaderRequestID), outcome.Refused(outcome.Invalid, "%v", err)))
		return service, meta, false
	}
	return service, meta, true
}

// Serve reads a request to the service that the path names, runs it and writes
// its answer, or the outcome if there is none.
func Serve[Request, Answer any, Pointer interface {
	*Request
	Body
}](w http.ResponseWriter, r *http.Request, services Services, method Operation,
	run func(ctx context.Context, service string, meta Meta, req Pointer) (*Answer, outcome.Outcome),
) {
	req := Pointer(new(Request))
	service, meta, ok := accept(w, r, services, method, req)
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

func readRequest(r *http.Request, policy *settings.Policy, body Body) (Meta, error) {
	meta, err := ReadMeta(r.Header)
	if err == nil {
		err = DecodeBody(r.Body, policy.MaxBodyBytes, body)
	}
	if err == nil {
		err = body.Validate()
	}
	return meta, err
}

// ReadAnswer decodes the answer to a request. An error answer becomes an error
// with its outcome and message.
func ReadAnswer(resp *http.Response, answer any) error {
	if resp.StatusCode != http.StatusOK {
		var e Error
		if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
			return fmt.Errorf("answer with status %s", resp.Status)
		}
		return fmt.Errorf("%s (%s): %s", e.Outcome, e.Reason, e.Message)
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
