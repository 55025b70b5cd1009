package daemon_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

var _ = Describe("A home that no longer runs", func() {
	const commands = 20
	var t *tier
	var home *fleet.Host
	var ticket api.TicketResponse
	send := func(ctx context.Context, through *fleet.Host, n int) outcome.Outcome {
		return t.post(ctx, through, commandPath, fmt.Sprint(ticket.TicketPrefix, n), longDeadline/5, api.LookupRequest{ID: "slab-000001"}, new(api.LookupResponse))
	}
	// start starts the fleet and runs the first half of the commands, through all
	// hosts in turn.
	start := func(ctx context.Context, change func(*settings.Document)) {
		t = startTier(ctx, []string{commandService}, func(d *settings.Document) {
			d.Fleet.Settings = settings.Overrides{"entries_ttl": rawJSON(`"300ms"`)}
			change(d)
		})
		home = t.hosts[0]
		Expect(t.post(ctx, home, "/v1/tickets", "", 0, nil, &ticket)).To(Equal(outcome.OK()))
		for n := range commands / 2 {
			Expect(send(ctx, t.hosts[n%len(t.hosts)], n)).To(Equal(outcome.OK()))
		}
		t.Hosts = slices.DeleteFunc(t.Hosts, func(h *fleet.Host) bool { return h == home })
	}

	// Guards against commands that become unknown or run again because their home was
	// replaced as planned, and against commands that the home never received and that
	// are not reported as "not run".
	It("has handed over the results of its commands if it stopped gracefully", func(ctx context.Context) {
		start(ctx, func(*settings.Document) {})
		Expect(home.Stop()).To(Succeed())
		for round := range 2 {
			unknown := 0
			for n := range commands {
				o := send(ctx, t.Hosts[n%len(t.Hosts)], n)
				switch {
				case o.Kind == outcome.Unknown:
					unknown++
				case n < commands/2:
					Expect(o).To(Equal(outcome.OK()))
				default:
					Expect(o.Kind).To(Equal(outcome.NotRun), "%v", o)
				}
			}
			fmt.Fprintf(GinkgoWriter, "graceful, round %d: %d of %d unknown\n", round, unknown, commands)
			Expect(unknown).To(Equal(0))
			Expect(t.Unlist(home)).To(Succeed())
		}
		// A host that starts after the handover holds no results and asks the others.
		late, err := t.AddHost(ctx, home.Entry.Place, home.Entry.Ordinal)
		Expect(err).NotTo(HaveOccurred())
		Eventually(late.Daemon.Ready()).WithTimeout(10 * time.Second).Should(BeClosed())
		Expect(send(ctx, late, 0)).To(Equal(outcome.OK()))
		Expect(send(ctx, late, commands-1).Kind).To(Equal(outcome.NotRun))
		for id, runs := range t.runs() {
			Expect(runs).To(Equal(1), id)
		}
	}, NodeTimeout(time.Minute))

	// Guards against the loss of an answer that another host has forwarded or received
	// from the target, and against "not run" for a command that no host has recorded.
	DescribeTable("leaves unknown only the commands that no other host has recorded if it crashed", func(ctx context.Context, change func(*settings.Document), allRecorded bool) {
		start(ctx, change)
		home.Crash()
		Expect(t.Unlist(home)).To(Succeed())
		unknown := 0
		for n := range commands {
			o := send(ctx, t.Hosts[n%len(t.Hosts)], n)
			if o.Kind == outcome.Unknown {
				unknown++
				continue
			}
			Expect(n).To(BeNumerically("<", commands/2), "%v", o)
			Expect(o).To(Equal(outcome.OK()))
		}
		fmt.Fprintf(GinkgoWriter, "crash: %d of %d unknown\n", unknown, commands)
		forwarded := commands/2 - (commands/2+len(t.Hosts))/(len(t.Hosts)+1) // the home answered its own share itself
		Expect(unknown).To(BeNumerically("<=", commands-forwarded))
		if allRecorded {
			Expect(unknown).To(Equal(commands / 2))
		}
	},
		Entry("targets in all places", func(*settings.Document) {}, false, NodeTimeout(time.Minute)),
		Entry("targets of other hosts only", withoutTargets("riga-a"), true, NodeTimeout(time.Minute)),
	)
})

// withoutTargets removes the targets of a place from the command service.
func withoutTargets(place string) func(*settings.Document) {
	return func(d *settings.Document) {
		for i := range d.Services[commandService].Groups {
			g := &d.Services[commandService].Groups[i]
			g.Targets = slices.DeleteFunc(g.Targets, func(t settings.Target) bool { return t.Place == place })
		}
	}
}
