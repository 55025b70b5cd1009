// Package commands serves the requests of callers that read one record,
// including those that may not be repeated.
package commands

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Backend is the entry role as far as commands need it.
type Backend interface {
	// Lookup returns an answer, or the outcome if there is none.
	Lookup(ctx context.Context, service string, meta api.Meta, req *api.LookupRequest) (*api.LookupResponse, outcome.Outcome)
	// Ticket issues a ticket for requests that may not be repeated.
	Ticket() api.TicketResponse
	api.Services
}

var method = api.Operation{Verb: "look up records", Kinds: []settings.ServiceKind{settings.KindLookup, settings.KindCommand}}

// Register adds the routes of this package.
func Register(router *mux.Router, backend Backend) {
	h := handler{backend}
	router.HandleFunc("/v1/tickets", h.ticket).Methods(http.MethodPost)
	router.HandleFunc("/v1/services/{service}/lookup", h.lookup).Methods(http.MethodPost)
}

type handler struct{ backend Backend }

func (h handler) ticket(w http.ResponseWriter, _ *http.Request) {
	api.WriteJSON(w, http.StatusOK, h.backend.Ticket())
}

func (h handler) lookup(w http.ResponseWriter, r *http.Request) {
	api.Serve(w, r, h.backend, method, h.backend.Lookup)
}
