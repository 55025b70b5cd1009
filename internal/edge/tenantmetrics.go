package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/engine"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/topk"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// namedTenants is the number of tenants that metrics and the status name.
	namedTenants = 10
	// trackedTenants is the number of tenants whose requests are counted one by one to find
	// the largest. A tenant with more than 1 in 200 of the requests is always among them.
	trackedTenants = 200
	// rankInterval is the time between two choices of the tenants that metrics name, and
	// rankDecay what the count of a tenant keeps of its value in that time. Series that change
	// hands more often are of little use to operators.
	rankInterval = 10 * time.Second
	rankDecay    = 0.5
	// otherTenants is the label of the series of the tenants that are not named.
	otherTenants = "(other)"
)

// tenantMetrics counts requests by tenant: the largest in series of their own, and the others
// in one. The series of a tenant begins at 0 when it becomes one of the largest and ends when
// it no longer is, so that no counter falls and each request counts in one series.
type tenantMetrics struct {
	requests *prometheus.CounterVec

	mu     sync.Mutex
	counts *topk.Counter
	named  []string
	ranked time.Time // when named was chosen
}

func newTenantMetrics(r prometheus.Registerer) *tenantMetrics {
	m := &tenantMetrics{counts: topk.NewCounter(trackedTenants), requests: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lacewingyard_tenant_requests_total", Help: "Requests by tenant, the largest ones and the others together, and by the reason of a refusal because of the tenant's limit."},
		[]string{"tenant", "refusal"})}
	r.MustRegister(m.requests)
	return m
}

// count counts a request of a tenant.
func (m *tenantMetrics) count(now time.Time, tenant string, reason outcome.Reason) {
	if reason != engine.OverQuota && reason != engine.NoToken {
		reason = ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// Under the lock, so that the series of a tenant does not come back after rank has ended it.
	m.requests.WithLabelValues(m.label(now, tenant), string(reason)).Inc()
}

// label returns the label of a tenant, whose request it counts. The lock must be held.
func (m *tenantMetrics) label(now time.Time, tenant string) string {
	m.counts.Add(tenant)
	if len(m.named) < namedTenants && !slices.Contains(m.named, tenant) && m.counts.Len() <= namedTenants {
		m.named = append(m.named, tenant)
	}
	if now.Sub(m.ranked) >= rankInterval {
		m.rank(now)
	}
	if slices.Contains(m.named, tenant) {
		return tenant
	}
	return otherTenants
}

// rank chooses the tenants to name, and ends the series of those that are no longer named. The
// lock must be held.
func (m *tenantMetrics) rank(now time.Time) {
	named := m.counts.Largest(namedTenants)
	for _, tenant := range m.named {
		if !slices.Contains(named, tenant) {
			m.requests.DeletePartialMatch(prometheus.Labels{"tenant": tenant})
		}
	}
	m.named, m.ranked = named, now
	m.counts.Decay(rankDecay)
}

// registerQuota adds the counters of the tokens of tenants.
func (m *Metrics) registerQuota(q *quotas) {
	for _, c := range []struct {
		name, help string
		value      func(quotaCounts) float64
	}{
		{"lacewingyard_quota_tokens_asked_total", "Tokens of tenants that this host asked for, repeated asks included.", func(c quotaCounts) float64 { return c.asked }},
		{"lacewingyard_quota_tokens_granted_total", "Tokens of tenants that this host was granted.", func(c quotaCounts) float64 { return float64(c.holder.Granted) }},
		{"lacewingyard_quota_tokens_lapsed_total", "Tokens of tenants that lapsed on this host.", func(c quotaCounts) float64 { return float64(c.holder.Lapsed) }},
		{"lacewingyard_quota_datagrams_sent_total", "Datagrams about tokens of tenants sent to other hosts.", func(c quotaCounts) float64 { return float64(c.sent) }},
		{"lacewingyard_quota_datagrams_unsent_total", "Such datagrams that could not be sent, because the host is not known or the system refused it.", func(c quotaCounts) float64 { return float64(c.unsent) }},
		{"lacewingyard_quota_datagrams_received_total", "Datagrams about tokens of tenants received from other hosts.", func(c quotaCounts) float64 { return float64(c.received) }},
	} {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: c.name, Help: c.help}, func() float64 { return c.value(q.readCounts()) }))
	}
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lacewingyard_tenants_over_limit", Help: "Tenants of which this host refused requests lately because of their limits.",
	}, func() float64 { return float64(q.overCount()) }))
}
