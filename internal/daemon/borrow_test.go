package daemon

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/peer"
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

	// Guards against a search that callers take as not run although the other owner of its target
	// ran it before its connection was lost.
	It("leaves unknown whether a search ran whose lender was lost, and refuses one whose lender refused it", func(ctx context.Context) {
		t := testHooks{check: func(err error) { GinkgoHelper(); Expect(err).NotTo(HaveOccurred()) }, cleanup: func(f func()) { DeferCleanup(f) }}
		spec := settings.Target{ID: "t0", Place: "b", Address: "127.0.0.1:9", Slots: 4, Connections: 8}
		searcher, err := standin.NewSearcher(spec, "s", standin.ServiceModel{MedianMS: 1000}, standin.NewDataset("tag", 10, 1), keyspace.Split(2)[0], 1, 1)
		t.check(err)
		DeferCleanup(searcher.Kill)
		authority, err := standin.NewAuthority()
		t.check(err)
		var lender *branchClient
		ready := make(chan struct{}) // closed when lender is set
		var refuses atomic.Bool
		serve := func(ctx context.Context, exchange wire.Exchange, s *peer.Stream) {
			<-ready
			var req wire.SearchRequest
			switch {
			case exchange == wire.ExchangeQuarantine:
				lender.local.guard.serveNotice(s)
				return
			case s.Receive(&req) != nil:
				return
			case refuses.Load():
				part := wire.PartResult{Group: "g0", Target: "t0", Outcome: outcome.Refused(outcome.Overload, "no slot is free to lend")}
				_ = s.Send(&wire.SearchReply{QueryID: req.QueryID, Parts: []wire.PartResult{part}, Final: true})
				return
			}
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			before := searcher.Counts().Searches.Load()
			go func() {
				_ = lender.local.search(newBranchRun(ctx, &req), &req, func([]wire.PartResult, bool) error { return nil })
			}()
			for ctx.Err() == nil && searcher.Counts().Searches.Load() == before {
				time.Sleep(time.Millisecond)
			}
			s.Reset()
		}
		client, first := newTestHost(t, authority, settings.Process{Name: "b-0", Place: "b", Ordinal: 0}, searcher.Address(), nil)
		lender, second := newTestHost(t, authority, settings.Process{Name: "b-1", Place: "b", Ordinal: 1}, searcher.Address(), serve)
		close(ready)
		hosts := map[ordinalID]string{{"b", 0}: first, {"b", 1}: second}
		ask := func(owner *branchClient, id string, timeout time.Duration) wire.PartResult {
			req := &wire.SearchRequest{
				QueryID: id, Service: "s", Version: 1, TimeoutMS: timeout.Milliseconds(), Parts: []wire.PartRequest{{Group: "g0", Target: "t0"}},
			}
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			var result wire.PartResult
			_ = owner.search(ctx, ordinalID{"b", owner.self.Ordinal}, req, nil, func(parts []wire.PartResult) { result = parts[0] })
			return result
		}
		for _, owner := range []*branchClient{client, lender} {
			owner.setHosts(hosts)
			Expect(ask(owner, "warm-"+owner.self.Name, time.Minute).Outcome).To(Equal(outcome.OK()))
		}
		Eventually(func() bool { return client.mayBorrowFrom(ordinalID{"b", 1}) }, eventuallyTimeout).Should(BeTrue())
		metrics := telemetry.NewMetrics()
		client.local.observer.metrics = metrics
		// The own slots stay in use for longer than the third search may wait.
		thirdAfter := func(name string) wire.PartResult {
			var busy sync.WaitGroup
			defer busy.Wait()
			before := searcher.Counts().Searches.Load()
			for i := range 2 {
				busy.Go(func() { ask(client, fmt.Sprint(name, i), time.Minute) })
			}
			Eventually(searcher.Counts().Searches.Load, eventuallyTimeout, time.Millisecond).Should(Equal(before + 2))
			return ask(client, name, 700*time.Millisecond)
		}

		lost := thirdAfter("lost")
		Expect(lost.Outcome.Kind).To(Equal(outcome.Unknown), "%v", lost.Outcome)
		Expect(lost.ConnectionLost).To(BeFalse(), "the target has not crashed")
		refuses.Store(true)
		Expect(thirdAfter("refused").Outcome.DidNotRun()).To(BeTrue())
		page := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for _, result := range []string{"lost", "refused"} {
			Expect(page.Body.String()).To(ContainSubstring(`lacewingyard_borrowed_slots_total{result="%s",service="s"} 1`, result))
		}
	}, NodeTimeout(time.Minute))
})
