package daemon_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/target"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

const (
	calendarService = "show-calendar"
	lookupService   = "photo-archive"
)

func tenantWith(name string, keys ...string) settings.Tenant {
	t := settings.Tenant{Name: name}
	for _, key := range keys {
		d := tenant.Digest(key)
		t.KeyDigests = append(t.KeyDigests, hex.EncodeToString(d[:]))
	}
	return t
}

// keyed sends a request with a key, "" for none, and returns the status, the headers and the
// error body.
func (t *tier) keyed(ctx context.Context, host *fleet.Host, path, key, id string, body any) (int, http.Header, api.Error) {
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Entry.Callers+path, bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set(api.HeaderDeadline, "4000")
	req.Header.Set(target.HeaderTenant, "forged")
	if key != "" {
		req.Header.Set(api.HeaderAuthorization, "Bearer "+key)
	}
	if id != "" {
		req.Header.Set(api.HeaderRequestID, id)
	}
	resp, err := t.http.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var e api.Error
	if resp.StatusCode != http.StatusOK {
		Expect(json.NewDecoder(resp.Body).Decode(&e)).To(Succeed())
	}
	return resp.StatusCode, resp.Header, e
}

// ticket returns a ticket prefix of a host, which the key must get.
func (t *tier) ticket(ctx context.Context, host *fleet.Host, key string) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Entry.Callers+"/v1/tickets", nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set(api.HeaderAuthorization, "Bearer "+key)
	resp, err := t.http.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var ticket api.TicketResponse
	Expect(json.NewDecoder(resp.Body).Decode(&ticket)).To(Succeed())
	return ticket.TicketPrefix
}

var _ = Describe("Tenants", func() {
	var (
		searchPath, lookupPath = "/v1/services/" + calendarService + "/search", "/v1/services/" + lookupService + "/lookup"
		searchBody             = api.SearchRequest{Terms: []string{"a"}}
		lookupBody             = api.LookupRequest{ID: "slab-000001"}
	)

	// Guards against a path without the check of the key, a target that gets a key, a forged
	// name or none, and a withdrawn key that an open connection may still use.
	It("are identified on every path, and their keys can be withdrawn", func(ctx context.Context) {
		t := startTier(ctx, []string{calendarService, lookupService, commandService}, func(d *settings.Document) {
			d.Tenants = []settings.Tenant{tenantWith("anna", "anna-key-1", "anna-key-2"), tenantWith("ben", "ben-key")}
		})
		var mu sync.Mutex
		names, leaked := map[string]int{}, ""
		for _, s := range t.Searchers {
			s.OnRequest(func(h http.Header) {
				mu.Lock()
				defer mu.Unlock()
				if h.Get(target.HeaderRequestID) != "" { // probes of connections have none
					names[strings.Join(h[target.HeaderTenant], ",")]++
				}
				if text := fmt.Sprint(h); strings.Contains(text, "-key") || h.Get(api.HeaderAuthorization) != "" {
					leaked = text
				}
			})
		}
		sends := 0
		send := func(host *fleet.Host, key string) (statuses []int) {
			sends++
			prefix := t.ticket(ctx, host, "ben-key")
			for path, body := range map[string]any{searchPath: searchBody, lookupPath: lookupBody, commandPath: lookupBody, "/v1/tickets": nil} {
				id := ""
				if path == commandPath {
					id = fmt.Sprint(prefix, sends)
				}
				status, header, e := t.keyed(ctx, host, path, key, id, body)
				statuses = append(statuses, status)
				if status == http.StatusUnauthorized {
					Expect(header.Get("WWW-Authenticate")).To(Equal("Bearer"))
					Expect(e.Reason).To(Equal(outcome.UnknownKey))
					Expect(e.Outcome).To(Equal(outcome.NotRun))
				}
			}
			return statuses
		}
		for _, host := range t.hosts[:2] {
			Expect(send(host, "anna-key-1")).To(HaveEach(200))
			for _, key := range []string{"", "other"} {
				Expect(send(host, key)).To(HaveEach(401), "key %q", key)
			}
		}
		mu.Lock()
		Expect(leaked).To(BeEmpty(), "a target got a key")
		Expect(names).To(HaveLen(1))
		Expect(names["anna"]).To(BeNumerically(">=", 6))
		mu.Unlock()

		Expect(t.PublishConfig(func(d *settings.Document) { d.Tenants[0] = tenantWith("anna", "anna-key-2") })).To(Succeed())
		for _, host := range t.hosts[:2] {
			Eventually(func() uint64 { return host.Daemon.Status().ConfigVersion }, 6*time.Second, 10*time.Millisecond).Should(Equal(t.Tree().Doc.Version))
			Expect(send(host, "anna-key-1")).To(HaveEach(401), "a withdrawn key")
			Expect(send(host, "anna-key-2")).To(HaveEach(200))
		}
		status, err := json.Marshal(t.hosts[0].Daemon.Status())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(status)).To(ContainSubstring(`"name":"anna"`))
		Expect(string(status)).NotTo(Or(ContainSubstring("-key-"), ContainSubstring(tenantWith("", "anna-key-2").KeyDigests[0])))
	}, NodeTimeout(time.Minute))

	// Guards against an anonymous service that refuses requests without a key, and against one
	// that opens the others as well.
	It("are not needed by anonymous services", func(ctx context.Context) {
		t := startTier(ctx, []string{calendarService, lookupService}, func(d *settings.Document) {
			d.Tenants = []settings.Tenant{}
			s := d.Services[lookupService]
			s.Anonymous = true
			d.Services[lookupService] = s
		})
		status, _, _ := t.keyed(ctx, t.hosts[0], lookupPath, "", "", lookupBody)
		Expect(status).To(Equal(200))
		status, _, _ = t.keyed(ctx, t.hosts[0], searchPath, "", "", searchBody)
		Expect(status).To(Equal(401))
	}, NodeTimeout(time.Minute))

	// Guards against "not run" for a command that ran, reported because its key was withdrawn,
	// and against an answer that another tenant gets by its ticket.
	It("keep the promises of commands", func(ctx context.Context) {
		t := startTier(ctx, []string{commandService}, func(d *settings.Document) {
			d.Tenants = []settings.Tenant{tenantWith("anna", "anna-key"), tenantWith("ben", "ben-key")}
		})
		home, other := t.hosts[0], t.hosts[1]
		id := t.ticket(ctx, home, "anna-key") + "one"
		status, _, _ := t.keyed(ctx, home, commandPath, "anna-key", id, lookupBody)
		Expect(status).To(Equal(200))
		for _, host := range []*fleet.Host{home, other} {
			status, _, e := t.keyed(ctx, host, commandPath, "ben-key", id, lookupBody)
			Expect(status).NotTo(Equal(200), "another tenant must not get the answer")
			Expect(e.Outcome).To(Equal(outcome.Unknown))
			status, _, e = t.keyed(ctx, host, commandPath, "none", id, lookupBody)
			Expect(status).To(Equal(401))
			Expect(e.Outcome).To(Equal(outcome.Unknown), "the command ran")
		}
		_, _, e := t.keyed(ctx, home, commandPath, "none", t.ticket(ctx, home, "anna-key")+"new", lookupBody)
		Expect(e.Outcome).To(Equal(outcome.NotRun), "the home knows that it did not run")
		Expect(t.runs()[id]).To(Equal(1))
	}, NodeTimeout(time.Minute))

	// Guards against a limit that each host applies alone, a refusal without a retry delay, and a
	// tenant without a limit that is refused with the others.
	It("are limited over all hosts together", func(ctx context.Context) {
		const rate, burst, window = 20, 10, 5
		t := startTier(ctx, []string{lookupService}, func(d *settings.Document) {
			limited := tenantWith("anna", "anna-key")
			limited.RatePerS, limited.Burst = rate, burst
			d.Tenants = []settings.Tenant{limited, tenantWith("ben", "ben-key")}
		})
		var mu sync.Mutex
		counts := map[string]map[int]int{"anna-key": {}, "ben-key": {}}
		var wg sync.WaitGroup
		end := time.Now().Add(window * time.Second)
		for _, host := range t.hosts {
			for key, each := range counts {
				wg.Go(func() {
					defer GinkgoRecover()
					for time.Now().Before(end) {
						status, header, e := t.keyed(ctx, host, lookupPath, key, "", lookupBody)
						if status == http.StatusTooManyRequests {
							Expect(header.Get("Retry-After")).NotTo(BeEmpty())
							Expect(e.Reason).To(Equal(outcome.OverQuota))
						}
						mu.Lock()
						each[status]++
						mu.Unlock()
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
		}
		wg.Wait()
		GinkgoWriter.Println("statuses", counts)
		limit := float64(rate*window + burst)
		Expect(float64(counts["anna-key"][200])).To(BeNumerically("<=", limit*1.25+20), "the cap of the design in one window")
		Expect(float64(counts["anna-key"][200])).To(BeNumerically(">=", rate*window*0.7), "a granting host answers")
		Expect(counts["anna-key"][429]).To(BeNumerically(">", 0))
		Expect(counts["ben-key"]).To(HaveLen(1))
		Expect(counts["ben-key"]).To(HaveKey(200))
	}, NodeTimeout(time.Minute))
})
