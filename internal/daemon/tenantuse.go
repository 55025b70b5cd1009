package daemon

import (
	"cmp"
	"slices"
	"sync"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// TenantStatus is the configuration of a tenant and its use of this host. It has no key and
// no digest.
type TenantStatus struct {
	Name     string  `json:"name"`
	Keys     int     `json:"keys"` // number of keys, of which a rotation needs two
	Priority string  `json:"priority,omitempty"`
	RatePerS float64 `json:"rate_per_s,omitempty"` // of all hosts together; 0 for no limit
	Burst    float64 `json:"burst,omitempty"`
	Requests int64   `json:"requests"` // to this host since its start, the refused ones included
	Refused  int64   `json:"refused"`  // of Requests, by the rate limit
	// Tokens are those that this host holds, PerS the recent requests to this host a second
	// and GrantingHost the host that grants tokens; only with a rate limit.
	Tokens       float64 `json:"tokens,omitempty"`
	PerS         float64 `json:"per_s,omitempty"`
	GrantingHost string  `json:"granting_host,omitempty"`
}

// maxListedTenants bounds the tenants in a status; a document can have some 10,000.
const maxListedTenants = 100

// tenantUse counts the requests of tenants. The table holds only tenants of the
// configuration in force. It is safe for concurrent use.
type tenantUse struct {
	mu      sync.Mutex
	byName  map[string]*tenantCounts
	unknown int64
}

type tenantCounts struct{ requests, refused int64 }

func newTenantUse() *tenantUse { return &tenantUse{byName: map[string]*tenantCounts{}} }

func (u *tenantUse) count(name string, refused bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c, ok := u.byName[name]
	if !ok {
		c = &tenantCounts{}
		u.byName[name] = c
	}
	c.requests++
	if refused {
		c.refused++
	}
}

// countUnknown counts a request without a known key.
func (u *tenantUse) countUnknown() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unknown++
}

// configure drops the counts of tenants that a configuration does not have.
func (u *tenantUse) configure(tree *settings.Tree) {
	u.mu.Lock()
	defer u.mu.Unlock()
	known := make(map[string]bool, len(tree.Tenants()))
	for i := range tree.Tenants() {
		known[tree.Tenants()[i].Name] = true
	}
	for name := range u.byName {
		if !known[name] {
			delete(u.byName, name)
		}
	}
}

// status returns the tenants with the most requests, and the number of requests without a
// known key.
func (u *tenantUse) status(tree *settings.Tree) (tenants []TenantStatus, unknown int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := range tree.Tenants() {
		t := &tree.Tenants()[i]
		s := TenantStatus{Name: t.Name, Keys: len(t.Keys), RatePerS: t.Rate, Burst: t.Burst}
		if t.HasPriority {
			s.Priority = settings.Priority(t.Priority).String()
		}
		if c, ok := u.byName[t.Name]; ok {
			s.Requests, s.Refused = c.requests, c.refused
		}
		tenants = append(tenants, s)
	}
	slices.SortStableFunc(tenants, func(a, b TenantStatus) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
	})
	return tenants[:min(len(tenants), maxListedTenants)], u.unknown
}
