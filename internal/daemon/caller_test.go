package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// tier is a running deployment with a caller's HTTP client. Hosts may be replaced
// while requests run.
type tier struct {
	*fleet.Fleet
	http *http.Client

	mu    sync.Mutex
	hosts []*fleet.Host
}

// startTier starts the Riga example with only the given services, after change has
// adjusted its configuration.
func startTier(ctx context.Context, services []string, change func(*settings.Document)) *tier {
	d, err := fleet.Load("../../examples/riga")
	Expect(err).NotTo(HaveOccurred())
	for name := range d.Document.Services {
		if !slices.Contains(services, name) {
			delete(d.Document.Services, name)
		}
	}
	change(&d.Document)
	f, err := fleet.Start(ctx, d, hclog.NewNullLogger())
	Expect(err).NotTo(HaveOccurred())
	transport := &http.Transport{MaxIdleConnsPerHost: 16}
	DeferCleanup(func() { transport.CloseIdleConnections(); f.Close() })
	return &tier{Fleet: f, http: &http.Client{Transport: transport}, hosts: slices.Clone(f.Hosts)}
}

// host returns a random host.
func (t *tier) host(rng *rand.Rand) *fleet.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts[rng.IntN(len(t.hosts))]
}

// replace aborts a host, cutting off its open requests, and starts another one of the
// same ordinal.
func (t *tier) replace(ctx context.Context, old *fleet.Host) {
	is := func(h *fleet.Host) bool { return h == old }
	t.mu.Lock()
	t.hosts = slices.DeleteFunc(t.hosts, is)
	t.mu.Unlock()
	_ = old.Abort() // the error lists the interrupted requests
	t.Hosts = slices.DeleteFunc(t.Hosts, is)
	Expect(t.PublishHosts(func(l *platform.HostList) {
		l.Hosts = slices.DeleteFunc(l.Hosts, func(h platform.Host) bool { return h == old.Entry })
	})).To(Succeed())
	h, err := t.AddHost(ctx, old.Entry.Place, old.Entry.Ordinal)
	Expect(err).NotTo(HaveOccurred())
	select {
	case <-h.Daemon.Ready():
	case <-ctx.Done():
	}
	t.mu.Lock()
	t.hosts = append(t.hosts, h)
	t.mu.Unlock()
}

// post sends a request and decodes the answer. Without a reply that can be decoded,
// the outcome is unknown.
func (t *tier) post(ctx context.Context, host *fleet.Host, path, id string, deadline time.Duration, body, answer any) outcome.Outcome {
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Entry.Callers+path, bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	if id != "" {
		req.Header.Set(api.HeaderRequestID, id)
	}
	if deadline > 0 {
		req.Header.Set(api.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	resp, err := t.http.Do(req)
	if err != nil {
		return outcome.Uncertain(outcome.ConnLost, "%v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var e api.Error
		if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
			return outcome.Uncertain(outcome.ConnLost, "%v", err)
		}
		return outcome.Outcome{Kind: e.Outcome, Reason: e.Reason, Message: e.Message}
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return outcome.Uncertain(outcome.ConnLost, "%v", err)
	}
	return outcome.OK()
}

// runs returns how often each request ran, by request identifier, over all searchers.
func (t *tier) runs() map[string]int {
	sum := map[string]int{}
	for _, s := range t.Searchers {
		s.AddLookupRuns(sum)
	}
	return sum
}
