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
	start := func(ctx context.Context, change func(*settings.Document)) {
		t = startTier(ctx, []string{commandService}, change)
		home = t.hosts[0]
		Expect(t.post(ctx, home, "/v1/tickets", "", 0, nil, &ticket)).To(Equal(outcome.OK()))
	}

	// Guards against a command that stays unknown because its target answered after the
	// deadline and the late answer was dropped.
	It("gives its result to a resend if the target answered after the deadline", func(ctx context.Context) {
		start(ctx, func(*settings.Document) {})
		Expect(send(ctx, 0, longDeadline)).To(Equal(outcome.OK()))
		for _, id := range searchersOf(t, commandService) {
			t.Searchers[id].SetFaults(standin.Faults{SlowRatio: 1, SlowFactor: 8}) // about 320 ms
		}
		late := 0
		for n := 1; n <= 5; n++ {
			first := send(ctx, n, 120*time.Millisecond)
			if first.DidNotRun() { // the host expects to miss the deadline, or is busy
				continue
			}
			late++
			Expect(send(ctx, n, longDeadline)).To(Equal(outcome.OK()), "the first send was %v", first)
			Expect(t.runs()[fmt.Sprint(ticket.TicketPrefix, n)]).To(Equal(1))
		}
		Expect(late).To(BeNumerically(">", 0), "all first sends were refused as not run; none reached a late target")
	}, NodeTimeout(time.Minute))

	// Guards against a command that ends as unknown because a branch host that is cut off
	// from the home does not reply. The branch host has not received the command.
	It("is not unknown if only branch hosts are unreachable", func(ctx context.Context) {
		start(ctx, func(*settings.Document) {})
		for n := range 30 { // opens connections to other hosts
			Expect(send(ctx, n, longDeadline)).To(Equal(outcome.OK()))
		}
		for _, h := range t.hosts[1:] {
			t.Network.SetBlocked(home.Entry.Peers, h.Entry.Peers, true)
			t.Network.SetBlocked(h.Entry.Peers, home.Entry.Peers, true)
		}
		kinds := map[outcome.Kind]int{}
		for n := range 30 {
			o := send(ctx, 100+n, 300*time.Millisecond)
			kinds[o.Kind]++
			Expect(o.Kind).NotTo(Equal(outcome.Unknown), "%v", o)
		}
		fmt.Fprintf(GinkgoWriter, "commands of a home that is cut off from other hosts: %v\n", kinds)
	}, NodeTimeout(time.Minute))

	// Guards against a command that stays unknown because the home lost the reply,
	// although the branch host that ran it still has the answer.
	It("gives its result to a resend if the reply to the home was lost", func(ctx context.Context) {
		start(ctx, withoutTargets("riga-a"))
		Expect(home.Entry.Place).To(Equal("riga-a"))
		Expect(send(ctx, 0, longDeadline)).To(Equal(outcome.OK()))
		for _, id := range searchersOf(t, commandService) {
			t.Searchers[id].SetFaults(standin.Faults{SlowRatio: 1, SlowFactor: 20}) // about 800 ms
		}
		first := make(chan outcome.Outcome, 1)
		go func() { first <- send(ctx, 1, 2*time.Second) }()
		id := fmt.Sprint(ticket.TicketPrefix, 1)
		Eventually(func() int { return t.runs()[id] }).WithTimeout(2 * time.Second).Should(Equal(1))
		for _, place := range []string{"riga-b", "riga-c"} {
			t.Network.SetBlocked(place, home.Entry.Peers, true)
		}
		Expect((<-first).Kind).To(Equal(outcome.Unknown))
		for _, place := range []string{"riga-b", "riga-c"} {
			t.Network.SetBlocked(place, home.Entry.Peers, false)
		}
		Eventually(func() outcome.Outcome { return send(ctx, 1, longDeadline) }).WithTimeout(10 * time.Second).Should(Equal(outcome.OK()))
		Expect(t.runs()[id]).To(Equal(1))
	}, NodeTimeout(time.Minute))

	// Guards against a command that waits until its deadline for a home that is
	// unreachable from the entry host, although another host could relay the command.
	DescribeTable("reaches its home through another host", func(ctx context.Context, cutRequests, cutReplies bool) {
		start(ctx, func(*settings.Document) {})
		sender := t.hosts[len(t.hosts)-1]
		sendThrough := func(n int) outcome.Outcome {
			return t.post(ctx, sender, commandPath, fmt.Sprint(ticket.TicketPrefix, n), time.Second, api.LookupRequest{ID: "slab-000001"}, new(api.LookupResponse))
		}
		Expect(sendThrough(0)).To(Equal(outcome.OK()))
		t.Network.SetBlocked(sender.Entry.Peers, home.Entry.Peers, cutRequests)
		t.Network.SetBlocked(home.Entry.Peers, sender.Entry.Peers, cutReplies)
		for n := 1; n <= 10; n++ {
			began := time.Now()
			Expect(sendThrough(n)).To(Equal(outcome.OK()))
			fmt.Fprintf(GinkgoWriter, "answered after %s\n", time.Since(began))
			Expect(t.runs()[fmt.Sprint(ticket.TicketPrefix, n)]).To(Equal(1))
		}
	},
		Entry("cut off in both directions", true, true, NodeTimeout(time.Minute)),
		Entry("only requests are lost", true, false, NodeTimeout(time.Minute)),
		Entry("only replies are lost", false, true, NodeTimeout(time.Minute)),
	)
})
