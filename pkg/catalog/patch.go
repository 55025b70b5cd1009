package catalog

import (
	"maps"
	"reflect"
)

// Patch is the difference between two configurations. A change touches a few of
// up to some thousand routes, so a patch is much shorter than the whole.
type Patch struct {
	Base    uint64 `cbor:"1,keyasint,omitempty"` // version to which it applies
	Version uint64 `cbor:"2,keyasint,omitempty"` // of the result

	Routes          []Route   `cbor:"3,keyasint,omitempty"` // added or changed, by name
	RemovedRoutes   []string  `cbor:"4,keyasint,omitempty"` // names
	Services        []Service `cbor:"5,keyasint,omitempty"`
	RemovedServices []string  `cbor:"6,keyasint,omitempty"`
	Limits          Limits    `cbor:"7,keyasint,omitempty"`
}

// Diff returns the patch that makes another configuration of this one, nil if
// routes cannot be told apart by their names.
func (c *Config) Diff(to *Config) *Patch {
	old, ok := c.byName()
	if !ok {
		return nil
	}
	current, ok := to.byName()
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

// byName returns the routes by name; false if two have the same.
func (c *Config) byName() (map[string]*Route, bool) {
	routes := make(map[string]*Route, len(c.Routes))
	for i := range c.Routes {
		routes[c.Routes[i].Name] = &c.Routes[i]
	}
	return routes, len(routes) == len(c.Routes)
}

// patched returns the configuration that a patch for this one makes. The order of
// routes carries no meaning: the longest prefix wins.
func (c *Config) patched(p *Patch) *Config {
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
