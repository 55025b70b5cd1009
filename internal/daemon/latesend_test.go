package daemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// setShedRatio sets the fraction of requests that the targets of the command service
// refuse.
func (t *tier) setShedRatio(ratio float64) {
	for _, id := range searchersOf(t, commandService) {
		t.Searchers[id].SetFaults(standin.Faults{ShedRatio: ratio})
	}
}

var _ = Describe("NotRunIsTrue", func() {
	body := api.LookupRequest{ID: "slab-000001"}

	// Guards against "not run" for a command that ran, reported because the targets
	// refuse its resend. The naive version, which keeps no run records, must fail.
	DescribeTable("holds for a resend that the targets refuse", func(ctx context.Context, naive bool) {
		t := startTier(ctx, []string{commandService}, func(d *settings.Document) {
			if naive {
				service := d.Services[commandService]
				service.Kind = settings.KindLookup
				d.Services[commandService] = service
			}
		})
		s, rng := &commandWorkload{tier: t, tickets: !naive}, rand.New(rand.NewPCG(1, 1))
		falseNotRun := 0
		for n := range 10 {
			id := s.newID(ctx, rng, n)
			Expect(s.send(ctx, t.host(rng), id, body.ID, longDeadline)).To(Equal(outcome.OK()))
			t.setShedRatio(1)
			if s.send(ctx, t.host(rng), id, body.ID, longDeadline).DidNotRun() && t.runs()[id] > 0 {
				falseNotRun++
			}
			t.setShedRatio(0)
		}
		if naive {
			Expect(falseNotRun).To(BeNumerically(">", 0), "the naive version must report a false \"not run\"")
			return
		}
		Expect(falseNotRun).To(Equal(0))
	},
		Entry("with tickets", false, NodeTimeout(time.Minute)),
		Entry("naive", true, NodeTimeout(time.Minute)),
	)

	// Guards against "not run" for a command that ran, reported because its host refuses
	// the resend without asking the home: above the caller's rate limit, with a deadline
	// in the past or with an invalid body.
	It("holds for a resend that a host refuses before it asks the home", func(ctx context.Context) {
		t := startTier(ctx, []string{commandService}, func(*settings.Document) {})
		home, other := t.hosts[0], t.hosts[1]
		var ticket api.TicketResponse
		Expect(t.post(ctx, home, "/v1/tickets", "", 0, nil, &ticket)).To(Equal(outcome.OK()))
		send := func(host *fleet.Host, suffix string, deadline time.Duration, body any) outcome.Outcome {
			return t.post(ctx, host, commandPath, ticket.TicketPrefix+suffix, deadline, body, new(api.LookupResponse))
		}
		const past = time.Nanosecond // sent as 0 ms
		Expect(send(home, "ran", longDeadline, body)).To(Equal(outcome.OK()))
		for _, host := range []*fleet.Host{home, other} {
			Expect(send(host, "ran", past, body).Kind).To(Equal(outcome.Unknown))
			Expect(send(host, "ran", longDeadline, "no lookup").Kind).To(Equal(outcome.Unknown))
		}
		Expect(send(home, "new", past, body).Kind).To(Equal(outcome.NotRun), "the home must report that the command did not run")

		Expect(t.PublishConfig(func(d *settings.Document) { d.Fleet.Settings["caller_rate_limit"] = rawJSON("1") })).To(Succeed())
		for _, host := range []*fleet.Host{home, other} {
			refused := outcome.OK()
			Eventually(func() outcome.Reason {
				refused = send(host, "ran", longDeadline, body)
				return refused.Reason
			}, "20s", "10ms").Should(Equal(outcome.Overload))
			Expect(refused.Kind).To(Equal(outcome.Unknown), "%v", refused)
		}
		Expect(t.runs()[ticket.TicketPrefix+"ran"]).To(Equal(1))
	}, NodeTimeout(time.Minute))

	// Guards against a first send that is still in transit between two hosts when a
	// resend through another host is refused, and then runs after the refusal.
	It("holds for a first send that arrives after the refusal of a resend", func(ctx context.Context) {
		t := startTier(ctx, []string{commandService}, func(d *settings.Document) {
			d.Fleet.Settings = settings.Overrides{"retry_limit": rawJSON("0")} // only targets of the home's place are asked
		})
		home, far := t.hosts[0], (*fleet.Host)(nil)
		near := home
		for _, h := range t.hosts[1:] {
			if h.Entry.Place != home.Entry.Place {
				far = h
			} else {
				near = h
			}
		}
		Expect(near).NotTo(Equal(home))
		var ticket api.TicketResponse
		Expect(t.post(ctx, home, "/v1/tickets", "", 0, nil, &ticket)).To(Equal(outcome.OK()))
		send := func(ctx context.Context, through *fleet.Host, suffix string) outcome.Outcome {
			return t.post(ctx, through, commandPath, ticket.TicketPrefix+suffix, longDeadline, body, new(api.LookupResponse))
		}
		Expect(send(ctx, far, "opens-connections")).To(Equal(outcome.OK()))
		const oneWay = 300 * time.Millisecond
		t.Network.SetLinks(float64(oneWay.Milliseconds()), 0)
		// Repeated until the refusal precedes the arrival of the first send, which may
		// take several tries on a busy machine.
		refuseResend := func(suffix string) (inTime bool) {
			t.setShedRatio(1)
			defer t.setShedRatio(0)
			began := time.Now()
			callerCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			Expect(send(callerCtx, far, suffix).Kind).To(Equal(outcome.Unknown))
			refused := send(ctx, near, suffix)
			Expect(refused.Kind).To(Equal(outcome.NotRun), "%v", refused)
			return time.Since(began) < oneWay
		}
		suffix := "late-0"
		for i := 1; !refuseResend(suffix) && i < 10; i++ {
			suffix = fmt.Sprint("late-", i)
		}
		id := ticket.TicketPrefix + suffix
		Consistently(func() int { return t.runs()[id] }).WithTimeout(time.Second).Should(Equal(0), "ran after the refusal of a resend")
		Expect(send(ctx, far, suffix)).To(Equal(outcome.OK()), "a resend may run")
		Expect(t.runs()[id]).To(Equal(1))
	}, NodeTimeout(time.Minute))
})
