package daemon

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

var _ = Describe("Borrowed slots", func() {
	// Guards against requests that wait for a slot of one owner while slots of the
	// other owner are idle, against borrowing that exceeds the target's slots, and
	// against requests that fail because the other owner is down.
	It("let one owner use all slots of a target, and no more", func(ctx context.Context) {
		t := testHooks{check: func(err error) { GinkgoHelper(); Expect(err).NotTo(HaveOccurred()) }, cleanup: func(f func()) { DeferCleanup(f) }}
		spec := settings.Target{ID: "t0", Place: "b", Address: "127.0.0.1:9", Slots: 4, Connections: 8}
		searcher, err := standin.NewSearcher(spec, "s", standin.ServiceModel{MedianMS: 200}, standin.NewDataset("tag", 10, 1), keyspace.Split(2)[0], 1, 1)
		t.check(err)
		DeferCleanup(searcher.Kill)
		authority, err := standin.NewAuthority()
		t.check(err)
		hosts, clients := map[ordinalID]string{}, [2]*branchClient{}
		for ordinal := range clients {
			self := settings.Process{Name: fmt.Sprint("b-", ordinal), Place: "b", Ordinal: ordinal}
			clients[ordinal], hosts[ordinalID{"b", ordinal}] = newTestHost(t, authority, self, searcher.Address(), nil)
		}
		results := make(chan wire.PartResult, 16)
		ask := func(ctx context.Context, owner, id int) {
			req := &wire.SearchRequest{
				QueryID: fmt.Sprint("q", id), Service: "s", Version: 1, TimeoutMS: time.Minute.Milliseconds(),
				Parts: []wire.PartRequest{{Group: "g0", Target: "t0"}},
			}
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			_ = clients[owner].search(ctx, ordinalID{"b", owner}, req, nil, func(parts []wire.PartResult) { results <- parts[0] })
		}
		for owner, client := range clients {
			client.setHosts(hosts)
			ask(ctx, owner, owner)
			Expect((<-results).Outcome).To(Equal(outcome.OK()))
		}
		Eventually(func() bool { return clients[0].mayBorrowFrom(ordinalID{"b", 1}) }, eventuallyTimeout).Should(BeTrue())
		metrics := telemetry.NewMetrics()
		clients[0].local.observer.metrics = metrics
		const bursts = 5 // requests that start together must not all count on one free slot
		for burst := range bursts {
			for i := range spec.Slots + 2 {
				go ask(ctx, 0, 10*(burst+1)+i)
			}
			for range spec.Slots + 2 {
				Expect((<-results).Outcome).To(Equal(outcome.OK()))
			}
		}
		page := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		Expect(page.Body.String()).To(ContainSubstring(`lacewingyard_borrowed_slots_total{result="granted",service="s"} %d`, 2*bursts))
		Expect(searcher.Counts().OverSlots.Load()).To(BeZero())

		t.check(clients[1].transport.Close()) // without the other owner, requests wait for a slot of this one
		for i := range spec.Slots {
			go ask(ctx, 0, 100+i)
		}
		for range spec.Slots {
			Expect((<-results).Outcome).To(Equal(outcome.OK()))
		}
	}, NodeTimeout(time.Minute))
})
