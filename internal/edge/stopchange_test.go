package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Host that is stopped while the platform changes", func() {
	const (
		prefix    = "/fetch/"
		hostGrace = 6 * time.Second
		work      = 1200 * time.Millisecond
	)
	// configuration returns a version whose routes to one target are those of a service, or are
	// missing if it has no name.
	configuration := func(version uint64, service string) map[string]any {
		document := platformtest.ConfigWithRoute(version, shards, 4*time.Second, prefix)
		routes := document["routes"].([]map[string]any)
		routes[len(routes)-1]["route_type"] = "idempotent"
		if service == "" {
			document["routes"] = routes[:1]
			return document
		}
		for _, r := range routes[1:] {
			r["service"] = service
		}
		return document
	}
	configure := func(service string) func(*fixture) {
		return func(f *fixture) { f.store.Put(platformtest.ConfigKey, configuration(3, service)) }
	}
	eachTarget := func(f *fixture, change func(*platformtest.Target)) {
		for _, t := range f.targets {
			if t.Service == platformtest.AtMostOnceService {
				change(t)
			}
		}
	}

	// Guards against requests that end without an answer, or without that of their target, because
	// their route or target is not in the new state.
	DescribeTable("answers what is open on the earlier state, and each request that it reads later", func(change func(*fixture), last int, service string) {
		f := newFixture(1)
		f.store.Put(platformtest.ConfigKey, configuration(2, platformtest.AtMostOnceService))
		for i := range 16 {
			for _, service := range []string{platformtest.AtMostOnceService, shards[0]} {
				f.addTarget(fmt.Sprintf("more-%s-%d", service, i), service, fmt.Sprint("p", i%2))
			}
		}
		settings := f.hosts[0].HostSettings
		settings.Name, settings.IP, settings.Grace = "host-stopped", "127.0.0.9", hostGrace
		h := f.start(settings)
		Eventually(f.ready(h), 5*time.Second).Should(BeTrue())
		Eventually(func() int { r, _, _ := f.call(h, http.MethodGet, prefix, nil); return r.Status }, 5*time.Second).Should(Equal(http.StatusOK))
		for _, t := range f.targets {
			t.SetServiceTime(work)
		}

		type sent struct {
			id    string
			reply platformtest.Reply
		}
		var group sync.WaitGroup
		send := func(method, prefix string) *sent {
			c, s := newRawCaller(h), &sent{id: fmt.Sprintf("change%06d", f.next.Add(1))}
			group.Go(func() {
				defer func() { _ = c.c.Close() }()
				s.reply = c.call(method, prefix+s.id, s.id, 4*time.Second)
			})
			return s
		}
		var open, later []*sent
		for range 3 {
			open = append(open, send(http.MethodGet, prefix), send(http.MethodPost, platformtest.AtMostOncePrefix))
		}
		time.Sleep(100 * time.Millisecond)
		h.stop()
		time.Sleep(200 * time.Millisecond)
		change(f)
		// Until its listener closes.
		for range 10 {
			later = append(later, send(http.MethodPost, platformtest.AtMostOncePrefix), send(http.MethodGet, prefix), send(http.MethodGet, platformtest.SearchPrefix))
			time.Sleep(250 * time.Millisecond)
		}
		group.Wait()
		for _, s := range open {
			Expect(s.reply.Err).NotTo(HaveOccurred(), s.id)
			Expect(s.reply.Status).To(Equal(http.StatusOK), s.id)
		}
		for _, s := range later {
			Expect(s.reply.Err).NotTo(HaveOccurred(), s.id)
			if s.reply.NotRun() {
				Expect(f.runs(s.id)).To(BeZero(), s.id)
			}
		}
		applied := later[len(later)-2]
		Expect(applied.reply.Status).To(Equal(last), "the change is in force")
		if service != "" {
			Expect(applied.reply.Digest).To(Equal(platformtest.Digest(service, applied.id)))
		}
		var err error
		Eventually(h.ended, hostGrace).Should(Receive(&err))
		Expect(err).NotTo(HaveOccurred())
		h.ended <- nil
	},
		Entry("with a version without the routes", configure(""), http.StatusNotFound, ""),
		Entry("with a version that moves the routes to another service", configure(shards[0]), http.StatusOK, shards[0]),
		Entry("with an evacuated place", func(f *fixture) {
			f.store.Put(platformtest.EvacuationKey("p0"), map[string]any{})
		}, http.StatusOK, platformtest.AtMostOnceService),
		Entry("with targets that drain", func(f *fixture) {
			eachTarget(f, func(t *platformtest.Target) { f.store.Put(t.Key(), t.Entry("draining")) })
		}, http.StatusServiceUnavailable, ""),
		Entry("with targets that are removed and go on serving", func(f *fixture) {
			eachTarget(f, func(t *platformtest.Target) { f.store.Delete(t.Key()) })
		}, http.StatusServiceUnavailable, ""),
	)
})
