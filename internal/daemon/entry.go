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

// entry is the role that takes callers' requests, plans them and merges parts.
type entry struct {
	self      *settings.Process
	config    *config
	directory *directory
	branches  *branchClient
	admission *admission
	home      *home
	guard     *quarantineGuard
	// peerState returns what a host said last, and whether it is silent; nil if
	// nothing is known of hosts.
	peerState func(name string) (state membership.State, silent bool)
	// lost reports whether the connection to a host's address for peers was lost;
	// nil means never.
	connLost func(address string) bool
	// incarnation returns that of a host's process, or 0; nil if nothing is known.
	incarnation func(name string) uint64
	observer    observer

	mu            sync.Mutex // guards what follows
	router        *routing.Router
	versions      *snapshot.Versions
	rng           *rand.Rand
	shutdown      drain.Shutdown
	services      map[string]*serviceState
	lastExpiry    time.Time // when old statements of versions were last dropped
	silenceMarked time.Time // when the router was last told which hosts are silent
}

func newEntry(self *settings.Process, config *config, directory *directory, branches *branchClient) *entry {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &entry{
		self: self, config: config, directory: directory, branches: branches, admission: newAdmission(),
		rng:      rng,
		router:   routing.NewRouter(self.Place, self.Ordinal, rng),
		versions: snapshot.NewVersions(),
		services: map[string]*serviceState{},
	}
}

// Service returns the kind and the settings of a service at this host's place.
func (e *entry) Service(name string) (settings.ServiceKind, *settings.Policy, bool) {
	tree := e.config.tree()
	service, ok := tree.Doc.Services[name]
	return service.Kind, tree.Effective(e.self.Place, name), ok
}

// deadline returns the time a request may take.
func deadline(meta api.Meta, policy *settings.Policy) time.Duration {
	if meta.Deadline == 0 {
		return policy.DeadlineDefault
	}
	return min(meta.Deadline, policy.DeadlineMax)
}

// class returns the priority class of a request.
func class(meta api.Meta, policy *settings.Policy) settings.Priority {
	if meta.HasPriority {
		return meta.Priority
	}
	return policy.Priority
}

func requestID(meta api.Meta) string {
	if meta.RequestID != "" {
		return meta.RequestID
	}
	return uuid.NewString()
}

// options returns the usable targets of a group with the owners that are
// listed, leaving out those in tried and those known not to serve the version.
// The caller holds e.mu.
func (e *entry) routingGroup(tree *settings.Tree, g *settings.Group, version uint64, tried map[string]bool) routing.Group {
	result := routing.Group{ID: g.ID}
	hosts := e.directory.hosts()
	for _, t := range g.Targets {
		info, ok := tree.Target(t.ID)
		if !ok || info.Out || hosts.leavingTargets[t.ID] || tried[t.ID] || !tree.PlaceInService(t.Place) || !e.versions.MayServe(t.ID, version) {
			continue
		}
		option := routing.Candidate{Target: t.ID, Place: t.Place}
		slots := usableSlots(info.Slots, tree.Effective(t.Place, info.Service))
		for rank, ordinal := range info.Owners {
			if h, ok := hosts.byOrdinal[ordinalID{t.Place, ordinal}]; ok && h.State == platform.HostLive && !slices.Contains(tree.Doc.HostsOut, h.Name) {
				option.Owners = append(option.Owners, ordinal)
				option.Slots = append(option.Slots, ownership.Share(slots, rank, len(info.Owners)))
			}
		}
		result.Candidates = append(result.Candidates, option)
	}
	return result
}

// delay estimates the round trip to the hosts of a place.
func (e *entry) roundTrip(place string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.router.RoundTrip(place)
}

// groupOf returns the group that holds a key; the configuration was checked to
// cover the key space.
func groupOf(groups []settings.Group, key uint64) *settings.Group {
	for i := range groups {
		if groups[i].Range.Contains(key) {
			return &groups[i]
		}
	}
	panic("the groups of a checked configuration cover every key")
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
