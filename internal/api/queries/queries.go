// Package queries serves the routes for searches and for the addresses of entry hosts.
// Lookups of all services are in package commands.
//
// The package owns the routes and checks that the service supports searches. The
// Backend decides how a search runs and which addresses callers get. The handlers hold
// no state and run concurrently.
package queries

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Backend is the part of an entry host that this package calls. It must be safe for
// concurrent use.
type Backend interface {
	// Search returns an answer, or nil and the outcome.
	Search(ctx context.Context, service string, meta api.Meta, req *api.SearchRequest) (*api.SearchResponse, outcome.Outcome)
	// Entries returns the addresses that callers may use.
	Entries() api.EntriesResponse
	api.Services
}

var operation = api.Operation{Verb: "search", Kinds: []settings.ServiceKind{settings.KindSearch}}

// Register adds the routes of this package to a router.
func Register(router *mux.Router, backend Backend) {
	h := handler{backend}
	router.HandleFunc("/v1/entries", h.entries).Methods(http.MethodGet)
	router.HandleFunc("/v1/services/{service}/search", h.search).Methods(http.MethodPost)
}

type handler struct{ backend Backend }

func (h handler) entries(w http.ResponseWriter, _ *http.Request) {
	api.WriteJSON(w, http.StatusOK, h.backend.Entries())
}

func (h handler) search(w http.ResponseWriter, r *http.Request) {
	api.Serve(w, r, h.backend, operation, h.backend.Search)
}
