package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/engine"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
)

const manyTenants = 100_000

// Guards against a series for each of many tenants, requests that no series counts, and large
// tenants that are not named.
func TestTenantMetricsStayBounded(t *testing.T) {
	g := NewWithT(t)
	registry := prometheus.NewRegistry()
	m := newTenantMetrics(registry)
	now := time.Unix(1000, 0)
	const large = 20
	for i := range manyTenants {
		now = now.Add(time.Millisecond)
		m.count(now, fmt.Sprint("small", i), "")
		m.count(now, fmt.Sprint("large", i%large), engine.OverQuota)
	}
	// The series of the last interval: 10 tenants and the others, the latter with and without
	// refusals.
	families, err := registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(families).To(HaveLen(1))
	g.Expect(len(families[0].Metric)).To(And(BeNumerically(">", namedTenants), BeNumerically("<=", 2*(namedTenants+1))))
	g.Expect(m.named).To(HaveLen(namedTenants))
	g.Expect(m.named).To(HaveEach(HavePrefix("large")))
	g.Expect(m.counts.Len()).To(BeNumerically("<=", trackedTenants))
}

// Guards against state that grows with the number of tenants over their limits, and against
// tenants that stay over their limits for ever.
func TestTenantsOverLimitsStayBounded(t *testing.T) {
	g := NewWithT(t)
	q := &quotas{over: map[uint64]*overLimit{}}
	now := time.Unix(1000, 0)
	logged := 0
	for i := range manyTenants {
		if q.noteOverLimit(now, uint64(i), &tenant.Tenant{Name: fmt.Sprint(i), Rate: 1}) {
			logged++
		}
	}
	g.Expect(logged).To(Equal(maxOverLimit))
	g.Expect(q.over).To(HaveLen(maxOverLimit))
	g.Expect(q.noteOverLimit(now, 0, &tenant.Tenant{Name: "0", Rate: 1})).To(BeFalse(), "one line for a change of state")
	g.Expect(q.over[0].refused).To(BeEquivalentTo(2))
}
