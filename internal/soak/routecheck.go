package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

const (
	// touchTime is how long a host, its link to the store and the store must have been without
	// a fault for a check of its configuration.
	touchTime = disturbanceMargin + 500*time.Millisecond
	// downgradeSlack is how long after an answer that shows the effect of a version requests may
	// still be handled as an older version allows.
	downgradeSlack = 250 * time.Millisecond
	// A host in touch must serve minServedProbes of the probes that it owes service, from
	// minOwedProbes such probes on.
	minOwedProbes   = 20
	minServedProbes = 0.25
)

// RouteVersion is a version of the configuration that was published, as far as probes see it.
type RouteVersion struct {
	Version uint64
	Routes  map[string]string // services by prefix
	Changed string            // prefix of the route in which it differs from the version before; empty for none
}

// Probe is a request that shows which configuration a host uses, and its outcome.
type Probe struct {
	Host, Prefix  string
	Sent, Replied time.Time
	Status        int    // 0 if there was no answer
	Service       string // that answered; empty for none
}

// handled reports whether the outcome shows how the host handled the probe by its configuration.
func (p *Probe) handled() bool {
	return p.Status == http.StatusNotFound || p.Status == http.StatusOK && p.Service != ""
}

// allowedBy reports whether the outcome is what a version of the configuration allows.
func (p *Probe) allowedBy(v *publishedRoutes) bool {
	service, ok := v.Routes[p.Prefix]
	if p.Status == http.StatusNotFound {
		return !ok
	}
	return ok && service == p.Service
}

// publishedRoutes is a version and when its write began.
type publishedRoutes struct {
	RouteVersion
	before time.Time
	judged bool // whether a host was checked for the change
}

// heldVersion is the version that the store has since a write, or a rollback, between two times.
type heldVersion struct {
	before, after time.Time
	version       uint64
}

func newRouteChecks() routeChecks { return routeChecks{starts: map[string][]time.Time{}} }

// routeChecks is the part of a Checker that deals with the configuration that hosts use.
type routeChecks struct {
	versions []*publishedRoutes     // in order of versions and of time
	held     []heldVersion          // in order of time
	starts   map[string][]time.Time // of hosts, by address
	probes   []Probe
	counts   RouteCounts
}

// RouteCounts counts what the checks of routes had to judge.
type RouteCounts struct {
	Changes, JudgedChanges int // changes of routes, and those for which a host was checked
	Probes, Judged         int // requests on changed routes, and those that hosts in touch handled
}

// String returns the counts as a part of a sentence.
func (c RouteCounts) String() string {
	return fmt.Sprintf("%d of %d route changes checked by %d of %d probes", c.JudgedChanges, c.Changes, c.Judged, c.Probes)
}

// PublishRoutes records that a version of the configuration was written to the store between two
// times.
func (c *Checker) PublishRoutes(before, after time.Time, v RouteVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v.Routes = maps.Clone(v.Routes)
	c.routes.versions = append(c.routes.versions, &publishedRoutes{RouteVersion: v, before: before})
	c.routes.held = append(c.routes.held, heldVersion{before, after, v.Version})
}

// HoldVersion records that the store has a version published earlier since a time between two
// times, because it rolled back or because that version was written again.
func (c *Checker) HoldVersion(before, after time.Time, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes.held = append(c.routes.held, heldVersion{before, after, version})
}

// AddHostStart records that the process of a host was started.
func (c *Checker) AddHostStart(host string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes.starts[host] = append(c.routes.starts[host], at)
}

// RecordProbe records a probe.
func (c *Checker) RecordProbe(p Probe) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes.probes = append(c.routes.probes, p)
}

// leastHeld returns the lowest version that the store had at any moment of a span of time, 0 if
// it had none.
func (r *routeChecks) leastHeld(from, until time.Time) uint64 {
	least, found := uint64(0), false
	for i, h := range r.held {
		if h.before.After(until) {
			break
		}
		if i+1 < len(r.held) && r.held[i+1].after.Before(from) {
			continue
		}
		if i == 0 && h.after.After(from) {
			return 0
		}
		if !found || h.version < least {
			least, found = h.version, true
		}
	}
	return least
}

// inForce returns the versions from least on whose writes had begun at a time.
func (r *routeChecks) inForce(least uint64, at time.Time) []*publishedRoutes {
	var versions []*publishedRoutes
	for _, v := range r.versions {
		if v.Version >= least && v.before.Before(at) {
			versions = append(versions, v)
		}
	}
	return versions
}

// lifetime returns the number of starts of a host before a time.
func (r *routeChecks) lifetime(host string, at time.Time) int {
	return len(r.starts[host]) - len(slices.DeleteFunc(slices.Clone(r.starts[host]), at.After))
}

// routeFault is a kind of violation at one host.
type routeFault struct {
	count int
	first string
}

// add counts a violation.
func (f *routeFault) add(p *Probe, why string) {
	f.count++
	if f.first != "" {
		return
	}
	outcome := "refused with 404"
	if p.Service != "" {
		outcome = "served by " + p.Service
	}
	f.first = fmt.Sprintf("%s was %s at %s, %s", p.Prefix, outcome, p.Sent.Format("15:04:05.000"), why)
}

// hostProbes checks the probes of one host.
type hostProbes struct {
	*routeChecks
	old, denied, regressed routeFault
	owed, served           int

	lifetime int
	shown    []shownVersion // in the lifetime
}

// shownVersion is a version whose effect an answer showed at a time.
type shownVersion struct {
	at      time.Time
	version uint64
}

// CheckRoutes checks the probes against the versions of the configuration that may have been in
// force, and returns all violations found so far.
func (c *Checker) CheckRoutes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	byHost := map[string][]Probe{}
	for _, p := range c.routes.probes {
		byHost[p.Host] = append(byHost[p.Host], p)
	}
	c.routes.counts.Probes += len(c.routes.probes)
	c.routes.probes = nil
	for _, host := range slices.Sorted(maps.Keys(byHost)) {
		probes := byHost[host]
		slices.SortFunc(probes, func(a, b Probe) int { return a.Replied.Compare(b.Replied) })
		h := hostProbes{routeChecks: &c.routes}
		for i := range probes {
			p := &probes[i]
			h.check(p, !c.tenants.storeFaulted(p.Sent.Add(-touchTime), p.Replied) && !c.faultedSince(host, p.Sent.Add(-touchTime), p.Replied))
		}
		for _, f := range []struct {
			routeFault
			what string
		}{
			{h.old, "were handled as only a version before that in force allows"},
			{h.denied, "were refused on a route that all versions in force have"},
			{h.regressed, "were handled by an older version than probes before them"},
		} {
			if f.count > 0 {
				c.fail("%d of %d probes of %s %s; the first one: %s", f.count, len(probes), host, f.what, f.first)
			}
		}
		if h.owed >= minOwedProbes && float64(h.served) < minServedProbes*float64(h.owed) {
			c.fail("only %d of %d probes on routes in force were served by %s", h.served, h.owed, host)
		}
	}
	return c.violations
}

// check checks a probe. They have to be checked in the order of their replies.
func (h *hostProbes) check(p *Probe, inTouch bool) {
	least := h.leastHeld(p.Sent.Add(-configDeadline), p.Sent)
	if inTouch && least > 0 {
		h.checkInTouch(p, least)
	}
	if !p.handled() {
		return
	}
	if !inTouch && p.Status == http.StatusNotFound && !slices.ContainsFunc(h.inForce(0, p.Replied), p.allowedBy) {
		h.denied.add(p, "and each version ever published has the route")
	}
	h.checkRegress(p)
}

// checkInTouch checks a probe of a host in touch against the versions from least on.
func (h *hostProbes) checkInTouch(p *Probe, least uint64) {
	versions := h.inForce(least, p.Replied)
	if !slices.ContainsFunc(versions, func(v *publishedRoutes) bool { return v.Routes[p.Prefix] == "" }) {
		h.owed++
		if p.Status == http.StatusOK {
			h.served++
		}
	}
	if !p.handled() {
		return
	}
	h.counts.Judged++
	for _, v := range h.versions {
		if v.Changed == p.Prefix && v.Version <= least && !slices.ContainsFunc(h.versions, func(o *publishedRoutes) bool {
			return o.Changed == p.Prefix && o.Version > v.Version && o.Version <= versions[len(versions)-1].Version
		}) {
			v.judged = true
		}
	}
	if slices.ContainsFunc(versions, p.allowedBy) {
		return
	}
	why := fmt.Sprintf("with version %d in force", least)
	if p.Status == http.StatusNotFound {
		h.denied.add(p, why)
	} else {
		h.old.add(p, why)
	}
}

// checkRegress checks a probe against the versions whose effect earlier probes showed.
func (h *hostProbes) checkRegress(p *Probe) {
	if lifetime := h.routeChecks.lifetime(p.Host, p.Sent); lifetime != h.lifetime {
		h.lifetime, h.shown = lifetime, nil
	}
	least := uint64(0)
	for _, s := range h.shown {
		if s.at.Add(downgradeSlack).Before(p.Sent) {
			least = max(least, s.version)
		}
	}
	versions := h.inForce(least, p.Replied)
	i := slices.IndexFunc(versions, p.allowedBy)
	switch {
	case i >= 0:
		if n := len(h.shown); n == 0 || h.shown[n-1].version < versions[i].Version {
			h.shown = append(h.shown, shownVersion{p.Replied, versions[i].Version})
		}
	case least > 0:
		h.regressed.add(p, fmt.Sprintf("after the effect of version %d", least))
	}
}

// CountRoutes returns the counts. It must be called after CheckRoutes.
func (c *Checker) CountRoutes() RouteCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.routes.counts
	for _, v := range c.routes.versions {
		if v.Changed == "" {
			continue
		}
		counts.Changes++
		if v.judged {
			counts.JudgedChanges++
		}
	}
	return counts
}
