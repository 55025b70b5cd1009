package soak_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/soak"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against checks of tenants that pass although keys reach targets, withdrawn or unknown
// keys are accepted, or limits are ignored: each spec plays a tier with one such fault.
var _ = Describe("Checker of tenants", func() {
	const host = "10.0.0.1:1"
	start := time.Unix(1000, 0)
	var c *soak.Checker
	var runs []platformtest.Run
	next := 0
	tenants := func(keyOfA string, rate float64) []platformtest.Tenant {
		return []platformtest.Tenant{{Name: "a", Keys: []string{keyOfA}, Rate: rate, Burst: 10}, {Name: "b", Keys: []string{"kb"}}}
	}
	publish := func(at time.Duration, t []platformtest.Tenant) {
		c.PublishTenants(start.Add(at), start.Add(at), t)
	}
	// send records a call that is answered with a status, and its run under a tenant unless the
	// status means that it did not run.
	send := func(at time.Duration, uri, key, tenant string, status int) *platformtest.Run {
		next++
		call := soak.Call{ID: fmt.Sprint("t", next), Method: "POST", URI: uri, Host: host, Key: key, Sent: start.Add(at)}
		c.RecordCall(call)
		c.RecordReply(call.ID, platformtest.Reply{Status: status, Challenge: "Bearer", RetryAfter: time.Second, Digest: platformtest.Digest(platformtest.AtMostOnceService, call.ID), Body: platformtest.Body(platformtest.AtMostOnceService, uri)})
		if status != 200 {
			return nil
		}
		runs = append(runs, platformtest.Run{Target: "t", Service: platformtest.AtMostOnceService, ID: call.ID, Method: "POST", URI: uri, Tenant: tenant, At: start.Add(at)})
		return &runs[len(runs)-1]
	}
	check := func() []string {
		c.Finish(runs)
		c.CheckKeys(runs)
		return c.CheckCaps(runs)
	}
	BeforeEach(func() {
		c, runs = soak.NewChecker(), nil
		publish(0, tenants("ka", 100))
	})

	It("reports nothing if keys and limits are kept", func() {
		send(10*time.Second, "/once/", "ka", "a", 200)
		send(10*time.Second, "/fetch/", "", "", 200)
		send(10*time.Second, "/fetch/", "kb", "b", 200)
		send(10*time.Second, "/once/", "", "", 401)
		Expect(check()).To(BeEmpty())
	})
	It("reports a key that is passed on to a target", func() {
		send(10*time.Second, "/once/", "ka", "a", 200).Authorization = "Bearer ka"
		Expect(check()).To(ConsistOf(And(ContainSubstring("Authorization header"), Not(ContainSubstring("ka")))))
	})
	It("reports requests that run under another tenant, several or none", func() {
		for _, tenant := range []string{"b", "a,a", ""} {
			send(10*time.Second, "/once/", "ka", tenant, 200)
		}
		send(10*time.Second, "/fetch/", "ka", "", 200)
		send(10*time.Second, "/fetch/", "", "a", 200)
		Expect(check()).To(HaveLen(5))
	})
	It("reports a request without a key, or with one that no configuration held, that runs", func() {
		send(10*time.Second, "/once/", "wrong", "a", 200)
		send(10*time.Second, "/once/", "", "", 200)
		Expect(check()).To(HaveLen(4)) // by the run and by the reply
	})
	It("reports a withdrawn key that is accepted later than the bound, by hosts in contact", func() {
		publish(10*time.Second, tenants("ka2", 100))
		send(13*time.Second, "/once/", "ka", "a", 200)
		Expect(check()).To(BeEmpty())
		send(14*time.Second, "/once/", "ka", "a", 200)
		Expect(check()).To(HaveLen(2))
		c.AddStoreFault(start.Add(12*time.Second), start.Add(13*time.Second))
		before := len(check())
		Expect(check()).To(HaveLen(before), "a host out of contact")
	})
	It("reports a valid key that is refused, one that was added longer ago than the bound", func() {
		publish(10*time.Second, tenants("ka2", 100))
		send(13*time.Second, "/once/", "ka2", "", 401)
		Expect(check()).To(BeEmpty())
		send(14*time.Second, "/once/", "ka2", "", 401)
		Expect(check()).To(ConsistOf(ContainSubstring("status 401")))
	})
	It("reports a 401 for a request without a key on an anonymous route, without a challenge, and after a run", func() {
		send(10*time.Second, "/fetch/", "", "", 401)
		id := send(10*time.Second, "/once/", "ka", "a", 200).ID
		c.RecordReply(id, platformtest.Reply{Status: 401})
		Expect(check()).To(HaveLen(4)) // the last call also has a valid key
	})
	It("reports a refusal by a limit that states no delay", func() {
		send(10*time.Second, "/once/", "ka", "", 429)
		Expect(check()).To(BeEmpty())
		c.RecordReply(fmt.Sprint("t", next), platformtest.Reply{Status: 429})
		Expect(check()).To(HaveLen(1))
	})
	It("reports a key that was moved and still identifies its former tenant", func() {
		publish(10*time.Second, []platformtest.Tenant{{Name: "a"}, {Name: "b", Keys: []string{"ka", "kb"}}})
		send(12*time.Second, "/once/", "ka", "a", 200)
		send(12*time.Second, "/once/", "ka", "b", 200)
		send(14*time.Second, "/once/", "ka", "b", 200)
		Expect(check()).To(BeEmpty())
		send(14*time.Second, "/once/", "ka", "a", 200)
		Expect(check()).To(HaveLen(1))
	})

	// burst sends a number of requests of tenant a, evenly from a time on for a time.
	burst := func(from, length time.Duration, count, status int) {
		for i := range count {
			send(from+length*time.Duration(i)/time.Duration(count), "/once/", "ka", "a", status)
		}
	}
	It("reports a cap that is ignored, in any window", func() {
		burst(10*time.Second, 5*time.Second, 650, 200) // (100 × 5 + 10) × 1.25 + 20 = 657
		burst(16*time.Second, time.Second, 7, 200)
		Expect(check()).To(BeEmpty())
		burst(14900*time.Millisecond, 100*time.Millisecond, 130, 200)
		Expect(check()).To(ConsistOf(ContainSubstring("of tenant a ran in 5s")))
	})
	It("counts a request once that was sent twice", func() {
		burst(10*time.Second, 4*time.Second, 400, 200)
		for _, r := range runs {
			r.At = r.At.Add(100 * time.Millisecond)
			runs = append(runs, r)
		}
		Expect(c.CheckCaps(runs)).To(BeEmpty())
	})
	It("reports a lower limit that is ignored one window after it is in force", func() {
		publish(20*time.Second, tenants("ka", 10))
		burst(24*time.Second, 4*time.Second, 400, 200)
		Expect(check()).To(BeEmpty())
		burst(29*time.Second, 4*time.Second, 96, 200) // (10 × 5 + 10) × 1.25 + 20 = 95
		Expect(check()).To(ConsistOf(ContainSubstring("of tenant a ran in 5s")))
	})
	It("reports a tenant below its limit that is refused, by either answer", func() {
		burst(20*time.Second, 4*time.Second, 195, 200)
		burst(24*time.Second, time.Second, 3, 429)
		Expect(check()).To(BeEmpty(), "fewer than 2 in 100")
		burst(25*time.Second, time.Second, 2, 429)
		Expect(check()).To(ConsistOf(ContainSubstring("of tenant a were refused below its limit")))
	})
	It("does not report refusals above the limit, nor those soon after a fault", func() {
		c.AddHostFault("10.0.0.2:1", start.Add(9*time.Second), start.Add(10*time.Second))
		burst(16*time.Second, 2*time.Second, 150, 429)
		burst(30*time.Second, 2*time.Second, 600, 429)
		Expect(check()).To(BeEmpty())
		c.AddDisturbance(start.Add(35*time.Second), start.Add(50*time.Second))
		burst(45*time.Second, 2*time.Second, 150, 429)
		Expect(check()).To(BeEmpty())
		c.EndFaults(start.Add(36 * time.Second))
		burst(44500*time.Millisecond, 100*time.Millisecond, 1, 429) // still within the margin
		Expect(check()).To(HaveLen(1))
	})
})
