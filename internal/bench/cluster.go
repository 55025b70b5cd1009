package bench

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/api/commands"
	"github.com/lacewingyard/lacewingyard/internal/api/queries"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Policy selects the implementation between callers and searchers.
type Policy string

// Policies.
const (
	PolicyTier  Policy = "tier"  // the daemons of package fleet, with branch hosts that own the targets
	PolicyFlat  Policy = "flat"  // flat scatter that routes by latency, retries and merges as PolicyTier does
	PolicyNaive Policy = "naive" // flat scatter to random replicas with retries at once, up to naiveMaxAttempts attempts
)

// Policies contains every policy.
var Policies = []Policy{PolicyTier, PolicyFlat, PolicyNaive}

// hostPosition identifies a host by its place and ordinal.
type hostPosition struct {
	place   string
	ordinal int
}

// parseHostPosition reads a position such as "boston-hall/0" or "#0/0".
func parseHostPosition(text string, doc *settings.Document) (hostPosition, error) {
	name, number, ok := strings.Cut(text, "/")
	if !ok {
		return hostPosition{}, errors.Newf("host %q is not of the form place/ordinal", text)
	}
	place, err := resolveName("place", name, doc.Places)
	if err != nil {
		return hostPosition{}, err
	}
	ordinal, err := strconv.Atoi(number)
	if err != nil || ordinal < 0 || ordinal >= doc.Places[place].Hosts {
		return hostPosition{}, errors.Newf("host %q: place %s has the ordinals 0 to %d", text, place, doc.Places[place].Hosts-1)
	}
	return hostPosition{place, ordinal}, nil
}

// cluster controls the hosts of one policy.
type cluster interface {
	// addresses returns the addresses at which running hosts serve callers, in any order.
	addresses() []string
	// peerAddress returns the address of a host for other hosts; empty if it has none.
	peerAddress(at hostPosition) string
	// stop stops a host, gracefully or by a crash; unlist removes it from the host list.
	stop(at hostPosition, graceful bool) (unlist func() error, err error)
	start(ctx context.Context, at hostPosition) error
	close()
}

// startCluster starts the stand-ins of a deployment and the hosts of a policy. With
// PolicyTier, closing the fleet stops the hosts too. Without an error, the caller closes
// both results.
func startCluster(ctx context.Context, d *fleet.Deployment, policy Policy, seed uint64, log hclog.Logger) (*fleet.Fleet, cluster, error) {
	if policy == PolicyTier {
		f, err := fleet.Start(ctx, d, log)
		return f, tierCluster{f}, err
	}
	f, err := fleet.StartStandins(d, log)
	if err != nil {
		return nil, nil, err
	}
	c := &scatterCluster{fleet: f, policy: policy, seed: seed, hosts: map[hostPosition]*scatterHost{}}
	for _, place := range f.Tree().Doc.Places {
		c.totalHosts += place.Hosts
	}
	for name, place := range f.Tree().Doc.Places {
		for ordinal := range place.Hosts {
			if err := c.start(ctx, hostPosition{name, ordinal}); err != nil {
				c.close()
				f.Close()
				return nil, nil, err
			}
		}
	}
	return f, c, nil
}

type tierCluster struct{ *fleet.Fleet }

func (c tierCluster) addresses() []string {
	var all []string
	for _, h := range c.Running() {
		all = append(all, h.Entry.Callers)
	}
	return all
}

func (c tierCluster) find(at hostPosition) *fleet.Host {
	for _, h := range c.Running() {
		if h.Entry.Place == at.place && h.Entry.Ordinal == at.ordinal {
			return h
		}
	}
	return nil
}

func (c tierCluster) peerAddress(at hostPosition) string {
	if h := c.find(at); h != nil {
		return h.Entry.Peers
	}
	return ""
}

func (c tierCluster) stop(at hostPosition, graceful bool) (func() error, error) {
	h := c.find(at)
	if h == nil {
		return nil, errors.Newf("host %s/%d is not running", at.place, at.ordinal)
	}
	return func() error { return c.Unlist(h) }, c.StopHost(h, graceful)
}

func (c tierCluster) start(ctx context.Context, at hostPosition) error {
	_, err := c.AddHost(ctx, at.place, at.ordinal)
	return err
}

func (c tierCluster) close() {}

// scatterCluster runs Flat or Naive hosts. They receive a new configuration without
// delay, which favours them in comparisons with PolicyTier.
type scatterCluster struct {
	fleet      *fleet.Fleet
	policy     Policy
	seed       uint64
	totalHosts int

	mu      sync.Mutex
	hosts   map[hostPosition]*scatterHost
	started int
}

type scatterHost struct {
	entry  api.Entry
	server *http.Server
	closer interface{ Close() }
}

// backend implements both parts of the caller API, queries and commands.
type backend interface {
	queries.Backend
	commands.Backend
	Close()
}

func (c *scatterCluster) start(_ context.Context, at hostPosition) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	opts := ScatterOptions{
		Place: at.place, Tree: c.fleet.Tree, Dial: c.fleet.Network.StreamDialer(at.place), Hosts: c.totalHosts,
		Entries: func() api.EntriesResponse { return c.entries(at.place) },
		Rand:    rand.New(rand.NewPCG(c.seed, uint64(c.started))),
	}
	var b backend = NewFlat(opts)
	if c.policy == PolicyNaive {
		b = NewNaive(opts)
	}
	router := mux.NewRouter()
	queries.Register(router, b)
	commands.Register(router, b)
	address := listener.Addr().String()
	h := &scatterHost{
		entry:  api.Entry{Host: at.place + "-" + strconv.Itoa(at.ordinal), Place: at.place, Address: address},
		server: &http.Server{Handler: router}, closer: b,
	}
	c.hosts[at] = h
	go func() { _ = h.server.Serve(listener) }()
	return nil
}

func (c *scatterCluster) entries(place string) api.EntriesResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	tree := c.fleet.Tree()
	answer := api.EntriesResponse{TTLMS: tree.Effective(place, "").EntriesTTL.Milliseconds()}
	for at, h := range c.hosts {
		if tree.PlaceInService(at.place) {
			answer.Entries = append(answer.Entries, h.entry)
		}
	}
	slices.SortFunc(answer.Entries, func(a, b api.Entry) int { return strings.Compare(a.Host, b.Host) })
	return answer
}

func (c *scatterCluster) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []string
	for _, h := range c.hosts {
		all = append(all, h.entry.Address)
	}
	slices.Sort(all)
	return all
}

func (c *scatterCluster) peerAddress(hostPosition) string { return "" }

func (c *scatterCluster) stop(at hostPosition, graceful bool) (func() error, error) {
	c.mu.Lock()
	h := c.hosts[at]
	delete(c.hosts, at)
	c.mu.Unlock()
	if h == nil {
		return nil, errors.Newf("host %s/%d is not running", at.place, at.ordinal)
	}
	defer h.closer.Close()
	unlist := func() error { return nil }
	if graceful {
		return unlist, h.server.Shutdown(context.Background())
	}
	return unlist, h.server.Close()
}

func (c *scatterCluster) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		_ = h.server.Close()
		h.closer.Close()
	}
}
