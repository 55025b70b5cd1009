package daemon

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/ownership"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/snapshot"
)

// entry is the entry host role: it accepts callers' requests, plans their
// sub-requests and merges the results. It is safe for concurrent use.
type entry struct {
	self      *settings.Process
	config    *config
	directory *directory
	branches  *branchClient
	admission *admission
	home      *home
	guard     *quarantineGuard
	// peerState is control.peerState; nil if there is no membership protocol.
	peerState func(name string) (state membership.State, silent bool)
	// connLost reports whether the connection to a host's peer address was lost; nil
	// means never.
	connLost func(address string) bool
	// incarnation returns the incarnation of a host, 0 if unknown; nil if there is no
	// membership protocol.
	incarnation func(name string) uint64
	observer    observer
	tenants     *tenantUse
	quotas      *quotas

	mu                  sync.Mutex // guards what follows
	router              *routing.Router
	versions            *snapshot.Versions
	rng                 *rand.Rand
	shutdown            drain.Shutdown
	services            map[string]*serviceState
	lastExpiry          time.Time // when old reports of versions were last dropped
	availabilityUpdated time.Time // when the router last got the unavailable hosts
}

func newEntry(self *settings.Process, config *config, directory *directory, branches *branchClient) *entry {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &entry{
		self: self, config: config, directory: directory, branches: branches, admission: newAdmission(),
		rng:      rng,
		router:   routing.NewRouter(self.Place, self.Ordinal, rng),
		versions: snapshot.NewVersions(),
		services: map[string]*serviceState{},
		tenants:  newTenantUse(),
		quotas:   newQuotas(self.Name, rand.Uint64(), time.Now()),
	}
}

// Service returns the kind and the settings of a service at this host's place.
func (e *entry) Service(name string) (settings.ServiceKind, *settings.Policy, bool) {
	tree := e.config.tree()
	service, ok := tree.Doc.Services[name]
	return service.Kind, tree.Effective(e.self.Place, name), ok
}

// deadline returns the time that a request may take: the time that it asks for, at
// most deadline_max, or deadline_default if it asks for none.
func deadline(meta api.Meta, policy *settings.Policy) time.Duration {
	if meta.Deadline == 0 {
		return policy.DeadlineDefault
	}
	return min(meta.Deadline, policy.DeadlineMax)
}

// class returns the priority class of a request; without one, that of its service.
func class(meta api.Meta, policy *settings.Policy) settings.Priority {
	if meta.HasPriority {
		return meta.Priority
	}
	return policy.Priority
}

// requestID returns the identifier of a request, or a new one if it has none.
func requestID(meta api.Meta) string {
	if meta.RequestID != "" {
		return meta.RequestID
	}
	return uuid.NewString()
}

// routingGroup returns the usable targets of a group with their owners in service,
// without those in tried and those known not to serve the version. The caller holds
// e.mu.
func (e *entry) routingGroup(tree *settings.Tree, g *settings.Group, version uint64, tried map[string]bool) routing.Group {
	result := routing.Group{ID: g.ID}
	hosts := e.directory.hosts()
	for _, t := range g.Targets {
		info, ok := tree.Target(t.ID)
		if !ok || info.Out || hosts.leavingTargets[t.ID] || tried[t.ID] || !tree.PlaceInService(t.Place) || !e.versions.MayServe(t.ID, version) {
			continue
		}
		candidate := routing.Candidate{Target: t.ID, Place: t.Place}
		slots := usableSlots(info.Slots, tree.Effective(t.Place, info.Service))
		for rank, ordinal := range info.Owners {
			if h, ok := hosts.byOrdinal[ordinalID{t.Place, ordinal}]; ok && h.State == platform.HostLive && !slices.Contains(tree.Doc.HostsOut, h.Name) {
				candidate.Owners = append(candidate.Owners, ordinal)
				candidate.Slots = append(candidate.Slots, ownership.Share(slots, rank, len(info.Owners)))
			}
		}
		result.Candidates = append(result.Candidates, candidate)
	}
	return result
}

// roundTrip estimates the round-trip time to the hosts of a place.
func (e *entry) roundTrip(place string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.router.RoundTrip(place)
}

// groupOf returns the group whose range contains a key. It panics if there is
// none, since a valid configuration covers the key space.
func groupOf(groups []settings.Group, key uint64) *settings.Group {
	for i := range groups {
		if groups[i].Range.Contains(key) {
			return &groups[i]
		}
	}
	panic("no group covers the key: the configuration was not validated")
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
