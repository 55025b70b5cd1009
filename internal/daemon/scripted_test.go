package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// scriptedDocument is a configuration of two groups whose targets are in place b;
// %[1]s is the address of all targets.
const scriptedDocument = `{"version": 1, "designated_level": "place", "fleet": {"settings": {"deadline_default": "2s"}},
	"places": {"a": {"state": "in", "hosts": 1}, "b": {"state": "in", "hosts": 2}},
	"services": {"s": {"kind": "search", "partition_epoch": 1, "groups": [
		{"id": "g0", "range": {"from": 0, "to": 2147483648}, "targets": [{"id": "t0", "place": "b", "address": "%[1]s", "slots": 4, "connections": 8}]},
		{"id": "g1", "range": {"from": 2147483648, "to": 4294967296}, "targets": [{"id": "t1", "place": "b", "address": "%[1]s", "slots": 4, "connections": 8}]}]}}}`

// newTestHost returns the branch client of a host with its branch role, and the
// host's peer address. All hosts of a test share the authority. If serve is nil, the
// host answers searches and quarantine messages.
func newTestHost(t testHooks, authority *standin.Authority, self settings.Process, targets string, serve peer.Handler) (*branchClient, string) {
	conf, err := authority.TLSConfig(self.Name)
	t.check(err)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	t.check(err)
	log := hclog.NewNullLogger()
	c := &branchClient{self: &self, directory: newDirectory(log)}
	config := newConfig(&self, log)
	tree, err := settings.Parse(fmt.Appendf(nil, scriptedDocument, targets))
	t.check(err)
	config.current.Store(tree)
	c.local = newBranch(&self, config, newQuarantineGuard(&self, config, c.directory), (&net.Dialer{}).DialContext)
	if serve == nil {
		serve = func(ctx context.Context, exchange wire.Exchange, s *peer.Stream) {
			if exchange == wire.ExchangeQuarantine {
				c.local.guard.serveNotice(s)
				return
			}
			c.local.serveSearch(ctx, s)
		}
	}
	complete := make(chan struct{}) // streams of other hosts wait until the fields below are set
	c.transport, err = peer.Listen(conn, conf, func(ctx context.Context, exchange wire.Exchange, s *peer.Stream) {
		<-complete
		serve(ctx, exchange, s)
	})
	t.check(err)
	c.local.guard.transport, c.local.peers = c.transport, c
	close(complete)
	t.cleanup(func() { _ = c.transport.Close() })
	return c, conn.LocalAddr().String()
}

// setHosts sets the host list of a client.
func (c *branchClient) setHosts(addresses map[ordinalID]string) {
	list := &platform.HostList{Version: 1}
	for at, address := range addresses {
		list.Hosts = append(list.Hosts, platform.Host{
			Name: fmt.Sprint(at), Place: at.place, Ordinal: at.ordinal, State: platform.HostLive, Callers: address, Peers: address,
		})
	}
	c.directory.current.Store(indexHosts(list))
}

// testHooks are the functions of a test or benchmark that helpers use.
type testHooks struct {
	check   func(error)
	cleanup func(func())
}

var _ = Describe("OwnAnswer: crossed parts", func() {
	// Guards against merging a part of another target, group or query into the answer,
	// and against merging a part twice.
	It("ignores parts that the query did not request", func(ctx context.Context) {
		t := testHooks{check: func(err error) { GinkgoHelper(); Expect(err).NotTo(HaveOccurred()) }, cleanup: func(f func()) { DeferCleanup(f) }}
		authority, err := standin.NewAuthority()
		t.check(err)
		scriptedBranch := func(_ context.Context, _ wire.Exchange, s *peer.Stream) {
			var req wire.SearchRequest
			if s.Receive(&req) != nil {
				return
			}
			for i, asked := range req.Parts {
				other := map[string]string{"g0": "g1", "g1": "g0"}[asked.Group]
				wrong := answerPart(asked.Group, asked.Target, "wrong")
				otherGroup, otherTarget := wrong, wrong
				otherGroup.Group, otherTarget.Target = "g9", "t9"
				otherAskedGroup := answerPart(other, asked.Target, "wrong")
				last := i == len(req.Parts)-1
				for _, reply := range []wire.SearchReply{
					{QueryID: req.QueryID + "x", Parts: []wire.PartResult{wrong}, Final: true},
					{QueryID: req.QueryID, Parts: []wire.PartResult{otherGroup, otherTarget, otherAskedGroup}},
					{QueryID: req.QueryID, Parts: []wire.PartResult{answerPart(asked.Group, asked.Target, "right"), wrong}, Final: last},
				} {
					_ = s.Send(&reply)
				}
			}
		}
		client, own := newTestHost(t, authority, settings.Process{Name: "a-0", Place: "a"}, "127.0.0.1:9", nil)
		hosts := map[ordinalID]string{{"a", 0}: own}
		for ordinal := range 2 {
			_, address := newTestHost(t, authority, settings.Process{Name: "b", Place: "b", Ordinal: ordinal}, "127.0.0.1:9", scriptedBranch)
			hosts[ordinalID{"b", ordinal}] = address
		}
		client.setHosts(hosts)
		e := newEntry(client.self, client.local.config, client.directory, client)
		e.guard = client.local.guard
		for i := range 20 {
			answer, o := e.Search(ctx, "s", api.Meta{RequestID: fmt.Sprint("query-", i)}, &api.SearchRequest{})
			Expect(o).To(Equal(outcome.OK()))
			Expect(answer.Coverage).To(Equal(1.0))
			ids := []string{}
			for _, r := range answer.Records {
				ids = append(ids, r.ID)
			}
			Expect(ids).To(Equal([]string{"right-g0", "right-g1"}))
		}
		Expect(naiveSearch(ctx, client)).To(ContainElement(HavePrefix("wrong")), "the naive version must merge whatever arrives")
	}, NodeTimeout(30*time.Second))
})

// naiveSearch asks both groups and merges every part that arrives on the stream. It
// returns the identifiers of the records.
func naiveSearch(ctx context.Context, client *branchClient) (ids []string) {
	merger := coverage.NewMerger(1)
	for i, group := range []string{"g0", "g1"} {
		s, err := client.open(ctx, ordinalID{"b", 0}, wire.ExchangeSearch)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Send(&wire.SearchRequest{QueryID: "naive", Service: "s", Parts: []wire.PartRequest{{Group: group, Target: fmt.Sprint("t", i)}}})).To(Succeed())
		for reply := (wire.SearchReply{}); !reply.Final; {
			reply = wire.SearchReply{}
			Expect(s.Receive(&reply)).To(Succeed())
			for _, p := range reply.Parts {
				_ = merger.Add(coverage.Part{Version: p.Version, Covered: p.Covered, Records: p.Records})
			}
		}
		s.Reset()
	}
	for _, r := range merger.Records(0) {
		ids = append(ids, r.ID)
	}
	return ids
}

// answerPart returns an answer for a group with one record.
func answerPart(group, target, id string) wire.PartResult {
	r := keyspace.Split(2)[map[string]int{"g0": 0, "g1": 1}[group]]
	return wire.PartResult{
		Group: group, Target: target, Outcome: outcome.OK(), Version: 1, Covered: []coverage.Covered{{Range: r}},
		Records: []coverage.Record{{ID: id + "-" + group, Key: r.From}}, Status: wire.TargetStatus{Versions: []uint64{1}},
	}
}

// BenchmarkHop measures the extra hop: a search of one group through another branch
// host of the same place, compared with one through the host itself, with a target
// that answers at once. It reports the median and the 99th percentile.
func BenchmarkHop(b *testing.B) {
	t := testHooks{check: func(err error) {
		if err != nil {
			b.Fatal(err)
		}
	}, cleanup: b.Cleanup}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"state":"warm","boot_id":"1","index_versions":[1],"version":1,"covered":[{"from":0,"to":2147483648,"epoch":1}],"records":[]}`))
	}))
	b.Cleanup(server.Close)
	authority, err := standin.NewAuthority()
	t.check(err)
	address := server.Listener.Addr().String()
	client, own := newTestHost(t, authority, settings.Process{Name: "b-0", Place: "b"}, address, nil)
	_, other := newTestHost(t, authority, settings.Process{Name: "b-1", Place: "b", Ordinal: 1}, address, nil)
	client.setHosts(map[ordinalID]string{{"b", 0}: own, {"b", 1}: other})
	for ordinal, name := range []string{"local", "remote"} {
		b.Run(name, func(b *testing.B) {
			var took []time.Duration
			for b.Loop() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				req := &wire.SearchRequest{
					QueryID: fmt.Sprint(rand.Uint64()), Service: "s", TimeoutMS: 1000, Version: 1,
					Parts: []wire.PartRequest{{Group: "g0", Target: "t0"}},
				}
				answered := false
				start := time.Now()
				err := client.search(ctx, ordinalID{"b", ordinal}, req, make(chan string), func(parts []wire.PartResult) {
					answered = parts[0].Outcome.Kind == outcome.Answered
				})
				took = append(took, time.Since(start))
				cancel()
				if err != nil || !answered {
					b.Fatalf("answered %t, error %v", answered, err)
				}
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
	}
}
