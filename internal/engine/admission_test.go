package engine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/pkg/admission"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quota"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// countingQuota admits all requests and counts the tokens that they hold.
type countingQuota struct{ taken, given atomic.Int64 }

func (q *countingQuota) Admit(time.Time, *tenant.Tenant) (quota.Decision, time.Duration) {
	q.taken.Add(1)
	return quota.Admitted, 0
}
func (q *countingQuota) GiveBack(time.Time, *tenant.Tenant) { q.given.Add(1) }

var _ = Describe("A host whose limit is in force", func() {
	const shards = 40
	var e *Engine
	var tokens *countingQuota
	var running []*admission.Ticket
	request := func(key string) *Request {
		r := &Request{Path: "/", Timeout: time.Second, Received: time.Now(), Credential: tenant.Credential{Digest: tenant.Digest(key), State: tenant.Presented}}
		r.Host = "h"
		return r
	}
	do := func(ctx context.Context, key string) Answer {
		a := e.Do(ctx, request(key))
		a.Done()
		return a
	}
	inProgress := func() int { return e.Admission().InProgress }
	BeforeEach(func() {
		start := time.Now()
		tokens, running = &countingQuota{}, nil
		e = New(Config{Place: "p", RetryWindow: time.Second, Fleet: fleetOf{roster.New("h", "p", start)}, Log: hclog.NewNullLogger(), Observer: silentObserver{}, Quota: tokens})
		config := &catalog.Config{Version: 1, HasTenants: true, Tenants: []tenant.Tenant{
			{Name: "usual", Keys: []tenant.KeyDigest{tenant.Digest("usual")}, Rate: 1},
			{Name: "urgent", Keys: []tenant.KeyDigest{tenant.Digest("urgent")}, Rate: 1, HasPriority: true, Priority: 0},
		}}
		route := catalog.Route{Name: "r", Hostname: "h", Prefix: "/", Priority: 1, Objective: 4 * time.Second, Timeout: 8 * time.Second}
		for range shards {
			route.Shards = append(route.Shards, "s")
		}
		config.Routes = []catalog.Route{route}
		state := catalog.New()
		Expect(state.ApplyChanges(start, 1, []catalog.Item{{Kind: catalog.KindConfig, Name: "c", Revision: 1, Config: config}})).To(Succeed())
		e.SetView(state.View())
		e.mu.Lock()
		defer e.mu.Unlock()
		now := start.Add(-time.Second)
		offer := func() (*admission.Ticket, admission.Decision) {
			t := &admission.Ticket{Request: admission.Request{Class: "r", Priority: 1, Tenant: "other", Sends: shards, Received: now, Objective: 80 * time.Millisecond, AnswerBy: now.Add(70 * time.Millisecond)}}
			return t, e.admission.Offer(now, t)
		}
		for _, took := range []time.Duration{5, 5, 5, 5, 5, 5, 5, 5, 45, 45, 45, 45, 45, 45, 45, 45} {
			t, _ := offer()
			now = now.Add(took * time.Millisecond)
			for range shards {
				e.admission.Part(now, t)
			}
			e.admission.Done(now, t, true)
		}
		now = start
		for range 20 {
			if t, d := offer(); d == admission.Run {
				running = append(running, t)
			}
		}
		e.admissionChanged(start)
		Expect(e.overloaded.Load()).To(BeTrue())
		Expect(running).NotTo(BeEmpty())
	})
	end := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, t := range running {
			e.admission.Done(time.Now(), t, true)
		}
		e.admissionChanged(time.Now())
	}

	// Guards against the route's priority for a tenant that has one of its own, and against
	// capacity that a request without a target keeps.
	It("runs a request of an urgent tenant at once and takes its capacity back", func() {
		before := inProgress()
		a := do(context.Background(), "urgent")
		Expect(a.Outcome.Reason).To(Equal(outcome.Unavailable), "it got as far as its targets, of which there are none")
		Expect(inProgress()).To(Equal(before))
	})

	// Guards against a refused request that costs its tenant a token, and against one that is
	// refused without a time to come back.
	It("refuses a request without capacity as not run, and without a token", func() {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, cancel)
		a := do(ctx, "usual")
		Expect(a.Outcome.Kind).To(Equal(outcome.NotRun))
		Expect(tokens.taken.Load()).To(BeZero())
		Expect(e.Admission().Waiting).To(BeZero())

		late := request("usual")
		late.Received = late.Received.Add(-2 * time.Second) // past its longest wait
		a = e.Do(context.Background(), late)
		Expect(a.Outcome.Kind).To(Equal(outcome.NotRun))
		Expect(a.Outcome.Reason).To(Equal(outcome.Overload))
		Expect(a.Outcome.RetryAfter).To(BeNumerically(">=", minRetryAfter))
		Expect(tokens.taken.Load()).To(BeZero())
	})

	// Guards against a waiting request that is forgotten when capacity is given back.
	It("runs a waiting request once capacity is given back", func() {
		answers := make(chan Answer, 1)
		go func() { answers <- do(context.Background(), "usual") }()
		Eventually(func() int { return e.Admission().Waiting }).Should(Equal(1))
		Consistently(answers, "30ms").ShouldNot(Receive())
		end()
		var a Answer
		Eventually(answers).Should(Receive(&a))
		Expect(a.Outcome.Reason).To(Equal(outcome.Unavailable), "it got as far as its targets")
		Expect(tokens.taken.Load()).To(Equal(tokens.given.Load()))
		Expect(inProgress()).To(BeZero())
	})
})
