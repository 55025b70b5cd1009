package soak_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/lacewingyard/lacewingyard/internal/soak"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Soak")
}

// Guards against a checker that misses violations, so that the soak test passes
// whatever the hosts do. Each spec violates one guarantee.
var _ = Describe("Checker", func() {
	now := time.Unix(1000, 0)
	set := []string{"s1", "s2"}
	var c *soak.Checker
	BeforeEach(func() {
		c = soak.NewChecker()
		c.AddShardSet(set)
		c.RecordCall(soak.Call{ID: "p", Method: "POST", URI: "/once/p", Sent: now})
		c.RecordCall(soak.Call{ID: "g", Method: "GET", URI: "/search/g", Sent: now})
	})
	run := func(id, method, uri string) platformtest.Run {
		return platformtest.Run{Target: "t", ID: id, Method: method, URI: uri, At: now}
	}
	search := func(parts ...string) platformtest.Reply {
		return platformtest.Reply{Status: 200, Parts: parts, Missing: len(set) - len(parts)}
	}

	It("reports nothing if all guarantees hold", func() {
		c.RecordReply("p", platformtest.Reply{Status: 200, Digest: platformtest.Digest(platformtest.AtMostOnceService, "p"), Body: platformtest.Body(platformtest.AtMostOnceService, "/once/p")})
		Expect(c.Finish([]platformtest.Run{run("p", "POST", "/once/p")})).To(BeEmpty())
	})
	It("reports a body that is not the target's", func() {
		c.RecordReply("p", platformtest.Reply{Status: 200, Digest: platformtest.Digest(platformtest.AtMostOnceService, "p"), Body: platformtest.Body(platformtest.AtMostOnceService, "/once/q")})
		Expect(c.Finish([]platformtest.Run{run("p", "POST", "/once/p")})).To(HaveLen(1))
	})
	It("reports bytes that are no answer", func() {
		c.RecordReply("p", platformtest.Reply{Err: fmt.Errorf("call: %w", httpanswer.ErrMalformed)})
		Expect(c.Finish(nil)).To(HaveLen(1))
	})
	It("reports a request that ran twice", func() {
		Expect(c.Finish([]platformtest.Run{run("p", "POST", "/once/p"), run("p", "POST", "/once/p")})).To(HaveLen(1))
	})
	It("reports a run of a request that was answered as not run", func() {
		c.RecordReply("p", platformtest.Reply{Status: 503})
		Expect(c.Finish([]platformtest.Run{run("p", "POST", "/once/p")})).To(HaveLen(1))
	})
	It("reports a run of a request that no caller sent or that was modified", func() {
		Expect(c.Finish([]platformtest.Run{run("x", "GET", "/")})).To(HaveLen(1))
		Expect(c.Finish([]platformtest.Run{run("g", "GET", "/search/other")})).To(HaveLen(2))
	})
	It("reports an answer that belongs to another request", func() {
		c.RecordReply("p", platformtest.Reply{Status: 200, Digest: platformtest.Digest(platformtest.AtMostOnceService, "q")})
		Expect(c.Finish(nil)).To(HaveLen(1))
	})
	It("reports parts of other requests, duplicate parts, parts of unknown sets and wrong records", func() {
		c.RecordReply("g", search("s1.other"))
		c.RecordReply("g", search("s1.g", "s1.g"))
		c.RecordReply("g", platformtest.Reply{Status: 200, Parts: []string{"s9.g"}, Missing: 1})
		c.RecordReply("g", search("s1.g"))
		Expect(c.Finish(nil)).To(HaveLen(4))
	})
	It("reports a run at a target that must not run requests any more", func() {
		c.ForbidRuns("t", now.Add(-time.Second), time.Time{})
		Expect(c.Finish([]platformtest.Run{run("g", "GET", "/search/g")})).To(HaveLen(1))
	})
	It("reports a run at a target during the evacuation of its place, but not after that", func() {
		c.ForbidRuns("t", now.Add(-2*time.Second), now.Add(-time.Second))
		Expect(c.Finish([]platformtest.Run{run("g", "GET", "/search/g")})).To(BeEmpty())
		c.ForbidRuns("t", now.Add(-time.Second), now.Add(time.Second))
		Expect(c.Finish([]platformtest.Run{run("g", "GET", "/search/g")})).To(HaveLen(1))
	})
	It("reports an answer from a retired set of shards", func() {
		c.RecordReply("g", platformtest.Reply{Status: 200, Parts: []string{"s1.g", "s2.g"}})
		c.RetireShardSet(set, now.Add(time.Second))
		before := len(c.Finish(nil))
		c.RetireShardSet(set, now.Add(-time.Second))
		Expect(c.Finish(nil)).To(HaveLen(before + 1))
	})

	Describe("of what targets say", func() {
		const a, b = "10.0.0.1:1", "10.0.0.2:1"
		var received []platformtest.Run
		next := 0
		// send records a call through a host that reaches target t, and is answered at once
		// with a status.
		send := func(at time.Duration, host string, status int, killer bool) {
			next++
			id := fmt.Sprint("n", next)
			c.RecordCall(soak.Call{ID: id, Method: "POST", URI: "/once", Host: host, Sent: now.Add(at), Killer: killer})
			c.RecordReply(id, platformtest.Reply{Status: status, Digest: platformtest.Digest(platformtest.AtMostOnceService, id), Body: platformtest.Body(platformtest.AtMostOnceService, "/once")})
			received = append(received, platformtest.Run{Target: "t", Service: platformtest.AtMostOnceService, ID: id, At: now.Add(at)})
		}
		notice := func(n soak.Notice) {
			n.Target, n.Service, n.From = "t", platformtest.AtMostOnceService, now
			c.AddNotice(n)
		}
		BeforeEach(func() { received, next = nil, 0 })

		It("reports requests to a target that leaves, through hosts that know and had no fault", func() {
			notice(soak.Notice{Kind: soak.NoticeLeaving})
			send(time.Second, a, 200, false)
			send(3900*time.Millisecond, a, 200, false)
			send(4100*time.Millisecond, b, 200, false)
			Expect(c.CheckNotices(received)).To(BeEmpty())
			send(4100*time.Millisecond, a, 200, false)
			Expect(c.CheckNotices(received)).To(ConsistOf(ContainSubstring("had said that it leaves")))
		})

		It("excuses a host that was faulted since it heard that a target leaves", func() {
			notice(soak.Notice{Kind: soak.NoticeLeaving})
			send(time.Second, a, 200, false)
			c.AddHostFault(a, now.Add(2*time.Second), now.Add(3*time.Second))
			send(5*time.Second, a, 200, false)
			Expect(c.CheckNotices(received)).To(BeEmpty())
		})

		It("reports more requests than a limit allows", func() {
			notice(soak.Notice{Kind: soak.NoticeLimit, Limit: 2, Until: now.Add(20 * time.Second)})
			for i := range 40 { // two a second
				send(time.Duration(i)*500*time.Millisecond, []string{a, b}[i%2], 200, false)
			}
			Expect(c.CheckNotices(received)).To(BeEmpty())
			for i := range 20 {
				send(10*time.Second+time.Duration(i)*100*time.Millisecond, b, 200, false)
			}
			Expect(c.CheckNotices(received)).To(ConsistOf(ContainSubstring("its limit of 2.0/s")))
		})

		It("reports requests to a target that turned the host away", func() {
			notice(soak.Notice{Kind: soak.NoticeRetryAfter, RetryAfter: 2 * time.Second, Until: now.Add(10 * time.Second)})
			send(time.Millisecond, a, 503, false)
			for _, at := range []time.Duration{100, 600, 700, 2100} {
				send(at*time.Millisecond, a, 503, false)
			}
			send(800*time.Millisecond, b, 503, false)
			Expect(c.CheckNotices(received)).To(BeEmpty())
			send(800*time.Millisecond, a, 503, false)
			Expect(c.CheckNotices(received)).To(ConsistOf(ContainSubstring("had turned it away")))
		})

		It("reports a request that goes on ending targets", func() {
			for i := range 7 {
				send(time.Duration(i)*time.Second, a, 502, true)
			}
			Expect(c.CheckNotices(received)).To(BeEmpty())
			for i := range 4 {
				send(time.Duration(8+i)*time.Second, a, 502, true)
			}
			Expect(c.CheckNotices(received)).To(ConsistOf(ContainSubstring("ends its targets")))
		})
	})

	Describe("of a planned stop", func() {
		const host, grace = "127.0.0.1:1", 3 * time.Second
		closed := platformtest.Reply{Err: io.ErrUnexpectedEOF, Took: time.Second}
		// lost returns the violations with a call that was sent a second after the stop of its
		// host, and with the given reply.
		lost := func(reply platformtest.Reply, runs ...platformtest.Run) []string {
			c.RecordCall(soak.Call{ID: "s", Method: "POST", URI: "/once/s", Host: host, Sent: now.Add(time.Second)})
			c.RecordReply("s", reply)
			return c.Finish(runs)
		}
		BeforeEach(func() { c.AddStop(host, now, grace) })

		It("reports a connection that was closed without an answer to a request that ran", func() {
			Expect(lost(closed, run("s", "POST", "/once/s"))).To(HaveLen(1))
		})
		It("reports a request that no target got and whose connection was closed late", func() {
			Expect(lost(closed)).To(HaveLen(1))
		})
		It("allows the close of a connection that crosses a request", func() {
			Expect(lost(platformtest.Reply{Err: io.EOF, Took: 10 * time.Millisecond})).To(BeEmpty())
		})
		It("allows a refusal, a failure and a time limit that passed", func() {
			Expect(lost(platformtest.Reply{Status: 503})).To(BeEmpty())
			Expect(lost(platformtest.Reply{Status: 502}, run("s", "POST", "/once/s"))).To(BeEmpty())
			Expect(lost(platformtest.Reply{Err: context.DeadlineExceeded, Took: time.Second}, run("s", "POST", "/once/s"))).To(BeEmpty())
		})
		It("counts the answers of a stopping host by what they promise, until it has ended", func() {
			for id, status := range map[string]int{"a": 200, "b": 503, "c": 502, "d": 0} {
				c.RecordCall(soak.Call{ID: id, Method: "POST", URI: "/once/" + id, Host: host, Sent: now.Add(time.Second)})
				c.RecordReply(id, platformtest.Reply{Status: status, Digest: platformtest.Digest(platformtest.AtMostOnceService, id), Body: platformtest.Body(platformtest.AtMostOnceService, "/once/"+id)})
			}
			for id, err := range map[string]error{"crossed": io.EOF, "late": context.DeadlineExceeded, "no listener": &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}} {
				c.RecordCall(soak.Call{ID: id, Method: "POST", URI: "/once/" + id, Host: host, Sent: now.Add(time.Second)})
				c.RecordReply(id, platformtest.Reply{Err: err})
			}
			c.EndStop(host, now.Add(2*time.Second))
			c.RecordCall(soak.Call{ID: "e", Method: "POST", URI: "/once/e", Host: host, Sent: now.Add(2 * time.Second)})
			c.RecordReply("e", platformtest.Reply{Status: 503})
			repeatable, once := c.CountStops()
			Expect(repeatable).To(Equal(soak.StopCounts{}))
			Expect(once).To(Equal(soak.StopCounts{Calls: 3, Served: 1, Refused: 1, Failed: 1, Crossed: 1}))
		})
		It("allows the loss if a fault may be the cause", func() {
			c.AddDisturbance(now, now.Add(time.Second))
			Expect(lost(closed, run("s", "POST", "/once/s"))).To(BeEmpty())
		})
		It("owes no answer to a caller that has ended its side", func() {
			c.RecordCall(soak.Call{ID: "l", Method: "GET", URI: "/fetch/l", Host: host, Sent: now.Add(time.Second), Left: true})
			c.RecordReply("l", closed)
			Expect(c.Finish([]platformtest.Run{run("l", "GET", "/fetch/l")})).To(BeEmpty())
		})
		It("does not report the loss at another host", func() {
			c.RecordCall(soak.Call{ID: "o", Method: "POST", URI: "/once/o", Host: "127.0.0.2:1", Sent: now.Add(time.Second)})
			c.RecordReply("o", closed)
			Expect(c.Finish([]platformtest.Run{run("o", "POST", "/once/o")})).To(BeEmpty())
		})
	})
	It("reports an empty success for a caller that has ended its side", func() {
		c.RecordCall(soak.Call{ID: "l", Method: "GET", URI: "/fetch/l", Sent: now, Left: true})
		c.RecordReply("l", platformtest.Reply{Status: 200})
		c.RecordCall(soak.Call{ID: "m", Method: "GET", URI: "/search/m", Sent: now, Left: true})
		c.RecordReply("m", platformtest.Reply{Status: 200})
		Expect(c.Finish(nil)).To(HaveLen(2))
	})
	It("reports an answer of one target that belongs to another request, also if it may be repeated", func() {
		c.RecordCall(soak.Call{ID: "f", Method: "GET", URI: "/fetch/f", Sent: now})
		c.RecordReply("f", platformtest.Reply{Status: 200, Digest: platformtest.Digest(platformtest.AtMostOnceService, "q")})
		Expect(c.Finish(nil)).To(HaveLen(1))
	})
})
