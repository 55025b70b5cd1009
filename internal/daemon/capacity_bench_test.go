package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/internal/target"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/atmostonce"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// measureSlope builds a state of two sizes and reports the growth of the heap and of
// goroutine stacks per element. build returns the state, which stays reachable until
// it has been measured, and a function that releases it.
func measureSlope(b *testing.B, small, large int, build func(n int) (state any, end func())) {
	var heap, stack [2]float64
	for b.Loop() {
		for i, n := range []int{small, large} {
			before := readMemory()
			state, end := build(n)
			after := readMemory()
			runtime.KeepAlive(state)
			end()
			heap[i] = float64(after.HeapAlloc) - float64(before.HeapAlloc)
			stack[i] = float64(after.StackInuse) - float64(before.StackInuse)
		}
	}
	b.ReportMetric((heap[1]-heap[0])/float64(large-small), "heap-B/element")
	b.ReportMetric((stack[1]-stack[0])/float64(large-small), "stack-B/element")
	b.ReportMetric(heap[0], fmt.Sprintf("heap-B-at-%d", small))
	b.ReportMetric(heap[1], fmt.Sprintf("heap-B-at-%d", large))
}

func readMemory() (m runtime.MemStats) {
	runtime.GC()
	runtime.GC() // frees what finalizers and sync.Pool kept in the first cycle
	runtime.ReadMemStats(&m)
	return m
}

func benchRequire(b *testing.B) testHooks {
	return testHooks{check: func(err error) {
		b.Helper()
		if err != nil {
			b.Fatal(err)
		}
	}, cleanup: b.Cleanup}
}

func noop() {}

var noEvents = target.Events{Probed: func(time.Time, wire.TargetStatus) {}, Broken: func(time.Time) {}}

// BenchmarkCapacityOwnedTarget measures the memory of a target on a branch host:
// dispatcher entry, limiter, ramp and a pool without connections.
func BenchmarkCapacityOwnedTarget(b *testing.B) {
	limits := shareLimits{slots: 2, connections: 18, queueLimit: 64, coldConcurrency: 1, rampStep: 1, mayUseCold: true}
	measureSlope(b, 500, 4000, func(n int) (any, func()) {
		d := &dispatcher{owned: map[string]*ownedTarget{}}
		for i := range n {
			id := fmt.Sprintf("tags-g%04d-r0", i)
			t := newOwnedTarget(id, fmt.Sprintf("127.1.%d.%d:9000", i/256, i%256), limits, nil, &medianLatency{})
			t.applyState(time.Now())
			d.owned[id] = t
		}
		return d, d.close
	})
}

// BenchmarkCapacityConnection measures the memory of an open connection to a target,
// including the stand-in's end. "plain" has a bare socket at the tier's end.
func BenchmarkCapacityConnection(b *testing.B) {
	t := benchRequire(b)
	address := costDocument(t, 1).Services["s"].Groups[0].Targets[0].Address
	b.Run("pool", func(b *testing.B) {
		measureSlope(b, 100, 400, func(n int) (any, func()) {
			pool := target.NewPool(address, n, n, (&net.Dialer{}).DialContext, noEvents)
			taken := make([]*target.Client, n)
			for i := range taken {
				var err error
				taken[i], err = pool.Acquire(context.Background(), false)
				t.check(err)
			}
			for _, c := range taken {
				c.Release()
			}
			return pool, pool.Close
		})
	})
	b.Run("plain", func(b *testing.B) {
		measureSlope(b, 100, 400, func(n int) (any, func()) {
			conns := make([]net.Conn, n)
			for i := range conns {
				var err error
				conns[i], err = net.Dial("tcp", address)
				t.check(err)
				_, err = conns[i].Write([]byte("GET /status HTTP/1.1\r\n\r\n"))
				t.check(err)
				_, err = conns[i].Read(make([]byte, 1024))
				t.check(err)
			}
			return conns, func() {
				for _, c := range conns {
					_ = c.Close()
				}
			}
		})
	})
}

// BenchmarkCapacityKnownTarget measures the memory of a target on an entry host, in
// groups of three: routing over two owners, versions, hedge delays and the plan.
// "tree" is the configuration with the same targets, of which a host keeps one.
func BenchmarkCapacityKnownTarget(b *testing.B) {
	t := benchRequire(b)
	parse := func(groups int) *settings.Tree {
		doc := newDocument(8, 64, groups)
		data, err := json.Marshal(&doc)
		t.check(err)
		tree, err := settings.Parse(data)
		t.check(err)
		return tree
	}
	b.Run("tree", func(b *testing.B) {
		measureSlope(b, 300, 2100, func(n int) (any, func()) { return parse(n / 3), noop })
	})
	b.Run("entry", func(b *testing.B) {
		trees := map[int]*settings.Tree{300: parse(100), 2100: parse(700)}
		measureSlope(b, 300, 2100, func(n int) (any, func()) { return newEntryWithTargets(trees[n]), noop })
	})
}

// newEntryWithTargets returns an entry role that has recorded an answer of every
// target through both owners.
func newEntryWithTargets(tree *settings.Tree) *entry {
	self := &settings.Process{Name: "a-0", Place: placeName(0)}
	log := hclog.NewNullLogger()
	c := newConfig(self, log)
	c.current.Store(tree)
	client := &branchClient{self: self, directory: newDirectory(log)}
	hosts := map[ordinalID]string{}
	for place, p := range tree.Doc.Places {
		for ordinal := range p.Hosts {
			hosts[ordinalID{place, ordinal}] = "127.0.0.1:1"
		}
	}
	client.setHosts(hosts)
	e := newEntry(self, c, client.directory, client)
	now := time.Now()
	st := e.service(tree, "tags")
	tree.Targets(func(info *settings.TargetInfo) {
		e.versions.Observe(now, info.ID, "boot-1", []uint64{1, 2})
		for _, ordinal := range info.Owners {
			path := routing.Path{Target: info.ID, Place: info.Place, Ordinal: ordinal}
			e.router.Sent(path)
			e.router.Answered(now, path, 5*time.Millisecond)
		}
	})
	for _, g := range st.groups {
		st.latencies.Observe(g.group.ID, 5*time.Millisecond)
	}
	return e
}

// BenchmarkCapacityPeer measures the memory of a connection to another host.
// "connected" has a QUIC connection after one exchange and includes both ends and
// the peer's listener; "listening" has the listener alone. Half of the difference is
// one end of a connection.
func BenchmarkCapacityPeer(b *testing.B) {
	t := benchRequire(b)
	authority, err := standin.NewAuthority()
	t.check(err)
	echo := func(_ context.Context, _ wire.Exchange, s *peer.Stream) {
		var req wire.SearchRequest
		if s.Receive(&req) == nil {
			_ = s.Send(&wire.SearchReply{Final: true})
		}
	}
	conf, err := authority.TLSConfig("a-0")
	t.check(err)
	listen := func() (*peer.Transport, string) {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		t.check(err)
		transport, err := peer.Listen(conn, conf, echo)
		t.check(err)
		return transport, conn.LocalAddr().String()
	}
	connect := func(from *peer.Transport, to string) {
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		s, err := from.Open(ctx, to, wire.ExchangeSearch)
		t.check(err)
		defer s.Reset()
		t.check(s.Send(&wire.SearchRequest{QueryID: "q"}))
		t.check(s.Receive(&wire.SearchReply{}))
	}
	for _, connected := range []bool{false, true} {
		b.Run(map[bool]string{false: "listening", true: "connected"}[connected], func(b *testing.B) {
			measureSlope(b, 10, 60, func(n int) (any, func()) {
				hub, _ := listen()
				peers := make([]*peer.Transport, n)
				for i := range peers {
					var address string
					peers[i], address = listen()
					if connected {
						connect(hub, address)
					}
				}
				return peers, func() {
					_ = hub.Close()
					for _, p := range peers {
						_ = p.Close()
					}
				}
			})
		})
	}
}

// BenchmarkCapacityQuery measures the memory of an open query of 40 groups whose
// branch host does not answer: the state on the entry host and both ends of the
// stream.
func BenchmarkCapacityQuery(b *testing.B) {
	t := benchRequire(b)
	authority, err := standin.NewAuthority()
	t.check(err)
	data, err := json.Marshal(costDocument(t, 40))
	t.check(err)
	tree, err := settings.Parse(data)
	t.check(err)
	asked := make(chan struct{}, 1000)
	client, own := newTestHost(t, authority, settings.Process{Name: "a-0", Place: "a"}, "127.0.0.1:9", nil)
	_, other := newTestHost(t, authority, settings.Process{Name: "b-0", Place: "b"}, "127.0.0.1:9", func(ctx context.Context, _ wire.Exchange, s *peer.Stream) {
		var req wire.SearchRequest
		_ = s.Receive(&req)
		asked <- struct{}{}
		_ = s.Receive(&wire.Cancel{})
	})
	client.local.config.current.Store(tree)
	client.setHosts(map[ordinalID]string{{"a", 0}: own, {"b", 0}: other})
	e := newEntry(client.self, client.local.config, client.directory, client)
	e.guard = client.local.guard
	tree.Targets(func(info *settings.TargetInfo) { e.versions.Observe(time.Now(), info.ID, "1", []uint64{1}) })
	policy := tree.Effective("a", "s")
	open := func(ctx context.Context, id int) {
		ctx, cancel := context.WithTimeout(ctx, eventuallyTimeout)
		defer cancel()
		g := newGather(ctx, e, tree, policy, "s", api.Meta{RequestID: fmt.Sprint("query-", id)}, &api.SearchRequest{Terms: costTerms})
		g.admitted, _ = newAdmission().admit("s", policy.Priority, policy.DeadlineDefault) // an admission shared by all queries would refuse those above its limit
		g.start()
		g.runLoop()
	}
	measureSlope(b, 20, 100, func(n int) (any, func()) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{}, n)
		for i := range n {
			go func() {
				open(ctx, i)
				ended <- struct{}{}
			}()
		}
		for range n {
			select {
			case <-asked:
			case <-ended:
				b.Fatal("a query ended before it was canceled")
			}
		}
		return e, func() {
			cancel()
			for range n {
				<-ended
			}
		}
	})
}

// BenchmarkCapacityCommand measures the memory of a finished command whose answer
// holds one record.
func BenchmarkCapacityCommand(b *testing.B) {
	measureSlope(b, 1000, 10000, func(n int) (any, func()) {
		limits := commandLimits
		limits.MaxRecords = n
		home := atmostonce.NewRegistry[wire.CommandReply]("boston-hall-0", 7, limits)
		now := time.Now()
		ticket := home.Issue(now, time.Minute).Prefix()
		for i := range n {
			id, err := atmostonce.ParseID(fmt.Sprintf("%srenewal-%06d", ticket, i))
			if err != nil || home.Begin(now, id, uint64(i), 0).Action != atmostonce.Run {
				b.Fatalf("command %d was not started: %v", i, err)
			}
			text := fmt.Sprintf("renewal %06d of the tag register v1", i)
			home.Finish(now, id, outcome.OK(), wire.CommandReply{Found: true, Version: 1, Record: &coverage.Record{ID: text[:14], Text: text}})
		}
		return home, noop
	})
}

// BenchmarkCapacityQuarantine measures the memory of a proven fingerprint with two deaths.
func BenchmarkCapacityQuarantine(b *testing.B) {
	measureSlope(b, 200, 2000, func(n int) (any, func()) {
		table, now := quarantine.NewTable(n), time.Now()
		for i := range n {
			fp := quarantine.FingerprintOf("tagdesk", []string{fmt.Sprint("term-", i)})
			for g := range 2 {
				table.RecordDeath(now, fp, quarantine.Death{Target: fmt.Sprintf("g%d-r0-%d", g, i), Group: fmt.Sprintf("g%d-%d", g, i), Canary: true}, false, time.Minute)
			}
		}
		if table.Len() != n {
			b.Fatalf("table has %d entries, want %d", table.Len(), n)
		}
		return table, noop
	})
}
