package soak_test

import (
	"testing"
	"time"

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
		c.RecordReply("p", platformtest.Reply{Status: 200, Digest: platformtest.Digest(platformtest.AtMostOnceService, "p")})
		Expect(c.Finish([]platformtest.Run{run("p", "POST", "/once/p")})).To(BeEmpty())
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
})
