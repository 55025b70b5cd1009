package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingyard/lacewingyard/platform"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lateCall is a call to a host that is stopping.
type lateCall struct {
	id    string
	reply platformtest.Reply
}

var _ = Describe("Host that is stopped while its targets are slow", func() {
	// The hosts of the fixture have a grace period of 3 s and routes of 2 s.
	var f *fixture
	BeforeEach(func() {
		f = newFixture(1)
		for _, t := range f.targets {
			t.SetServiceTime(1900 * time.Millisecond)
		}
	})

	// callLate stops the host and sends calls some time after it, on connections that were open
	// before.
	callLate := func(method, prefix string, after time.Duration) []lateCall {
		h := f.hosts[0]
		// A host that has just started uses one connection to each target.
		connections := make([]*rawCaller, 2)
		for i := range connections {
			connections[i] = newRawCaller(h)
		}
		h.stop()
		time.Sleep(after)
		calls := make([]lateCall, len(connections))
		var group sync.WaitGroup
		for i, c := range connections {
			calls[i].id = fmt.Sprintf("late%06d", f.next.Add(1))
			group.Go(func() { calls[i].reply = c.call(method, prefix+calls[i].id, calls[i].id, 2*time.Second) })
		}
		group.Wait()
		var err error
		Eventually(h.ended, 5*time.Second).Should(Receive(&err))
		Expect(err).NotTo(HaveOccurred())
		h.ended <- nil
		return calls
	}

	// Guards against requests that were passed on shortly before the end of the grace period
	// and whose connections were closed without an answer.
	It("refuses at once what may run once and may not end in time", func() {
		for _, c := range callLate(http.MethodPost, platformtest.AtMostOncePrefix, 1500*time.Millisecond) {
			Expect(c.reply.Err).NotTo(HaveOccurred())
			Expect(c.reply.NotRun()).To(BeTrue(), "status %d", c.reply.Status)
			Expect(c.reply.Took).To(BeNumerically("<", 500*time.Millisecond))
			Expect(c.reply.RetryAfter).NotTo(BeZero())
			Expect(f.runs(c.id)).To(BeZero())
		}
	})

	// Guards against a host that refuses what it can finish.
	It("serves what ends in time", func() {
		for _, c := range callLate(http.MethodPost, platformtest.AtMostOncePrefix, 300*time.Millisecond) {
			Expect(c.reply.Status).To(Equal(http.StatusOK))
		}
	})

	// Guards against open requests whose connections are closed without an answer at the end
	// of the grace period.
	It("answers requests that are still open at the end of its grace period", func() {
		for _, c := range callLate(http.MethodGet, platformtest.SearchPrefix, 1500*time.Millisecond) {
			Expect(c.reply.Err).NotTo(HaveOccurred())
			Expect(c.reply.Status).To(Equal(http.StatusBadGateway), "it ran, and no target has answered")
			Expect(f.runs(c.id)).NotTo(BeZero())
		}
	})

	// Guards against the same for requests to one target: their time limits are the longest,
	// and a hedge does not help when all targets are slow.
	It("answers repeatable requests to one target that are still open then", func() {
		const prefix = "/fetch/"
		config := platformtest.ConfigWithRoute(2, shards, 2*time.Second, prefix)
		routes := config["routes"].([]map[string]any)
		routes[len(routes)-1]["route_type"] = "idempotent"
		f.store.Put(platformtest.ConfigKey, config)
		Eventually(func() int {
			reply, _, _ := f.call(f.hosts[0], http.MethodGet, prefix, nil)
			return reply.Status
		}, 10*time.Second).Should(Equal(http.StatusOK))
		for _, c := range callLate(http.MethodGet, prefix, 1500*time.Millisecond) {
			Expect(c.reply.Err).NotTo(HaveOccurred())
			Expect(c.reply.Status).To(Equal(http.StatusBadGateway), "it ran, and no target has answered")
			Expect(f.runs(c.id)).NotTo(BeZero())
		}
	})
})

var _ = Describe("Host that is stopped while some of its targets cannot be reached", func() {
	// Guards against repeatable requests that go from target to target and are still open when
	// the grace period ends.
	DescribeTable("answers each request on kept connections until it closes them", func(slow, unreachable int) {
		const prefix, hostGrace, calls = "/fetch/", 6 * time.Second, 8
		f := newFixture(1)
		config := platformtest.ConfigWithRoute(2, shards, 4*time.Second, prefix)
		routes := config["routes"].([]map[string]any)
		routes[len(routes)-1]["route_type"] = "idempotent"
		f.store.Put(platformtest.ConfigKey, config)
		for _, t := range f.targets[:2] {
			f.store.Delete(t.Key())
		}
		for i := range slow {
			f.addTarget(fmt.Sprintf("slow-%d", i), platformtest.AtMostOnceService, "p0")
		}
		for i := range unreachable {
			l, err := platformtest.ListenShort()
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(l.Close)
			for _, c := range platformtest.FillBacklog(l.Addr().String()) {
				DeferCleanup(c.Close)
			}
			t := platformtest.Target{ID: fmt.Sprintf("lost-%d", i), Service: platformtest.AtMostOnceService, Address: l.Addr().String(), Place: "p0"}
			f.store.Put(t.Key(), t.Entry("ready"))
		}
		for _, t := range f.targets {
			t.SetServiceTime(2600 * time.Millisecond)
		}
		settings := f.hosts[0].HostSettings
		settings.Name, settings.IP, settings.Grace = "host-stopped", "127.0.0.9", hostGrace
		h := f.start(settings)
		Eventually(f.ready(h), 5*time.Second).Should(BeTrue())
		connections := make([]*rawCaller, calls)
		for i := range connections {
			connections[i] = newRawCaller(h)
		}
		h.stop()
		began := time.Now()
		replies := make([]platformtest.Reply, calls)
		var group sync.WaitGroup
		for i, c := range connections {
			group.Go(func() {
				time.Sleep(3*time.Second + time.Duration(i)*50*time.Millisecond)
				id := fmt.Sprintf("kept%06d", f.next.Add(1))
				replies[i] = c.call(http.MethodGet, prefix+id, id, 4*time.Second)
			})
		}
		group.Wait()
		Expect(time.Since(began)).To(BeNumerically("<", hostGrace))
		for i, r := range replies {
			Expect(r.Err).NotTo(HaveOccurred(), "request %d", i)
			Expect(r.Status).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable, http.StatusBadGateway))
		}
		var err error
		Eventually(h.ended, 5*time.Second).Should(Receive(&err))
		Expect(err).NotTo(HaveOccurred())
		h.ended <- nil
	},
		Entry("and the others are slow", 8, 3),
		Entry("nor any other", 0, 12),
	)
})

var _ = Describe("Host that is stopped while callers hold connections that were opened ahead", func() {
	// Guards against a stop that such connections prolong until the end of the grace period.
	It("ends once its requests are answered", func() {
		f := newFixture(1)
		settings := f.hosts[0].HostSettings
		settings.Name, settings.IP, settings.Grace = "host-patient", "127.0.0.9", 8*time.Second
		h := f.start(settings)
		Eventually(f.ready(h), 5*time.Second).Should(BeTrue())
		h.stop()
		began := time.Now()
		for time.Since(began) < 3*time.Second {
			c := newRawCaller(h)
			DeferCleanup(c.c.Close)
			time.Sleep(200 * time.Millisecond)
		}
		// Its listener closes 3.5 s after the signal; the last connection is a second old soon after.
		var err error
		Eventually(h.ended, 6*time.Second-time.Since(began)).Should(Receive(&err))
		Expect(err).NotTo(HaveOccurred())
		h.ended <- nil
	})
})

var _ = Describe("Host whose grace period was shortened by a reload", func() {
	// Guards against a host that is killed before the end of the grace period with which it
	// started, with requests in progress.
	It("answers its requests and ends within the shorter one", func() {
		const prefix, shorter = "/fetch/", 3 * time.Second
		f := newFixture(1)
		config := platformtest.ConfigWithRoute(2, shards, 4*time.Second, prefix)
		routes := config["routes"].([]map[string]any)
		routes[len(routes)-1]["route_type"] = "idempotent"
		f.store.Put(platformtest.ConfigKey, config)
		settings := f.hosts[0].HostSettings
		settings.Name, settings.IP, settings.Grace = "host-reloaded", "127.0.0.9", 8*time.Second
		h := f.start(settings)
		// A host that has just started may have an earlier configuration of a peer.
		Eventually(func() int { r, _, _ := f.call(h, http.MethodGet, prefix, nil); return r.Status }, 5*time.Second).Should(Equal(http.StatusOK))
		for _, t := range f.targets {
			t.SetServiceTime(3500 * time.Millisecond)
		}
		settings.Grace = shorter
		changed, err := platform.ParseSettings([]byte(settings.Settings()))
		Expect(err).NotTo(HaveOccurred())
		h.host.Reload(changed)

		c := newRawCaller(h)
		began := time.Now()
		h.stop()
		reply := c.call(http.MethodGet, prefix+"short", "short", 4*time.Second)
		Expect(reply.Err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(http.StatusBadGateway), "it ran, and no target has answered: %s after %v", reply.Body, reply.Took)
		Eventually(h.ended, shorter-time.Since(began)).Should(Receive(&err))
		Expect(err).NotTo(HaveOccurred())
		h.ended <- nil
	})
})

var _ = Describe("Host with a grace period of one second", func() {
	// Guards against a host that is killed with requests in progress because it counts on more
	// time than it has.
	It("answers its requests and ends within it", func() {
		const grace = time.Second
		f := newFixture(1)
		settings := f.hosts[0].HostSettings
		settings.Name, settings.IP, settings.Grace = "host-hasty", "127.0.0.9", grace
		h := f.start(settings)
		Eventually(f.ready(h), 5*time.Second).Should(BeTrue())
		for _, t := range f.targets {
			t.SetServiceTime(1500 * time.Millisecond)
		}
		open := make(chan platformtest.Reply, 1)
		c := newRawCaller(h)
		go func() { open <- c.call(http.MethodPost, platformtest.AtMostOncePrefix+"open", "open", 2*time.Second) }()
		Eventually(func() int { return f.runs("open") }, time.Second).Should(Equal(1))
		began := time.Now()
		h.stop()
		var reply platformtest.Reply
		Eventually(open, grace).Should(Receive(&reply))
		Expect(reply.Err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(http.StatusBadGateway), "it ran, and no target has answered")
		var err error
		Eventually(h.ended, grace-time.Since(began)).Should(Receive(&err))
		Expect(err).NotTo(HaveOccurred())
		h.ended <- nil
	})
})

var _ = Describe("Host that waits for its last requests during a stop", func() {
	const prefix, hostGrace = "/fetch/", 6 * time.Second
	// stopWithOpenRequest stops a host and leaves it with a request that lasts until 5.1 s after.
	stopWithOpenRequest := func(f *fixture) (h *running, open chan platformtest.Reply) {
		config := platformtest.ConfigWithRoute(2, shards, 4*time.Second, prefix)
		routes := config["routes"].([]map[string]any)
		routes[len(routes)-1]["route_type"] = "idempotent"
		f.store.Put(platformtest.ConfigKey, config)
		settings := f.hosts[0].HostSettings
		settings.Name, settings.IP, settings.Grace = "host-last", "127.0.0.9", hostGrace
		h = f.start(settings)
		Eventually(f.ready(h), 5*time.Second).Should(BeTrue())
		Eventually(func() int { r, _, _ := f.call(h, http.MethodGet, prefix, nil); return r.Status }, 5*time.Second).Should(Equal(http.StatusOK))
		for _, t := range f.targets {
			t.SetServiceTime(1900 * time.Millisecond)
		}
		h.stop()
		time.Sleep(3200 * time.Millisecond)
		open = make(chan platformtest.Reply, 1)
		c := newRawCaller(h)
		go func() { open <- c.call(http.MethodGet, prefix+"open", "open", 4*time.Second) }()
		time.Sleep(700 * time.Millisecond)
		return h, open
	}
	ends := func(h *running, open chan platformtest.Reply) {
		var reply platformtest.Reply
		Eventually(open, 3*time.Second).Should(Receive(&reply))
		Expect(reply.Status).To(Equal(http.StatusOK))
		var err error
		Eventually(h.ended, 2*time.Second).Should(Receive(&err))
		Expect(err).NotTo(HaveOccurred())
		h.ended <- nil
	}

	// Guards against callers that find no host at all while all hosts stop at once.
	It("tells callers when to come back if no other host accepts them", func() {
		f := newFixture(1)
		f.hosts[0].stop()
		var err error
		Eventually(f.hosts[0].ended, 5*time.Second).Should(Receive(&err))
		Expect(err).NotTo(HaveOccurred())
		f.hosts[0].ended <- nil
		h, open := stopWithOpenRequest(f)
		reply := newRawCaller(h).call(http.MethodPost, platformtest.AtMostOncePrefix+"late", "late", 4*time.Second)
		Expect(reply.Err).NotTo(HaveOccurred())
		Expect(reply.NotRun()).To(BeTrue(), "status %d", reply.Status)
		Expect(reply.RetryAfter).To(BeNumerically(">", 500*time.Millisecond))
		Expect(f.runs("late")).To(BeZero())
		ends(h, open)
	})

	// Guards against callers that are kept from other hosts.
	It("accepts no connections if another host does", func() {
		f := newFixture(1)
		h, open := stopWithOpenRequest(f)
		_, err := net.DialTimeout("tcp", h.Address(h.Ports.Callers), time.Second)
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		ends(h, open)
	})
})
