package daemon

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

var _ = Describe("dispatcher with little time", func() {
	// Guards against a cold target that never warms up because its requests are ended as
	// silent after half of the remaining time, while its answers take longer.
	It("lets a cold target use the whole remaining time of a request", func() {
		r := newTargetFixture(false, standin.ServiceModel{MedianMS: 50})
		Eventually(r.answers(0), eventuallyTimeout).Should(BeTrue())
		r.searcher.TurnCold(true) // 200 ms per request
		Eventually(func() bool { r.askFor(350*time.Millisecond, 0, false); return r.searcher.Cold() }, eventuallyTimeout).Should(BeFalse())
	})

	// Guards against requests that end as silent before a usual answer arrives, because
	// the progress timeout is half of what a wait for a slot or a first attempt left.
	It("allows half of the time before a wait for a slot, and all remaining time for a retry", func() {
		r := newTargetFixture(false, standin.ServiceModel{MedianMS: 100})
		Eventually(r.answers(0), eventuallyTimeout).Should(BeTrue())
		t := r.owners[0].owned["t0"]
		Expect(t.progressTimeout(&work{}, 140*time.Millisecond, 120*time.Millisecond)).To(Equal(120 * time.Millisecond))
		Expect(t.progressTimeout(&work{retry: true}, 140*time.Millisecond, 70*time.Millisecond)).To(Equal(140 * time.Millisecond))
	})

	// Guards against a request that waits in the long queue of one owner while other
	// owners have free slots.
	It("refuses a request that would wait longer than it may", func() {
		r := newTargetFixture(false, standin.ServiceModel{MedianMS: 200})
		Eventually(r.answers(0), eventuallyTimeout).Should(BeTrue())
		for range 4 { // two run and two wait
			go r.askFor(eventuallyTimeout, 0, false)
		}
		Eventually(func() int { return r.owners[0].status()[0].Queue }, eventuallyTimeout).Should(Equal(2))
		r.maxWaitServiceTimes = 1
		started := time.Now()
		d := r.askFor(eventuallyTimeout, 0, false)
		Expect(d.outcome.DidNotRun()).To(BeTrue())
		Expect(d.outcome.Reason).To(Equal(outcome.Busy))
		Expect(time.Since(started)).To(BeNumerically("<", 100*time.Millisecond), "at once")
		r.maxWaitServiceTimes = 0
		Expect(r.askFor(eventuallyTimeout, 0, false).outcome.Kind).To(Equal(outcome.Answered))
	})
})

// placeOutDocument has a command service with four targets in place b, whose hosts
// refuse commands because place b is out of service, and one target in place c.
const placeOutDocument = `{"version": 1, "designated_level": "place", "fleet": {"settings": {"deadline_default": "2s"}},
	"places": {"a": {"state": "in", "hosts": 1}, "b": {"state": "in", "hosts": 3}, "c": {"state": "in", "hosts": 1}},
	"services": {"s": {"kind": "command", "partition_epoch": 1, "groups": [{"id": "g0", "range": {"from": 0, "to": 4294967296}, "targets": [
		{"id": "t0", "place": "b", "address": "127.0.0.1:9", "slots": 4, "connections": 8},
		{"id": "t1", "place": "b", "address": "127.0.0.1:9", "slots": 4, "connections": 8},
		{"id": "t2", "place": "b", "address": "127.0.0.1:9", "slots": 4, "connections": 8},
		{"id": "t3", "place": "b", "address": "127.0.0.1:9", "slots": 4, "connections": 8},
		{"id": "t4", "place": "c", "address": "127.0.0.1:9", "slots": 4, "connections": 8}]}]}}}`

var _ = Describe("A place that is taken out of service", func() {
	// Guards against commands that use up their retries on targets of a place that is
	// out of service by a configuration which the entry host does not have yet.
	It("does not fail commands of an entry host with the older configuration", func(ctx context.Context) {
		t := testHooks{check: func(err error) { GinkgoHelper(); Expect(err).NotTo(HaveOccurred()) }, cleanup: func(f func()) { DeferCleanup(f) }}
		authority, err := standin.NewAuthority()
		t.check(err)
		client, own := newTestHost(t, authority, settings.Process{Name: "a-0", Place: "a"}, "127.0.0.1:9", nil)
		tree, err := settings.Parse([]byte(placeOutDocument))
		t.check(err)
		client.local.config.current.Store(tree)
		hosts := map[ordinalID]string{{"a", 0}: own}
		out := outcome.Refused(outcome.PlaceOut, "out")
		for at, o := range map[ordinalID]outcome.Outcome{{"b", 0}: out, {"b", 1}: out, {"b", 2}: out, {"c", 0}: outcome.OK()} {
			_, hosts[at] = newTestHost(t, authority, settings.Process{Name: "other", Place: at.place, Ordinal: at.ordinal}, "127.0.0.1:9",
				func(_ context.Context, exchange wire.Exchange, s *peer.Stream) {
					if _, err := receiveLookup(exchange, s); err == nil {
						_ = s.Send(&wire.LookupReply{Outcome: o})
					}
				})
		}
		client.setHosts(hosts)
		for i := range 20 {
			e := newEntry(client.self, client.local.config, client.directory, client) // a new entry host, which has recorded no refusal
			within, cancel := context.WithTimeout(ctx, 5*time.Second)
			reply := e.runCommand(within, &wire.CommandRequest{Service: "s", ID: fmt.Sprint("record-", i)})
			cancel()
			Expect(reply.Outcome).To(Equal(outcome.OK()), "command %d", i)
		}
	}, NodeTimeout(time.Minute))
})

var _ = Describe("A target whose queue exceeds the wait limit of a first attempt", func() {
	// Guards against queries and commands that fail with the reason "busy" although a
	// target with a long queue could still run them before the deadline.
	It("is used if no other target is left", func(ctx context.Context) {
		t := testHooks{check: func(err error) { GinkgoHelper(); Expect(err).NotTo(HaveOccurred()) }, cleanup: func(f func()) { DeferCleanup(f) }}
		authority, err := standin.NewAuthority()
		t.check(err)
		client, own := newTestHost(t, authority, settings.Process{Name: "a-0", Place: "a"}, "127.0.0.1:9", nil)
		busy := outcome.Refused(outcome.Busy, "long queue")
		serve := func(_ context.Context, exchange wire.Exchange, s *peer.Stream) {
			if exchange == wire.ExchangeLookupOnce {
				if req, err := receiveLookup(exchange, s); err == nil {
					reply := wire.LookupReply{Outcome: outcome.OK()}
					if req.MaxWaitServiceTimes > 0 {
						reply.Outcome = busy
					}
					_ = s.Send(&reply)
				}
				return
			}
			var req wire.SearchRequest
			if s.Receive(&req) != nil {
				return
			}
			reply := wire.SearchReply{QueryID: req.QueryID, Final: true}
			for _, asked := range req.Parts {
				p := answerPart(asked.Group, asked.Target, "r")
				if asked.MaxWaitServiceTimes > 0 {
					p = wire.PartResult{Group: asked.Group, Target: asked.Target, Outcome: busy}
				}
				reply.Parts = append(reply.Parts, p)
			}
			_ = s.Send(&reply)
		}
		document := strings.ReplaceAll(fmt.Sprintf(scriptedDocument, "127.0.0.1:9"), `"targets": [`,
			`"targets": [{"id": "%s", "place": "b", "address": "127.0.0.1:9", "slots": 4, "connections": 8}, `)
		tree, err := settings.Parse(fmt.Appendf(nil, document, "t2", "t3"))
		t.check(err)
		client.local.config.current.Store(tree)
		hosts := map[ordinalID]string{{"a", 0}: own}
		for ordinal := range 2 {
			_, hosts[ordinalID{"b", ordinal}] = newTestHost(t, authority, settings.Process{Name: "b", Place: "b", Ordinal: ordinal}, "127.0.0.1:9", serve)
		}
		client.setHosts(hosts)
		e := newEntry(client.self, client.local.config, client.directory, client)
		e.guard = client.local.guard
		for i := range 20 {
			answer, o := e.Search(ctx, "s", api.Meta{RequestID: fmt.Sprint("query-", i)}, &api.SearchRequest{})
			Expect(o).To(Equal(outcome.OK()))
			Expect(answer.Coverage).To(Equal(1.0))
		}
		within, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		Expect(e.runCommand(within, &wire.CommandRequest{Service: "s", ID: "record-1"}).Outcome).To(Equal(outcome.OK()))
	}, NodeTimeout(time.Minute))
})

// receiveLookup receives a lookup. It completes the handshake of a request that may
// not be repeated.
func receiveLookup(exchange wire.Exchange, s *peer.Stream) (req wire.LookupRequest, err error) {
	if err = s.Receive(&req); err != nil || exchange != wire.ExchangeLookupOnce {
		return req, err
	}
	if err = s.Send(&wire.LookupReady{}); err == nil {
		err = s.Receive(new(wire.LookupStart))
	}
	return req, err
}
