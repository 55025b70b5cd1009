// Package commands serves the routes for lookups of one record, including commands,
// and for the tickets of commands. A command is a lookup that may not be repeated: it
// has the route and the request of a lookup, and a service of kind command.
//
// The package owns the routes and checks that the service supports lookups. The
// Backend decides where a request runs and whether it may run. The handlers hold no
// state and run concurrently.
package commands

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// Backend is the part of an entry host that this package calls. It must be safe for
// concurrent use.
type Backend interface {
	// Lookup returns an answer, or nil and the outcome.
	Lookup(ctx context.Context, service string, meta api.Meta, req *api.LookupRequest) (*api.LookupResponse, outcome.Outcome)
	// Ticket issues a ticket for commands.
	Ticket() api.TicketResponse
	api.Services
}

var operation = api.Operation{Verb: "look up records", Kinds: []settings.ServiceKind{settings.KindLookup, settings.KindCommand}}

// Register adds the routes of this package to a router.
func Register(router *mux.Router, backend Backend) {
	h := handler{backend}
	router.HandleFunc("/v1/tickets", h.ticket).Methods(http.MethodPost)
	router.HandleFunc("/v1/services/{service}/lookup", h.lookup).Methods(http.MethodPost)
}

type handler struct{ backend Backend }

func (h handler) ticket(w http.ResponseWriter, r *http.Request) {
	if refused, ok := h.backend.KeyRefusal("", tenant.ParseBearer(r.Header[api.HeaderAuthorization])); ok {
		api.WriteOutcome(w, refused)
		return
	}
	api.WriteJSON(w, http.StatusOK, h.backend.Ticket())
}

func (h handler) lookup(w http.ResponseWriter, r *http.Request) {
	api.Serve(w, r, h.backend, operation, h.backend.Lookup)
}
