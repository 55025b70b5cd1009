package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// controlFleet is a fleet of daemons without running targets, for tests of the control plane.
type controlFleet struct {
	t         testing.TB
	platform  *standin.Platform
	network   *standin.Network
	authority *standin.Authority
	applied   versionRecorder
	datagrams atomic.Int64 // sent
	bytes     atomic.Int64 // sent, with IP and UDP headers

	mu     sync.Mutex
	doc    settings.Document
	list   platform.HostList
	hosts  map[ordinalID]*controlHost
	starts int // for host names; counts the started hosts

	externalHosts []platform.Host // listed hosts that run in other processes
}

type controlHost struct {
	entry  platform.Host
	daemon *Daemon
	stop   func()
}

// newDocument returns a configuration with host ordinals spread over places, and with
// three targets per group in different places.
func newDocument(places, hosts, groups int) settings.Document {
	doc := settings.Document{Version: 1, DesignatedLevel: settings.LevelPlace, Places: map[string]settings.Place{}, Services: map[string]settings.Service{}}
	for p := range places {
		doc.Places[placeName(p)] = settings.Place{State: settings.PlaceIn, Hosts: hosts/places + min(1, max(0, hosts%places-p))}
	}
	service := settings.Service{Kind: settings.KindSearch, PartitionEpoch: 1}
	for g := range groups {
		group := settings.Group{ID: fmt.Sprintf("tags-g%04d", g), Range: keyspace.Range{
			From: keyspace.Size * uint64(g) / uint64(groups), To: keyspace.Size * uint64(g+1) / uint64(groups)}}
		for r := range 3 {
			group.Targets = append(group.Targets, settings.Target{
				ID: fmt.Sprintf("%s-r%d", group.ID, r), Place: placeName((g + r) % places),
				Address: fmt.Sprintf("127.1.%d.%d:9%03d", g/256, g%256, r), Slots: 4, Connections: 36})
		}
		service.Groups = append(service.Groups, group)
	}
	doc.Services["tags"] = service
	return doc
}

func placeName(p int) string { return fmt.Sprintf("place-%02d", p) }

func newControlFleet(t testing.TB, doc settings.Document) *controlFleet {
	s := &controlFleet{t: t, doc: doc, hosts: map[ordinalID]*controlHost{},
		network: standin.NewNetwork(&standin.Model{Seed: 1, OneWayDelayMS: 4, JitterMS: 1, Loss: 0.001})}
	s.applied.highest = map[ordinalID]appliedVersion{}
	var err error
	if s.platform, err = standin.NewPlatform(); err != nil {
		t.Fatal(err)
	}
	if s.authority, err = standin.NewAuthority(); err != nil {
		t.Fatal(err)
	}
	s.publish(func(*settings.Document) {})
	t.Cleanup(func() {
		var wg sync.WaitGroup
		for _, h := range s.hosts {
			wg.Go(h.stop)
		}
		wg.Wait()
		s.platform.Close()
	})
	return s
}

// startAll starts a host for every ordinal and waits until all are ready.
func (s *controlFleet) startAll() {
	for place, p := range s.doc.Places {
		for ordinal := range p.Hosts {
			s.start(ordinalID{place, ordinal})
		}
	}
	s.publishHosts()
	for _, h := range s.hosts {
		s.waitUntil(30*time.Second, "host "+h.entry.Name+" serves", func() bool {
			select {
			case <-h.daemon.Ready():
				return true
			default:
				return false
			}
		})
	}
}

// start starts a host without state under a new name; publishHosts lists it.
func (s *controlFleet) start(at ordinalID) *controlHost {
	s.mu.Lock()
	s.starts++
	name := fmt.Sprintf("%s-%d-%d", at.place, at.ordinal, s.starts)
	s.mu.Unlock()
	return s.startAs(at, name, "127.0.0.1:0")
}

// startAs starts a host without state with a name and an address for peers.
func (s *controlFleet) startAs(at ordinalID, name, peers string) *controlHost {
	socket, err := net.ListenPacket("udp", peers)
	if err != nil {
		s.t.Fatal(err)
	}
	address := socket.LocalAddr().String()
	s.network.Register(address, at.place, 0)
	conf, err := s.authority.TLSConfig(name)
	if err != nil {
		s.t.Fatal(err)
	}
	process := &settings.Process{Name: name, Place: at.place, Ordinal: at.ordinal,
		Listen: settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: address},
		Platform: settings.Platform{
			ConfigURL: s.platform.ReaderURL(readerName(at), "config"), HostsURL: s.platform.ReaderURL("list", "hosts")}}
	d, err := New(Options{Process: process, TLS: conf, Logger: hclog.NewNullLogger(),
		ListenPacket: func(string) (net.PacketConn, error) {
			return &countingConn{PacketConn: s.network.PacketConn(socket, at.place), fleet: s}, nil
		}})
	if err != nil {
		s.t.Fatal(err)
	}
	previous := d.config.onInForce
	d.config.onInForce = func(version uint64) {
		s.applied.record(at, appliedVersion{version, d.config.tree().Digest})
		previous(version)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = d.Run(ctx) }()
	h := &controlHost{daemon: d, stop: func() { d.Abort(); cancel(); <-done },
		entry: platform.Host{Name: name, Place: at.place, Ordinal: at.ordinal, State: platform.HostLive, Callers: "127.0.0.1:1", Peers: address}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[at] = h
	return h
}

// readerName returns the name under which a host reads from the stand-in platform.
func readerName(at ordinalID) string { return fmt.Sprintf("%s-%d", at.place, at.ordinal) }

// publish changes the configuration and publishes it with the next version.
func (s *controlFleet) publish(change func(*settings.Document)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.doc)
	data, err := json.Marshal(&s.doc)
	if err != nil {
		s.t.Fatal(err)
	}
	s.platform.Publish("config", s.doc.Version, data)
	s.doc.Version++
}

// publishHosts publishes a host list with all present hosts.
func (s *controlFleet) publishHosts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = platform.HostList{Version: s.list.Version + 1, Hosts: append([]platform.Host(nil), s.externalHosts...)}
	for _, h := range s.hosts {
		s.list.Hosts = append(s.list.Hosts, h.entry)
	}
	if err := s.platform.PublishJSON("hosts", s.list.Version, &s.list); err != nil {
		s.t.Fatal(err)
	}
}

// waitUntil waits for a condition, and fails the test if it does not hold within limit.
func (s *controlFleet) waitUntil(limit time.Duration, what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			logged := 0
			for _, h := range s.hosts {
				if logged++; logged <= 8 {
					s.t.Logf("%+v", h.daemon.Status())
				}
			}
			s.t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

// inForce reports whether a configuration version is in force on every host.
func (s *controlFleet) inForce(version uint64) bool {
	for _, h := range s.hosts {
		if tree := h.daemon.config.tree(); tree == nil || tree.Doc.Version != version {
			return false
		}
	}
	return true
}

// setPartition drops all datagrams between the hosts in inA and the others, or ends the partition.
func (s *controlFleet) setPartition(partitioned bool, inA func(ordinalID) bool) {
	for a, ha := range s.hosts {
		for b, hb := range s.hosts {
			if inA(a) != inA(b) {
				s.network.SetBlocked(ha.entry.Peers, hb.entry.Peers, partitioned)
			}
		}
	}
}

type appliedVersion struct{ version, digest uint64 }

// versionRecorder records each change of configuration by which a host reverts to an
// older version, or to a document with a lower digest of the same version.
type versionRecorder struct {
	mu      sync.Mutex
	highest map[ordinalID]appliedVersion
	reverts []string
}

func (r *versionRecorder) record(at ordinalID, p appliedVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.highest[at]
	if p.version < h.version || p.version == h.version && p.digest < h.digest {
		r.reverts = append(r.reverts, fmt.Sprintf("%v went from version %d to %d", at, h.version, p.version))
		return
	}
	r.highest[at] = p
}

// countingConn counts the datagrams and bytes that a host sends.
type countingConn struct {
	net.PacketConn
	fleet *controlFleet
}

func (c *countingConn) WriteTo(data []byte, to net.Addr) (int, error) {
	const headers = 28 // IPv4 and UDP
	c.fleet.datagrams.Add(1)
	c.fleet.bytes.Add(int64(len(data) + headers))
	return c.PacketConn.WriteTo(data, to)
}

func (c *countingConn) SetReadBuffer(bytes int) error {
	return c.PacketConn.(interface{ SetReadBuffer(int) error }).SetReadBuffer(bytes)
}

func (c *countingConn) SetWriteBuffer(bytes int) error {
	return c.PacketConn.(interface{ SetWriteBuffer(int) error }).SetWriteBuffer(bytes)
}
