package engine

import (
	"context"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/guard"
	"github.com/lacewingyard/lacewingyard/pkg/balance"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
)

const (
	// preconnectBatch is the largest number of connections that one call of Preconnect
	// opens.
	preconnectBatch = 25
	// preconnectPause is the time between two of them. It leaves the CPU of a slow host to
	// requests.
	preconnectPause = 8 * time.Millisecond
)

// Preconnect opens connections to shards ahead of requests, as balance.Preconnect decides,
// one after the other. Callers should call it about twice a second, on hosts to which
// callers are directed. It must not be called concurrently.
func (e *Engine) Preconnect(ctx context.Context) {
	for _, t := range e.preconnectTargets(time.Now()) {
		guard.Run(e.cfg.Log, "connection ahead of requests", func() {
			if err := t.pool.Preconnect(ctx); err != nil && ctx.Err() == nil {
				// The next request finds out whether the target can be reached.
				e.cfg.Log.Debug("failed to connect ahead of requests", "target", t.id, "service", t.service, "error", err)
			}
		})
		select {
		case <-time.After(preconnectPause):
		case <-ctx.Done():
			return
		}
	}
}

// preconnectTargets returns the targets to which to open a connection now.
func (e *Engine) preconnectTargets(now time.Time) []*target {
	v := e.view.Load()
	if v == nil || v.Config == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shardsOf != v {
		e.shardsOf, e.shardServices = v, shardServices(v)
	}
	next := map[string]*target{}
	var services []balance.ServiceConnections
	for _, service := range e.shardServices {
		t := e.preferredTarget(v, service, now)
		if t == nil {
			continue
		}
		idle, _ := t.pool.Availability()
		next[service] = t
		services = append(services, balance.ServiceConnections{Service: service, LastUsed: e.lastUsed[service], Connected: idle || t.state.Outstanding() > 0})
	}
	var targets []*target
	for _, service := range e.preconnect.Next(now, services, preconnectBatch) {
		targets = append(targets, next[service])
	}
	return targets
}

// preferredTarget returns the target of a service that a request would go to now, or nil.
// The engine's lock must be held.
func (e *Engine) preferredTarget(v *catalog.View, service string, now time.Time) *target {
	var candidates []balance.Candidate
	var targets []*target
	for _, entry := range v.Usable(service) {
		if t := e.targets[entry.ID]; t != nil && !t.wrongTarget && !now.Before(t.coldUntil()) && t.notices.Takes(now) {
			candidate, _ := e.candidate(t)
			candidates = append(candidates, candidate)
			targets = append(targets, t)
		}
	}
	_, here := e.cfg.Fleet.Hosts()
	if i := balance.Choose(now, candidates, time.Millisecond, here, e.rng); i >= 0 {
		return targets[i]
	}
	return nil
}

// shardServices returns the services of routes over many shards, and those that no route
// names yet: the shards of the next partition of an index start before a configuration
// names them.
func shardServices(v *catalog.View) []string {
	var services []string
	named := map[string]bool{}
	for i := range v.Config.Routes {
		r := &v.Config.Routes[i]
		for _, s := range r.Services() {
			if !named[s] && len(r.Shards) > 0 {
				services = append(services, s)
			}
			named[s] = true
		}
	}
	for _, s := range v.ServicesWithTargets() {
		if !named[s] {
			services = append(services, s)
		}
	}
	return services
}
