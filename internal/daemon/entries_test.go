package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

var _ = Describe("Entries answers", func() {
	// listed returns the names of the hosts in the answer of a host, in order.
	listed := func(t *tier, h *fleet.Host) (names []string) {
		resp, err := t.http.Get("http://" + h.Entry.Callers + "/v1/entries")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		var answer api.EntriesResponse
		Expect(json.NewDecoder(resp.Body).Decode(&answer)).To(Succeed())
		for _, e := range answer.Entries {
			names = append(names, e.Host)
		}
		return names
	}
	// everywhere reports whether a condition holds for the answers of all hosts of t.
	everywhere := func(t *tier, holds func(names []string) bool) bool {
		for _, h := range t.hosts {
			if !holds(listed(t, h)) {
				return false
			}
		}
		return true
	}

	// Guards against callers that are sent to a host which shuts down. The host list
	// lags, so that only heartbeats report the shutdown to the other hosts.
	It("omit a host that shuts down within 1 s, from all hosts", func(ctx context.Context) {
		t := startTier(ctx, []string{commandService}, func(*settings.Document) {})
		h := t.Hosts[0]
		t.Hosts = t.Hosts[1:] // stopped below
		var wg sync.WaitGroup
		defer wg.Wait()
		began := time.Now()
		wg.Go(func() { _ = h.Stop() })
		defer h.Daemon.Abort()
		Eventually(func() bool {
			return everywhere(t, func(names []string) bool { return !slices.Contains(names, h.Entry.Name) })
		}).WithTimeout(time.Second).WithPolling(5 * time.Millisecond).Should(BeTrue())
		fmt.Fprintf(GinkgoWriter, "omitted from all answers after %s\n", time.Since(began))
	}, NodeTimeout(time.Minute))

	// Guards against callers that are sent to a crashed host which is still listed.
	// Callers cache the answer for entries_ttl.
	It("omit a host that crashed", func(ctx context.Context) {
		t := startTier(ctx, []string{commandService}, func(*settings.Document) {})
		h := t.hosts[0]
		t.hosts = t.hosts[1:]
		Expect(t.StopHost(h, false)).To(Succeed())
		Eventually(func() bool {
			return everywhere(t, func(names []string) bool { return !slices.Contains(names, h.Entry.Name) })
		}).WithTimeout(20 * time.Second).Should(BeTrue())
		Consistently(func() bool {
			return everywhere(t, func(names []string) bool { return !slices.Contains(names, h.Entry.Name) })
		}).WithTimeout(time.Second).Should(BeTrue())
	}, NodeTimeout(time.Minute))

	// Guards against callers that are sent to a host which refuses their requests
	// because its replacement was started before it was drained. The replacement may
	// use the targets after takeover_wait.
	It("omit a host whose ordinal a newer process has", func(ctx context.Context) {
		t := startTier(ctx, []string{commandService}, func(*settings.Document) {})
		old := t.hosts[0]
		_, err := t.AddHost(ctx, old.Entry.Place, old.Entry.Ordinal)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool {
			return everywhere(t, func(names []string) bool { return !slices.Contains(names, old.Entry.Name) })
		}).WithTimeout(membership.TakeoverWait).Should(BeTrue())
	}, NodeTimeout(time.Minute))
})
