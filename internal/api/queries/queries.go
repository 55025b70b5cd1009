// Package queries serves the requests of callers that only ask: search, the
// lookup of services that allow repeats, and the addresses to use.
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
	// Service returns the kind and the settings of a service.
	Service(name string) (settings.ServiceKind, *settings.Policy, bool)
}

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
	service := mux.Vars(r)["service"]
	kind, policy, ok := h.backend.Service(service)
	if !ok {
		api.WriteJSON(w, http.StatusNotFound, api.Error{Outcome: outcome.NotRun, Reason: outcome.Invalid, Message: "service " + service + " does not exist"})
		return
	}
	if kind != settings.KindSearch {
		api.WriteOutcome(w, outcome.Refused(outcome.Invalid, "service %s is a %s service, it does not search", service, kind))
		return
	}
	meta, err := api.ReadMeta(r.Header)
	if err != nil {
		api.WriteOutcome(w, outcome.Refused(outcome.Invalid, "%v", err))
		return
	}
	var req api.SearchRequest
	if err := api.DecodeBody(r.Body, policy.MaxBodyBytes, &req); err != nil {
		api.WriteOutcome(w, outcome.Refused(outcome.Invalid, "%v", err))
		return
	}
	if err := req.Check(); err != nil {
		api.WriteOutcome(w, outcome.Refused(outcome.Invalid, "%v", err))
		return
	}
	answer, o := h.backend.Search(r.Context(), service, meta, &req)
	if answer == nil {
		api.WriteOutcome(w, o)
		return
	}
	api.WriteJSON(w, http.StatusOK, answer)
}
