package edge

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/edge/site"
	"github.com/lacewingyard/lacewingyard/pkg/quota"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Pause of the process", func() {
	// Guards against a host that wakes and uses its old tokens until the next housekeeping:
	// other hosts were granted them meanwhile.
	DescribeTable("drops tokens at the first request after it", func(behind time.Duration, expected quota.Decision) {
		h := &Host{opts: Options{Site: site.Settings{Name: "self", QuotaSlack: 20}, Log: hclog.NewNullLogger()}, started: time.Now().Add(-time.Hour)}
		q := newQuotas(h, 1)
		q.hosts, q.majority = []string{"self"}, true
		a := &tenant.Tenant{Name: "a", Rate: 10, Burst: 20}
		q.limits = map[uint64]quota.Limit{quota.Key("a"): {Rate: 10, Burst: 20}}
		_, _ = q.Admit(time.Now(), a)
		q.ask()
		d, _ := q.Admit(time.Now(), a)
		Expect(d).To(Equal(quota.Admitted))
		q.ask()
		q.clockBehind -= behind // as if the wall clock had moved on by more than the monotonic one
		d, _ = q.Admit(time.Now(), a)
		Expect(d).To(Equal(expected))
	}, Entry("10 s", 10*time.Second, quota.NoToken), Entry("none", time.Duration(0), quota.Admitted))
})
