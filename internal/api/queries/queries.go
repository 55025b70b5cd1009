// Package queries serves the requests of callers that only ask: searches and
// the addresses to use. Lookups are in package commands, whichever service they
// are for.
package queries

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Backend is the entry role as far as queries need it.
type Backend interface {
	// Search returns an answer, or the outcome if there is none.
	Search(ctx context.Context, service string, meta api.Meta, req *api.SearchRequest) (*api.SearchResponse, outcome.Outcome)
	// Entries returns the addresses to use.
	Entries() api.EntriesResponse
	api.Services
}

var method = api.Operation{Verb: "search", Kinds: []settings.ServiceKind{settings.KindSearch}}

// Register adds the routes of this package.
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
	api.Serve(w, r, h.backend, method, h.backend.Search)
}
