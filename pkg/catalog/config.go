package catalog

import (
	"sort"
	"strings"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64             `cbor:"1,keyasint,omitempty"`
	Routes   []Route            `cbor:"2,keyasint,omitempty"`
	Services map[string]Service `cbor:"3,keyasint,omitempty"`
	Limits   Limits             `cbor:"4,keyasint,omitempty"`
	// HasTenants is set if the operator manages tenants, even if Tenants is empty. Without
	// it, requests need no key.
	HasTenants bool            `cbor:"5,keyasint,omitempty"`
	Tenants    []tenant.Tenant `cbor:"6,keyasint,omitempty"`

	byHostname map[string][]*Route // longest prefix first
	tenants    *tenant.Directory   // nil without HasTenants
}

// Route determines where requests for a host name and path prefix are sent.
type Route struct {
	Name     string `cbor:"1,keyasint,omitempty"`
	Hostname string `cbor:"2,keyasint,omitempty"`
	Prefix   string `cbor:"3,keyasint,omitempty"`
	// Repeatable requests may run more than once.
	Repeatable bool `cbor:"4,keyasint,omitempty"`
	// Timeout is the longest time that a caller waits for the answer.
	Timeout time.Duration `cbor:"5,keyasint,omitempty"`
	// Objective is the latency objective: an answer within this time has its full
	// value.
	Objective time.Duration `cbor:"6,keyasint,omitempty"`
	// Attempts is the largest number of targets per shard that may run one request.
	Attempts int `cbor:"7,keyasint,omitempty"`
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int `cbor:"8,keyasint,omitempty"`

	Service string   `cbor:"9,keyasint,omitempty"`  // the only service, if Split and Shards are empty
	Split   []Weight `cbor:"10,keyasint,omitempty"` // services that share the requests by weight
	Shards  []string `cbor:"11,keyasint,omitempty"` // services that each return a part of the answer

	TopK          int     `cbor:"12,keyasint,omitempty"` // records in a merged answer
	MinShardRatio float64 `cbor:"13,keyasint,omitempty"` // smallest fraction of the shards in a merged answer

	// Anonymous routes need no key.
	Anonymous bool `cbor:"14,keyasint,omitempty"`
}

// Weight is the share of a service in a split route.
type Weight struct {
	Service string  `cbor:"1,keyasint,omitempty"`
	Weight  float64 `cbor:"2,keyasint,omitempty"`
}

// Service has the properties that the targets of a service share.
type Service struct {
	Name           string        `cbor:"1,keyasint,omitempty"`
	HealthPath     string        `cbor:"2,keyasint,omitempty"`
	MaxConnections int           `cbor:"3,keyasint,omitempty"` // of one target, from all hosts together
	Warmup         time.Duration `cbor:"4,keyasint,omitempty"` // how long a target is cold after its start
	WarmupRate     float64       `cbor:"5,keyasint,omitempty"` // requests per second that a cold target can serve; 0 means no limit
}

// Limits bound what a caller may send. Sizes are in bytes; 0 means no limit.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint,omitempty"`
	BodyBytes     int64         `cbor:"2,keyasint,omitempty"`
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"`
}

// Services returns the services to which the route may send requests.
func (r *Route) Services() []string {
	switch {
	case len(r.Shards) > 0:
		return r.Shards
	case len(r.Split) > 0:
		names := make([]string, len(r.Split))
		for i, w := range r.Split {
			names[i] = w.Service
		}
		return names
	default:
		return []string{r.Service}
	}
}

// buildIndex builds the indexes that Route and Identify use. It must be called once,
// before the Config is shared.
func (c *Config) buildIndex() {
	if c.HasTenants {
		c.tenants = tenant.NewDirectory(c.Tenants)
	}
	c.byHostname = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		hostname := strings.ToLower(r.Hostname)
		c.byHostname[hostname] = append(c.byHostname[hostname], r)
	}
	for _, routes := range c.byHostname {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

// Identify returns the tenant of a request on a route, nil if it has none, and false if the
// request must be refused because of its key.
func (c *Config) Identify(r *Route, credential tenant.Credential) (*tenant.Tenant, bool) {
	return tenant.Identify(c.tenants, r.Anonymous, credential)
}

// Route returns the route of a host name with the longest prefix of a path, or nil
// if there is none. A port in the host name is ignored.
func (c *Config) Route(hostname, path string) *Route {
	hostname = strings.ToLower(hostname)
	routes, ok := c.byHostname[hostname]
	if !ok {
		if i := strings.LastIndexByte(hostname, ':'); i >= 0 {
			routes = c.byHostname[hostname[:i]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
