package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

const (
	// fixedPrefix is that of a route which all versions have.
	fixedPrefix = "/probe/fixed/"
	// At most maxProbeRoutes routes are added, of which minProbeRoutes are never removed.
	minProbeRoutes, maxProbeRoutes = 2, 8
	// Probes use routes among the recentChanges last changes.
	recentChanges = 6
	// minRoutePause and maxRoutePause bound the time between two changes of routes.
	minRoutePause = 800 * time.Millisecond
	maxRoutePause = 2500 * time.Millisecond
	// probeInterval is the pause between two probes of a host, and probeTimeout the time that
	// they wait for an answer.
	probeInterval = 60 * time.Millisecond
	probeTimeout  = time.Second
)

// probeServices are the services among which changes move routes. Each has targets in two places.
var probeServices = []string{"probe-a", "probe-b", "probe-c"}

// routeBook has the routes on which probes show the configuration that a host uses. It is safe
// for concurrent use.
type routeBook struct {
	targets []*platformtest.Target // of probeServices

	mu      sync.Mutex
	routes  map[string]string // services by prefix
	changed string            // prefix of the change that is not yet published; empty for none
	recent  []string          // prefixes of the last changes
	added   int               // routes so far
}

func newRouteBook() *routeBook {
	return &routeBook{routes: map[string]string{fixedPrefix: probeServices[0]}}
}

// startProbeTargets starts the targets of probes. Their runs are not those of callers.
func (s *testFleet) startProbeTargets() error {
	log := &platformtest.RunLog{}
	for i, service := range probeServices {
		for n := range 2 {
			t, err := platformtest.NewTarget("127.0.0.1:0", fmt.Sprintf("%s-%d", service, n), service, fmt.Sprint("p", (i+n)%places), serviceTime, log)
			if err != nil {
				return err
			}
			s.routes.targets = append(s.routes.targets, t)
			s.store.Put(t.Key(), t.Entry("ready"))
		}
	}
	return nil
}

// addTo adds the routes to a configuration document and returns their names.
func (b *routeBook) addTo(config map[string]any) (names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, prefix := range slices.Sorted(maps.Keys(b.routes)) {
		platformtest.AddRoute(config, b.routes[prefix], prefix, true)
		routes := config["routes"].([]map[string]any)
		routes[len(routes)-1]["name"] = prefix
		names = append(names, prefix)
	}
	return names
}

// version returns the routes as a version of the configuration that is published now.
func (b *routeBook) version(number uint64) RouteVersion {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := RouteVersion{Version: number, Routes: maps.Clone(b.routes), Changed: b.changed}
	b.changed = ""
	return v
}

// change draws a change for the next version: a route is added, moved to another service or
// removed. It returns what it did.
func (b *routeBook) change(rng *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	live := slices.DeleteFunc(slices.Sorted(maps.Keys(b.routes)), func(p string) bool { return p == fixedPrefix })
	service := probeServices[rng.IntN(len(probeServices))]
	var prefix, what string
	switch n := rng.IntN(3); {
	case len(live) < minProbeRoutes, n == 0 && len(live) < maxProbeRoutes:
		b.added++
		prefix = fmt.Sprintf("/probe/%d/", b.added)
		b.routes[prefix], what = service, "is added and leads to "+service
	case n == 1 && len(live) > minProbeRoutes:
		prefix, what = live[rng.IntN(len(live))], "is removed"
		delete(b.routes, prefix)
	default:
		prefix = live[rng.IntN(len(live))]
		if b.routes[prefix] == service {
			service = probeServices[(slices.Index(probeServices, service)+1)%len(probeServices)]
		}
		b.routes[prefix], what = service, "moves to "+service
	}
	b.changed = prefix
	b.recent = append(b.recent, prefix)
	b.recent = b.recent[max(0, len(b.recent)-recentChanges):]
	return prefix + " " + what
}

// draw returns the prefix for a probe.
func (b *routeBook) draw(rng *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := rng.IntN(recentChanges + 1); i < len(b.recent) {
		return b.recent[i]
	}
	return fixedPrefix
}

// changeRoutes publishes changes of routes until the context ends.
func (f *injector) changeRoutes(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, minRoutePause+time.Duration(rng.Int64N(int64(maxRoutePause-minRoutePause))))
		f.mu.Lock()
		if !f.quiet() {
			f.changeRoute(rng)
		}
		f.mu.Unlock()
	}
}

// changeRoute publishes a change of the routes. The lock must be held.
func (f *injector) changeRoute(rng *rand.Rand) {
	what := f.fleet.routes.change(rng)
	f.fleet.publish()
	f.logf("version %d: route %s", f.fleet.version, what)
}

// quiet reports whether the configuration does not change now. The lock must be held.
func (f *injector) quiet() bool { return time.Now().Before(f.quietUntil) }

// startProbers starts a prober of each host until the context ends.
func (s *testFleet) startProbers(ctx context.Context, group *sync.WaitGroup, seed uint64) {
	// Each probe has a connection of its own, so that none meets a process that has ended.
	client := &http.Client{Transport: httpanswer.NewTransport(&http.Transport{DisableKeepAlives: true})}
	for i, h := range s.hosts {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 1<<36+uint64(i)))
			for n := 0; ctx.Err() == nil; n++ {
				s.checker.RecordProbe(probe(client, h.Address(h.Ports.Callers), s.routes.draw(rng), fmt.Sprintf("probe-%d-%d", i, n)))
				sleep(ctx, probeInterval)
			}
		})
	}
}

// probe sends a request and returns its outcome.
func probe(client *http.Client, host, prefix, id string) Probe {
	p := Probe{Host: host, Prefix: prefix, Sent: time.Now()}
	reply := platformtest.Call(context.Background(), client, host, http.MethodGet, prefix+id, id, nil, probeTimeout)
	p.Replied, p.Status = time.Now(), reply.Status
	if service, ok := strings.CutSuffix(reply.Digest, "."+id); ok && reply.Status == http.StatusOK {
		p.Service = service
	}
	return p
}
