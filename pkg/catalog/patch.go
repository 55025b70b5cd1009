package catalog

import (
	"maps"
	"reflect"

	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// Patch is the difference between two configurations. A new version changes a few
// of up to several thousand routes, so its patch is much smaller than the whole.
type Patch struct {
	Base    uint64 `cbor:"1,keyasint,omitempty"` // version to which the patch applies
	Version uint64 `cbor:"2,keyasint,omitempty"` // version of the result

	Routes          []Route   `cbor:"3,keyasint,omitempty"` // added or changed, by name
	RemovedRoutes   []string  `cbor:"4,keyasint,omitempty"` // names
	Services        []Service `cbor:"5,keyasint,omitempty"`
	RemovedServices []string  `cbor:"6,keyasint,omitempty"`
	Limits          Limits    `cbor:"7,keyasint,omitempty"`

	HasTenants     bool            `cbor:"8,keyasint,omitempty"`
	Tenants        []tenant.Tenant `cbor:"9,keyasint,omitempty"`  // added or changed, by name
	RemovedTenants []string        `cbor:"10,keyasint,omitempty"` // names
}

// Diff returns the patch from this configuration to another, or nil if the names
// of routes or of tenants are not unique in either of them.
func (c *Config) Diff(to *Config) *Patch {
	old, ok := c.routesByName()
	if !ok {
		return nil
	}
	current, ok := to.routesByName()
	if !ok {
		return nil
	}
	p := &Patch{Base: c.Version, Version: to.Version, Limits: to.Limits, HasTenants: to.HasTenants}
	if !c.diffTenants(to, p) {
		return nil
	}
	for i := range to.Routes {
		r := &to.Routes[i]
		if before, ok := old[r.Name]; !ok || !reflect.DeepEqual(before, r) {
			p.Routes = append(p.Routes, *r)
		}
	}
	for i := range c.Routes {
		if _, ok := current[c.Routes[i].Name]; !ok {
			p.RemovedRoutes = append(p.RemovedRoutes, c.Routes[i].Name)
		}
	}
	for name, s := range to.Services {
		if before, ok := c.Services[name]; !ok || before != s {
			p.Services = append(p.Services, s)
		}
	}
	for name := range c.Services {
		if _, ok := to.Services[name]; !ok {
			p.RemovedServices = append(p.RemovedServices, name)
		}
	}
	return p
}

// diffTenants sets the tenants of a patch. It returns false if two tenants of a
// configuration have the same name.
func (c *Config) diffTenants(to *Config, p *Patch) bool {
	old, ok := c.tenantsByName()
	if !ok {
		return false
	}
	current, ok := to.tenantsByName()
	if !ok {
		return false
	}
	for i := range to.Tenants {
		t := &to.Tenants[i]
		if before, ok := old[t.Name]; !ok || !before.Equal(t) {
			p.Tenants = append(p.Tenants, *t)
		}
	}
	for i := range c.Tenants {
		if _, ok := current[c.Tenants[i].Name]; !ok {
			p.RemovedTenants = append(p.RemovedTenants, c.Tenants[i].Name)
		}
	}
	return true
}

// tenantsByName returns the tenants by name, and false if two have the same name.
func (c *Config) tenantsByName() (map[string]*tenant.Tenant, bool) {
	tenants := make(map[string]*tenant.Tenant, len(c.Tenants))
	for i := range c.Tenants {
		tenants[c.Tenants[i].Name] = &c.Tenants[i]
	}
	return tenants, len(tenants) == len(c.Tenants)
}

// routesByName returns the routes by name, and false if two have the same name.
func (c *Config) routesByName() (map[string]*Route, bool) {
	routes := make(map[string]*Route, len(c.Routes))
	for i := range c.Routes {
		routes[c.Routes[i].Name] = &c.Routes[i]
	}
	return routes, len(routes) == len(c.Routes)
}

// withPatch returns the configuration that results from a patch of this one. The
// order of routes does not matter: the longest prefix wins.
func (c *Config) withPatch(p *Patch) *Config {
	out := &Config{Version: p.Version, Limits: p.Limits, Services: maps.Clone(c.Services), HasTenants: p.HasTenants}
	if out.Services == nil {
		out.Services = map[string]Service{}
	}
	replaced := make(map[string]bool, len(p.Routes)+len(p.RemovedRoutes))
	for i := range p.Routes {
		replaced[p.Routes[i].Name] = true
	}
	for _, name := range p.RemovedRoutes {
		replaced[name] = true
	}
	for _, r := range c.Routes {
		if !replaced[r.Name] {
			out.Routes = append(out.Routes, r)
		}
	}
	out.Routes = append(out.Routes, p.Routes...)
	for _, name := range p.RemovedServices {
		delete(out.Services, name)
	}
	for _, s := range p.Services {
		out.Services[s.Name] = s
	}
	out.Tenants = patchedTenants(c.Tenants, p)
	return out
}

// patchedTenants returns the tenants that result from a patch, or the same ones if it does not
// change them. Tenants that hold the same key keep their order.
func patchedTenants(tenants []tenant.Tenant, p *Patch) []tenant.Tenant {
	if len(p.Tenants) == 0 && len(p.RemovedTenants) == 0 {
		return tenants
	}
	changed := make(map[string]*tenant.Tenant, len(p.Tenants)+len(p.RemovedTenants))
	for _, name := range p.RemovedTenants {
		changed[name] = nil
	}
	for i := range p.Tenants {
		changed[p.Tenants[i].Name] = &p.Tenants[i]
	}
	out := make([]tenant.Tenant, 0, len(tenants)+len(p.Tenants))
	known := make(map[string]bool, len(p.Tenants))
	for i := range tenants {
		replacement, ok := changed[tenants[i].Name]
		switch {
		case !ok:
			out = append(out, tenants[i])
		case replacement != nil:
			out = append(out, *replacement)
			known[replacement.Name] = true
		}
	}
	for i := range p.Tenants {
		if !known[p.Tenants[i].Name] {
			out = append(out, p.Tenants[i])
		}
	}
	return out
}
