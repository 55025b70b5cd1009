package edge

import (
	"cmp"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/callerconn"
	"github.com/lacewingyard/lacewingyard/internal/engine"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/published"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

// Paths of the operator endpoints.
const (
	MetricsPath = "/metrics"
	StatusPath  = "/status"
	ExplainPath = "/explain"
)

// Query parameters of ExplainPath.
const (
	HostParam   = "host"
	PathParam   = "path"
	TenantParam = "tenant" // in place of both
)

// Status is the response of StatusPath: the state of a host, its peers and targets.
type Status struct {
	Host         string    `json:"host"`
	Place        string    `json:"place"`
	Started      time.Time `json:"started"`
	Ready        bool      `json:"ready"`
	Leaving      bool      `json:"leaving"`
	OpenRequests int64     `json:"open_requests"`
	Load         float64   `json:"load"` // fraction of Capacity in use
	Capacity     float64   `json:"capacity_sends_per_s"`
	// Directed is set if directory answers name this host, and ExtraShare is its fraction
	// of the fleet's slack of extra sends.
	Directed   bool                  `json:"callers_directed_here"`
	ExtraShare float64               `json:"extra_share"`
	State      StateStatus           `json:"state"`
	Peers      []PeerStatus          `json:"peers"`
	Targets    []engine.TargetReport `json:"targets"`
	// Budgets are the remaining budgets of extra sends, hedges and retries, to the
	// services in use.
	Budgets []engine.BudgetReport `json:"budgets"`
	Crashes CrashStatus           `json:"crashes"`
	// Quota is nil if no tenant has a limit.
	Quota   *QuotaStatus      `json:"quota,omitempty"`
	Callers callerconn.Status `json:"callers"`
}

// CrashStatus counts the evidence of requests that crash their targets, since the start, and
// lists those that are refused now.
type CrashStatus struct {
	ClosedSends int64 `json:"closed_sends"`
	Crashes     int64 `json:"counted"`
	FromPeers   int64 `json:"from_peers"`
	Refused     int64 `json:"requests_refused"`
	// Quarantined has the requests that the host refuses by their fingerprints.
	Quarantined []QuarantinedRequest `json:"quarantined"`
}

// QuarantinedRequest is a request that a host refuses because it crashes its targets.
type QuarantinedRequest struct {
	Fingerprint uint64 `json:"fingerprint"`
	LeftMS      int64  `json:"left_ms"`
	Level       uint8  `json:"level"` // refusals of it in a row
}

// StateStatus describes the published state that a host has in force.
type StateStatus struct {
	Config         uint64 `json:"config"` // version in force; 0 if none
	Era            uint64 `json:"era"`    // of the store's revisions
	Revision       uint64 `json:"revision"`
	StoreConfig    uint64 `json:"store_config"`       // version that the store was last known to have; 0 if that is not known
	StoreBehind    bool   `json:"store_config_older"` // than the one in force: the store lost that one
	Confirmed      bool   `json:"confirmed"`          // by the store, within the bound on changes
	ConfirmedBy    string `json:"confirmed_by"`       // "store", or the peer that passed the confirmation on
	ConfirmedAgeMS int64  `json:"confirmed_ms_ago"`
	StoreCalls     int    `json:"store_calls"`
	ReadsStore     bool   `json:"reads_store_for_all"`
	AssumedHosts   int    `json:"hosts_assumed"` // number of hosts among which shared limits are divided
}

// PeerStatus describes another host as the roster has it.
type PeerStatus struct {
	Host        string `json:"host"`
	Place       string `json:"place"`
	LastHeardMS int64  `json:"heard_ms_ago"`
	Alive       bool   `json:"alive"`
	Ready       bool   `json:"ready"`
	Leaving     bool   `json:"leaving"`
	// Config, Era, Revision and ConfirmedAgeMS describe the published state that it had in force
	// when it last reported it.
	Config         uint64  `json:"config"`
	Era            uint64  `json:"era"`
	Revision       uint64  `json:"revision"`
	ConfirmedAgeMS int64   `json:"confirmed_ms_ago"` // 0 without a state
	Load           float64 `json:"load"`
}

// operators returns the handler of the operator endpoints.
func (h *Host) operators() http.Handler {
	r := mux.NewRouter()
	if h.opts.Handlers.Metrics != nil {
		r.Handle(MetricsPath, h.opts.Handlers.Metrics).Methods(http.MethodGet)
	}
	r.HandleFunc(StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		api.WriteJSON(w, http.StatusOK, h.status(time.Now()))
	}).Methods(http.MethodGet)
	r.HandleFunc(ExplainPath, h.explain).Methods(http.MethodGet)
	return r
}

// explain responds with the route of a host name and a path and the targets that
// the engine would choose now, or with a tenant, its limit and its tokens. It refuses a
// request without the query parameters of either, or for which the configuration has no route
// or no tenant.
func (h *Host) explain(w http.ResponseWriter, r *http.Request) {
	if name := r.URL.Query().Get(TenantParam); name != "" {
		h.explainTenant(w, name)
		return
	}
	host, path := r.URL.Query().Get(HostParam), r.URL.Query().Get(PathParam)
	if host == "" || path == "" {
		api.WriteOutcome(w, outcome.Refused(outcome.Invalid, "query parameters %s and %s, or %s, are required", HostParam, PathParam, TenantParam))
		return
	}
	explanation, ok := h.engine.Explain(host, path)
	if !ok {
		api.WriteOutcome(w, outcome.Refused(engine.NoRoute, "configuration %d has no route for %s%s (era %d, revision %d, confirmed by %s %d ms ago)",
			explanation.Config, host, path, explanation.Era, explanation.Revision, cmp.Or(explanation.ConfirmedBy, "nobody"), explanation.ConfirmedAgeMS))
		return
	}
	api.WriteJSON(w, http.StatusOK, explanation)
}

// explainTenant responds with the explanation of a tenant.
func (h *Host) explainTenant(w http.ResponseWriter, name string) {
	var config *catalog.Config
	ground, v := h.follower.ground(), h.engine.View()
	if v != nil {
		config = v.Config
	}
	explanation, ok := h.quotas.explain(time.Now(), config, name)
	if v != nil {
		explanation.Era, explanation.Revision = v.Era, v.Revision
	}
	explanation.ConfirmedBy, explanation.ConfirmedAgeMS = ground.ConfirmedBy, min(time.Since(ground.ConfirmedAt), time.Hour).Milliseconds()
	if !ok {
		api.WriteOutcome(w, outcome.Refused(outcome.Invalid, "configuration %d has no tenant %q (era %d, revision %d, confirmed by %s %d ms ago)",
			explanation.Config, name, explanation.Era, explanation.Revision, cmp.Or(explanation.ConfirmedBy, "nobody"), explanation.ConfirmedAgeMS))
		return
	}
	api.WriteJSON(w, http.StatusOK, explanation)
}

// status returns the host's Status at the given time.
func (h *Host) status(now time.Time) Status {
	ground := h.follower.ground()
	s := Status{
		Host: h.opts.Site.Name, Place: h.opts.Site.Place, Started: h.started, Ready: h.ready(), Leaving: h.leaving.Load(),
		OpenRequests: h.openRequests.Load(), Load: h.load.current(), Capacity: h.load.capacity,
		Directed: h.directedHere.Load(), ExtraShare: h.ExtraShare(),
		State: StateStatus{
			Era: ground.Era, Revision: ground.Revision, StoreConfig: ground.StoreConfig, StoreBehind: ground.StoreConfig > 0 && ground.StoreConfig < ground.ConfigVersion, Confirmed: h.follower.isConfirmed(), ConfirmedBy: ground.ConfirmedBy, ConfirmedAgeMS: min(now.Sub(ground.ConfirmedAt), time.Hour).Milliseconds(), StoreCalls: h.follower.callCount(),
			ReadsStore: h.fleetAt(now).ReaderRank < published.StoreReaders, AssumedHosts: int(h.fleetHosts.Load()),
		},
		Peers: h.peers(now), Targets: h.engine.Targets(), Budgets: h.engine.Budgets(), Quota: h.quotas.status(now), Callers: h.callers.status(),
	}
	crashes := h.engine.CrashCounts()
	s.Crashes = CrashStatus{ClosedSends: crashes.BrokenSends.Load(), Crashes: crashes.Crashes.Load(), FromPeers: crashes.FromPeers.Load(), Refused: crashes.Refused.Load()}
	for _, r := range h.engine.Refusals() {
		s.Crashes.Quarantined = append(s.Crashes.Quarantined, QuarantinedRequest{Fingerprint: uint64(r.Fingerprint), LeftMS: r.LeftMS, Level: r.Level})
	}
	if v := h.engine.View(); v != nil && v.Config != nil {
		s.State.Config = v.Config.Version
	}
	return s
}

// peers returns the status of each other host in the roster, alive or not.
func (h *Host) peers(now time.Time) []PeerStatus {
	var peers []PeerStatus
	h.gossip.WithRoster(func(r *roster.Roster) {
		for _, p := range r.Known() {
			peer := PeerStatus{
				Host: p.Name, Place: p.Place, LastHeardMS: now.Sub(p.LastSentAt).Milliseconds(), Alive: r.IsAlive(now, p),
				Ready: p.Ready, Leaving: p.Leaving, Config: p.ConfigVersion, Era: p.Era, Revision: p.Revision, Load: p.Load,
			}
			if p.Revision > 0 {
				peer.ConfirmedAgeMS = p.ConfirmedAge + now.Sub(p.StateSentAt).Milliseconds()
			}
			peers = append(peers, peer)
		}
	})
	return peers
}
