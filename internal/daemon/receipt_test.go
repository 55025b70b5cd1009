package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

var _ = Describe("GracefulShutdown", func() {
	// Guards against a home that exits before the host which forwarded a command has the
	// reply, so that a command that ran ends as unknown.
	It("delivers the replies of forwarded commands", func(ctx context.Context) {
		t := startTier(ctx, []string{commandService}, func(d *settings.Document) {
			if d.Fleet.Settings == nil {
				d.Fleet.Settings = settings.Overrides{}
			}
			d.Fleet.Settings["entries_ttl"] = json.RawMessage(`"300ms"`)
		})
		home, sender := t.hosts[0], t.hosts[len(t.hosts)-1]
		var ticket api.TicketResponse
		Expect(t.post(ctx, home, "/v1/tickets", "", 0, nil, &ticket)).To(Equal(outcome.OK()))
		// Slow targets: commands finish during the home's shutdown, well before their deadline.
		for _, id := range searchersOf(t, commandService) {
			t.Searchers[id].SetFaults(standin.Faults{SlowRatio: 1, SlowFactor: 40})
		}
		// With this link delay a reply is lost if the home exits at once.
		t.Network.SetLinks(50, 0)
		const commands = 6
		outcomes := make([]outcome.Outcome, commands)
		var wg sync.WaitGroup
		for i := range commands {
			wg.Go(func() {
				defer GinkgoRecover()
				var answer api.LookupResponse
				outcomes[i] = t.post(ctx, sender, commandPath, fmt.Sprint(ticket.TicketPrefix, i), longDeadline, api.LookupRequest{ID: "slab-000001"}, &answer)
			})
		}
		Eventually(func() int { return len(t.runs()) }).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
		began := time.Now()
		t.Hosts = t.Hosts[1:]
		Expect(home.Stop()).To(Succeed())
		stopped := time.Since(began)
		wg.Wait()
		fmt.Fprintf(GinkgoWriter, "%d commands run, home stopped after %s: %v\n", len(t.runs()), stopped, outcomes)
		for _, o := range outcomes {
			Expect(o).To(Equal(outcome.OK()))
		}
	}, NodeTimeout(time.Minute))
})
