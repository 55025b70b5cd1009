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

	// Guards against a command that is unknown for ever because its target
	// answered after the deadline.
	It("has its result for a resend if the target answers late", func(ctx context.Context) {
		start(ctx, func(*settings.Document) {})
		Expect(send(ctx, 0, longDeadline)).To(Equal(outcome.OK()))
		for _, id := range searchersOf(t, commandService) {
			t.Searchers[id].SetFaults(standin.Faults{SlowRatio: 1, SlowFactor: 8}) // some 320 ms
		}
		late := 0
		for n := 1; n <= 5; n++ {
			first := send(ctx, n, 120*time.Millisecond)
			if first.DidNotRun() { // the host has learnt that it takes longer, or is busy
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
		fmt.Fprintf(GinkgoWriter, "commands of a home that is cut off: %v\n", kinds)
	}, NodeTimeout(time.Minute))

	// Guards against a command that stays unknown although the host that ran it
	// has the answer, which the home did not get.
	It("has its result for a resend if the reply to the home was lost", func(ctx context.Context) {
		start(ctx, withoutTargets("riga-a"))
		Expect(home.Entry.Place).To(Equal("riga-a"))
		Expect(send(ctx, 0, longDeadline)).To(Equal(outcome.OK()))
		for _, id := range searchersOf(t, commandService) {
			t.Searchers[id].SetFaults(standin.Faults{SlowRatio: 1, SlowFactor: 20}) // some 800 ms
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

	// Guards against a command that uses up its deadline on a home which its entry
	// host does not reach, while another host does.
	DescribeTable("reaches its home through another host", func(ctx context.Context, there, back bool) {
		start(ctx, func(*settings.Document) {})
		sender := t.hosts[len(t.hosts)-1]
		through := func(n int) outcome.Outcome {
			return t.post(ctx, sender, commandPath, fmt.Sprint(ticket.TicketPrefix, n), time.Second, api.LookupRequest{ID: "slab-000001"}, new(api.LookupResponse))
		}
		Expect(through(0)).To(Equal(outcome.OK()))
		t.Network.SetBlocked(sender.Entry.Peers, home.Entry.Peers, there)
		t.Network.SetBlocked(home.Entry.Peers, sender.Entry.Peers, back)
		for n := 1; n <= 10; n++ {
			began := time.Now()
			Expect(through(n)).To(Equal(outcome.OK()))
			fmt.Fprintf(GinkgoWriter, "answered after %s\n", time.Since(began))
			Expect(t.runs()[fmt.Sprint(ticket.TicketPrefix, n)]).To(Equal(1))
		}
	},
		Entry("cut off in both directions", true, true, NodeTimeout(time.Minute)),
		Entry("requests are lost", true, false, NodeTimeout(time.Minute)),
		Entry("replies are lost", false, true, NodeTimeout(time.Minute)),
	)
})
