package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Host with a target that does not report for a while", func() {
	// Guards against work that is started again elsewhere, or given up, because the target
	// that does it does not report: its entry is removed although it is still working.
	DescribeTable("waits for the answer of running work and does not start it again", func(method, prefix, service string, change func(f *fixture, id string)) {
		f := newFixture(2)
		f.dropTargets(service)
		var runs sync.Map // counters by request ID
		started := make(chan struct{}, 10)
		const workTime = 700 * time.Millisecond
		slow := f.scriptTarget("slow", service, "p0", func(c net.Conn, r *http.Request) bool {
			count, _ := runs.LoadOrStore(platformtest.RequestID(r), new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
			started <- struct{}{}
			time.Sleep(workTime)
			part := platformtest.Records(service, r.RequestURI, 8)
			_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", platformtest.AnswerHead(service, r), len(part), part)
			return err == nil
		})
		h := f.hosts[0]
		Eventually(func() int { // until the target is in use
			f.call(h, method, prefix, nil)
			return len(started)
		}, 5*time.Second).Should(BeNumerically(">", 0))
		for len(started) > 0 {
			<-started
		}
		type outcome struct {
			reply platformtest.Reply
			id    string
		}
		done := make(chan outcome, 1)
		go func() {
			defer GinkgoRecover()
			r, id, _ := f.call(h, method, prefix, nil)
			done <- outcome{r, id}
		}()
		var o outcome
		select {
		case <-started:
		case o = <-done:
			Fail(fmt.Sprintf("the request did not run: status %d, %v", o.reply.Status, o.reply.Err))
		}
		change(f, slow.Key())
		Eventually(done, 3*time.Second).Should(Receive(&o))
		Expect(o.reply.Status).To(Equal(200), "%v", o.reply.Err)
		Expect(o.reply.Missing).To(BeZero())
		count, _ := runs.Load(o.id)
		Expect(count.(*atomic.Int64).Load()).To(BeEquivalentTo(1))
	},
		Entry("a request that may run once, whose target's entry is removed", "POST", platformtest.AtMostOncePrefix, platformtest.AtMostOnceService,
			func(f *fixture, key string) { f.store.Delete(key) }),
		Entry("a request that may run once, whose target leaves while another one is there", "POST", platformtest.AtMostOncePrefix, platformtest.AtMostOnceService,
			func(f *fixture, key string) {
				f.addTarget("spare", platformtest.AtMostOnceService, "p0")
				f.store.Delete(key)
			}),
		Entry("a request that may run once, while the store is silent", "POST", platformtest.AtMostOncePrefix, platformtest.AtMostOnceService,
			func(f *fixture, _ string) {
				f.store.SetMode(platformtest.Silent)
				DeferCleanup(func() { f.store.SetMode(platformtest.Healthy) })
			}),
		Entry("a request that may run once, whose route is gone", "POST", platformtest.AtMostOncePrefix, platformtest.AtMostOnceService,
			func(f *fixture, _ string) {
				f.store.Put(platformtest.ConfigKey, platformtest.ConfigWithoutAtMostOnce(9, shards, 2*time.Second))
			}),
	)
})

var _ = Describe("Host that was restarted", func() {
	// Guards against a target that left, or a route that was withdrawn, in use again
	// because a host, or all of them, lost what they knew.
	DescribeTable("uses neither a target that left nor a route that was withdrawn", func(restarted int, during func(f *fixture)) {
		f := newFixture(3)
		const withdrawn = "/withdrawn/"
		f.store.Put(platformtest.ConfigKey, platformtest.ConfigWithRoute(5, shards, 2*time.Second, withdrawn))
		var after atomic.Bool // when the target must not be used
		var misused atomic.Int64
		left := f.scriptTarget("left", platformtest.AtMostOnceService, "p0", func(c net.Conn, r *http.Request) bool {
			if after.Load() {
				misused.Add(1)
			}
			_, err := io.WriteString(c, platformtest.AnswerHead(platformtest.AtMostOnceService, r)+"Content-Length: 0\r\n\r\n")
			return err == nil
		})
		everywhere := func(status int) func() bool {
			return func() bool {
				for _, h := range f.hosts {
					if r, _, _ := f.call(h, "POST", withdrawn, nil); r.Status != status {
						return false
					}
				}
				return true
			}
		}
		Eventually(everywhere(200), 5*time.Second).Should(BeTrue())
		f.store.Delete(left.Key())
		f.store.Put(platformtest.ConfigKey, platformtest.Config(8, shards, 2*time.Second))
		Eventually(everywhere(404), 5*time.Second).Should(BeTrue())
		after.Store(true)
		for _, h := range f.hosts[:restarted] {
			h.stop()
		}
		for _, h := range f.hosts[:restarted] {
			var err error
			Eventually(h.ended, 10*time.Second).Should(Receive(&err))
			Expect(err).NotTo(HaveOccurred())
			h.ended <- nil
		}
		during(f)
		for i := range restarted {
			f.hosts[i] = f.start(f.hosts[i].HostSettings)
		}
		served := 0
		for until := time.Now().Add(2 * time.Second); time.Now().Before(until); {
			for _, h := range f.hosts {
				r, _, _ := f.call(h, "POST", withdrawn, nil)
				Expect(r.Status).To(BeElementOf(404, 503, 0), "the withdrawn route")
				if r, _, _ = f.call(h, "POST", platformtest.AtMostOncePrefix, nil); r.Status == 200 {
					served++
				}
			}
			f.store.SetMode(platformtest.Healthy)
		}
		Expect(served).To(BeNumerically(">", 20))
		Expect(misused.Load()).To(BeZero())
	},
		Entry("one host", 1, func(*fixture) {}),
		Entry("one host, while the store is down", 1, func(f *fixture) { f.store.SetMode(platformtest.Unavailable) }),
		Entry("two of three hosts, while the store is silent", 2, func(f *fixture) { f.store.SetMode(platformtest.Silent) }),
		Entry("all hosts", 3, func(*fixture) {}),
		Entry("all hosts, after the store compacted its history", 3, func(f *fixture) { f.store.Compact() }),
	)
})
