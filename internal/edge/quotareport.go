package edge

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/quota"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// quotaCounts counts what the quotas of a host did, since its start.
type quotaCounts struct {
	holder                 quota.HolderCounts
	asked                  float64 // tokens
	sent, unsent, received int64   // datagrams
}

// readCounts returns the counters since the start.
func (q *quotas) readCounts() quotaCounts {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.counts
	c.holder = q.holder.Counts()
	return c
}

// QuotaStatus describes the limits of tenants and the tokens on a host.
type QuotaStatus struct {
	// In any window, a tenant may have (rate × window + burst) × (1 + overshoot) + slack requests.
	WindowMS  int64   `json:"window_ms"`
	Overshoot float64 `json:"overshoot"`
	Slack     float64 `json:"slack"`

	LimitedTenants int      `json:"limited_tenants"`
	Grants         bool     `json:"grants"` // whether this host grants tokens, for some of the tenants
	GrantingHosts  []string `json:"granting_hosts"`
	// Majority is set if this host sees at least half of the fleet; it grants only then.
	Majority     bool    `json:"sees_majority"`
	TokensHeld   float64 `json:"tokens_held"`
	TenantsHeld  int     `json:"tenants_with_recent_requests"`
	Buckets      int     `json:"buckets"` // of tenants that this host grants tokens for
	TokensAsked  float64 `json:"tokens_asked"`
	TokensGiven  int64   `json:"tokens_granted"`
	TokensLapsed int64   `json:"tokens_lapsed"`
	// OverLimitCount is the number of tenants over their limits, OverLimit those of them with
	// the most refused requests, and Largest the tenants with the most requests lately.
	OverLimitCount int               `json:"over_limit_count"`
	OverLimit      []OverLimitStatus `json:"over_limit,omitempty"`
	Largest        []HeldStatus      `json:"largest,omitempty"`
}

// OverLimitStatus describes a tenant over its limit.
type OverLimitStatus struct {
	Tenant       string  `json:"tenant"`
	RatePerS     float64 `json:"rate_per_s"`
	Burst        float64 `json:"burst"`
	OverMS       int64   `json:"over_ms"`
	Refused      int64   `json:"refused"` // by this host, since it went over
	GrantingHost string  `json:"granting_host"`
}

// HeldStatus describes what a host holds for a tenant.
type HeldStatus struct {
	Tenant       string  `json:"tenant"`
	Tokens       float64 `json:"tokens"`
	DemandPerS   float64 `json:"demand_per_s"`
	GrantingHost string  `json:"granting_host"`
}

// status returns the QuotaStatus; nil if no tenant has a limit.
func (q *quotas) status(now time.Time) *QuotaStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.limits) == 0 {
		return nil
	}
	counts := q.holder.Counts()
	s := &QuotaStatus{
		WindowMS: q.bounds.Window.Milliseconds(), Overshoot: q.bounds.Overshoot, Slack: q.bounds.Slack,
		LimitedTenants: len(q.limits), Grants: q.grants(), GrantingHosts: slices.Clone(q.hosts), Majority: q.majority, Buckets: q.granter.Tenants(),
		TokensAsked: q.counts.asked, TokensGiven: counts.Granted, TokensLapsed: counts.Lapsed, OverLimitCount: len(q.over),
	}
	holdings := q.holder.Holdings(now)
	s.TenantsHeld = len(holdings)
	for _, h := range holdings {
		s.TokensHeld += h.Tokens
		if name, ok := q.names[h.Tenant]; ok && len(s.Largest) < namedTenants {
			s.Largest = append(s.Largest, HeldStatus{Tenant: name, Tokens: h.Tokens, DemandPerS: h.Demand, GrantingHost: quota.GrantingHost(h.Tenant, q.hosts)})
		}
	}
	for key, o := range q.over {
		s.OverLimit = append(s.OverLimit, OverLimitStatus{
			Tenant: o.name, RatePerS: o.limit.Rate, Burst: o.limit.Burst, OverMS: now.Sub(o.since).Milliseconds(), Refused: o.refused, GrantingHost: quota.GrantingHost(key, q.hosts),
		})
	}
	slices.SortFunc(s.OverLimit, func(a, b OverLimitStatus) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Tenant, b.Tenant))
	})
	s.OverLimit = s.OverLimit[:min(namedTenants, len(s.OverLimit))]
	return s
}

// grants reports whether this host grants tokens. The lock must be held.
func (q *quotas) grants() bool {
	return q.majority && !q.leaving && slices.Contains(q.hosts, q.host.opts.Site.Name)
}

// TenantExplanation describes a tenant in the configuration in force and its tokens on a host.
type TenantExplanation struct {
	Tenant string `json:"tenant"`
	Config uint64 `json:"config"`
	// Era and Revision are those of the state in force.
	Era            uint64  `json:"era"`
	Revision       uint64  `json:"revision"`
	ConfirmedBy    string  `json:"confirmed_by"` // "store", or the peer that passed the confirmation on
	ConfirmedAgeMS int64   `json:"confirmed_ms_ago"`
	Keys           int     `json:"keys"`               // number of its keys
	Priority       *int    `json:"priority,omitempty"` // if it takes precedence over that of routes
	RatePerS       float64 `json:"rate_per_s"`         // 0: no limit
	Burst          float64 `json:"burst"`
	// The rest is not set for a tenant without a limit.
	GrantingHost string  `json:"granting_host,omitempty"`
	GrantsHere   bool    `json:"grants_here"` // whether this host grants its tokens
	Tokens       float64 `json:"tokens"`
	DemandPerS   float64 `json:"demand_per_s"`
	OverLimit    bool    `json:"over_limit"`
	Refused      int64   `json:"refused"` // by this host, since it went over its limit
}

// explain returns the explanation of a tenant of a configuration, false if there is none of
// that name.
func (q *quotas) explain(now time.Time, c *catalog.Config, name string) (TenantExplanation, bool) {
	if c == nil {
		return TenantExplanation{}, false
	}
	i := slices.IndexFunc(c.Tenants, func(t tenant.Tenant) bool { return t.Name == name })
	if i < 0 {
		return TenantExplanation{Config: c.Version}, false
	}
	t := &c.Tenants[i]
	e := TenantExplanation{Tenant: t.Name, Config: c.Version, Keys: len(t.Keys), RatePerS: t.Rate, Burst: t.Burst}
	if t.HasPriority {
		e.Priority = &t.Priority
	}
	if t.Rate <= 0 {
		return e, true
	}
	key := quota.Key(name)
	q.mu.Lock()
	defer q.mu.Unlock()
	e.GrantingHost = quota.GrantingHost(key, q.hosts)
	e.GrantsHere = q.grants() && e.GrantingHost == q.host.opts.Site.Name
	for _, h := range q.holder.Holdings(now) {
		if h.Tenant == key {
			e.Tokens, e.DemandPerS = h.Tokens, h.Demand
		}
	}
	if o, ok := q.over[key]; ok {
		e.OverLimit, e.Refused = true, o.refused
	}
	return e, true
}
