package daemon_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

var _ = Describe("A command", func() {
	var t *tier
	var home *fleet.Host
	var ticket api.TicketResponse
	send := func(ctx context.Context, n int, deadline time.Duration) outcome.Outcome {
		return t.post(ctx, home, commandPath, fmt.Sprint(ticket.TicketPrefix, n), deadline, api.LookupRequest{ID: "slab-000001"}, new(api.LookupResponse))
	}
	start := func(ctx context.Context) {
		t = startTier(ctx, []string{commandService}, func(*settings.Document) {})
		home = t.hosts[0]
		Expect(t.post(ctx, home, "/v1/tickets", "", 0, nil, &ticket)).To(Equal(outcome.OK()))
	}

	// Guards against a command that is unknown for ever because its target
	// answered after the deadline.
	It("has its result for a resend if the target answers late", func(ctx context.Context) {
		start(ctx)
		Expect(send(ctx, 0, longDeadline)).To(Equal(outcome.OK()))
		for _, id := range searchersOf(t, commandService) {
			t.Searchers[id].SetFaults(standin.Faults{SlowRatio: 1, SlowFactor: 8}) // some 320 ms
		}
		late := 0
		for n := 1; n <= 5; n++ {
			first := send(ctx, n, 120*time.Millisecond)
			if first.RanNothing() { // the host has learnt that it takes longer, or is busy
				continue
			}
			late++
			Expect(send(ctx, n, longDeadline)).To(Equal(outcome.OK()), "the first send was %v", first)
			Expect(t.runs()[fmt.Sprint(ticket.TicketPrefix, n)]).To(Equal(1))
		}
		Expect(late).To(BeNumerically(">", 0), "the check shows nothing")
	}, NodeTimeout(time.Minute))

	// Guards against a command that is unknown because a branch host that did
	// not get it, cut off from the home, does not answer.
	It("is not unknown if only branch hosts are cut off", func(ctx context.Context) {
		start(ctx)
		for n := range 30 { // opens connections to other hosts
			Expect(send(ctx, n, longDeadline)).To(Equal(outcome.OK()))
		}
		for _, h := range t.hosts[1:] {
			t.Network.Cut(home.Entry.Peers, h.Entry.Peers, true)
			t.Network.Cut(h.Entry.Peers, home.Entry.Peers, true)
		}
		kinds := map[outcome.Kind]int{}
		for n := range 30 {
			o := send(ctx, 100+n, 300*time.Millisecond)
			kinds[o.Kind]++
			Expect(o.Kind).NotTo(Equal(outcome.Unknown), "%v", o)
		}
		fmt.Fprintf(GinkgoWriter, "commands of a home that is cut off: %v\n", kinds)
	}, NodeTimeout(time.Minute))
})
