package catalog

import (
	"maps"
	"reflect"
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
}

// Diff returns the patch from this configuration to another, or nil if the names
// of routes are not unique in either of them.
func (c *Config) Diff(to *Config) *Patch {
	old, ok := c.routesByName()
	if !ok {
		return nil
	}
	current, ok := to.routesByName()
	if !ok {
		return nil
	}
	p := &Patch{Base: c.Version, Version: to.Version, Limits: to.Limits}
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
	out := &Config{Version: p.Version, Limits: p.Limits, Services: maps.Clone(c.Services)}
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
	return out
}
