package edge_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/edge"
	"github.com/lacewingyard/lacewingyard/platform"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

var _ = Describe("Reports about tenants", func() {
	// Guards against operators who cannot find the tenant that exceeds its limit, against a log
	// line for each refusal, and against keys in what operators see.
	It("name the tenant over its limit and never its key", func() {
		const key = "secret-key-0815"
		f := newFixture(1)
		logs := &lockedBuffer{}
		f.logger = hclog.New(&hclog.LoggerOptions{Output: logs, Level: hclog.Trace})
		settings := f.hosts[0].HostSettings
		settings.Name, settings.IP = "host-1", "127.0.0.3"
		h := f.start(settings)
		Eventually(f.ready(h), 5*time.Second).Should(BeTrue())
		config := platformtest.Config(2, shards, 2*time.Second)
		platformtest.SetTenants(config, []platformtest.Tenant{{Name: "alder", Keys: []string{key}, Priority: 1, Rate: 2, Burst: 2}, {Name: "birch"}})
		f.store.Put(platformtest.ConfigKey, config)

		get := func(path string) string {
			resp, err := f.client.Get("http://" + h.Address(h.Ports.Operators) + path)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			return string(body)
		}
		call := func() int {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			req, err := platformtest.NewRequest(ctx, h.Address(h.Ports.Callers), "POST", platformtest.AtMostOncePrefix+"x", "x", nil, 2*time.Second)
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+key)
			reply := platformtest.Send(f.client, req)
			return reply.Status
		}
		refused := 0
		Eventually(func() int { // the limit and the tolerance of 20 requests are used up
			if call() == http.StatusTooManyRequests {
				refused++
			}
			return refused
		}, 20*time.Second, time.Millisecond).Should(BeNumerically(">=", 20))

		var status edge.Status
		var explanation edge.TenantExplanation
		statusText, explainText := get(edge.StatusPath), get(edge.ExplainPath+"?"+url.Values{edge.TenantParam: {"alder"}}.Encode())
		Expect(json.Unmarshal([]byte(statusText), &status)).To(Succeed())
		Expect(status.Quota.OverLimitCount).To(Equal(1))
		Expect(status.Quota.OverLimit[0].Tenant).To(Equal("alder"))
		Expect(status.Quota.OverLimit[0].Refused).To(BeNumerically(">=", 20))
		Expect(status.Quota.GrantingHosts).To(ContainElement(status.Quota.OverLimit[0].GrantingHost))
		Expect(status.Quota.Largest[0].Tenant).To(Equal("alder"))
		Expect(json.Unmarshal([]byte(explainText), &explanation)).To(Succeed())
		Expect(explanation.GrantsHere).To(Equal(explanation.GrantingHost == "host-1"))
		Expect(explanation).To(And(HaveField("Keys", 1), HaveField("RatePerS", 2.0), HaveField("OverLimit", true), HaveField("GrantingHost", Not(BeEmpty()))))
		Expect(get(edge.ExplainPath + "?tenant=unknown")).To(ContainSubstring(`no tenant`))
		metrics := get(edge.MetricsPath)
		Expect(metrics).To(MatchRegexp(`lacewingyard_tenant_requests_total\{refusal="over_quota",tenant="alder"\} [2-9]\d`))
		Expect(metrics).To(MatchRegexp(`lacewingyard_requests_total\{outcome="not_run",reason="over_quota"\}`))
		Expect(metrics).To(MatchRegexp(`(?m)^lacewingyard_quota_tokens_asked_total [1-9]`))
		Expect(metrics).To(MatchRegexp(`(?m)^lacewingyard_quota_tokens_granted_total [1-9]`))
		Expect(metrics).To(MatchRegexp(`(?m)^lacewingyard_quota_datagrams_(sent|received)_total [1-9]`))
		Expect(metrics).To(MatchRegexp(`(?m)^lacewingyard_tenants_over_limit 1$`))

		Eventually(logs.String, 10*time.Second).Should(ContainSubstring("a tenant is below its limit again"))
		Expect(regexp.MustCompile("a tenant goes over its limit: tenant=alder").FindAllString(logs.String(), -1)).To(HaveLen(1))
		Expect(get(edge.MetricsPath)).To(MatchRegexp(`(?m)^lacewingyard_tenants_over_limit 0$`))
		for _, text := range []string{statusText, explainText, metrics, logs.String()} {
			Expect(text).NotTo(ContainSubstring(key))
		}
	})
})

// Guards against bounds of the limits that stay those of the start until the next one.
var _ = It("Reload applies changed bounds of the limits of tenants", func() {
	f := newFixture(1)
	h := f.hosts[0]
	config := platformtest.Config(2, shards, 2*time.Second)
	platformtest.SetTenants(config, []platformtest.Tenant{{Name: "alder", Rate: 2, Burst: 2}})
	f.store.Put(platformtest.ConfigKey, config)
	slack := func() float64 {
		resp, err := f.client.Get("http://" + h.Address(h.Ports.Operators) + edge.StatusPath)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		var status edge.Status
		Expect(json.NewDecoder(resp.Body).Decode(&status)).To(Succeed())
		if status.Quota == nil {
			return 0
		}
		return status.Quota.Slack
	}
	Eventually(slack, 5*time.Second).Should(Equal(20.0))
	changed, err := platform.ParseSettings([]byte(h.Settings()))
	Expect(err).NotTo(HaveOccurred())
	changed.QuotaSlack = 5
	h.host.Reload(changed)
	Expect(slack()).To(Equal(5.0))
})
