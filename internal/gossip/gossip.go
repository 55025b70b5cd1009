package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

const (
	// packet is what a heartbeat may take so that it is not sent in fragments.
	packet = 1400
	// stateBytes is the usual size of a host's state.
	stateBytes = 110
	// pulseBytes and crashBytes are the same of a sign of life and a crash.
	pulseBytes = 13
	crashBytes = 30
	// maxNews bounds the changes in a heartbeat: some targets or routes. They take
	// the place of states of others.
	maxNews = 660
	// maxDatagram bounds what is read.
	maxDatagram = 64 << 10
)

type message struct {
	Self   roster.State   `cbor:"1,keyasint"`
	Others []roster.State `cbor:"2,keyasint,omitempty"`
	// Pulses are signs of life of others.
	Pulses []roster.Liveness `cbor:"5,keyasint,omitempty"`
	// Crashes are targets that crashed under a request lately.
	Crashes []quarantine.Crash `cbor:"3,keyasint,omitempty"`
	// News is a stateDocument with the latest changes; they spread without a pull
	// by each host.
	News []byte `cbor:"4,keyasint,omitempty"`
}

// Options of a Gossip.
type Options struct {
	Address string   // UDP address of this host
	Port    uint16   // the port of all hosts
	Seeds   []string // addresses of hosts that may be there; only their IP counts
	Self    func() roster.State
	Log     hclog.Logger
	// OnUpdate is called after a message from a host brought something new, with the
	// sender's own state and the changes that it told, nil if none.
	OnUpdate func(from roster.State, news *Update)
	// RecentUpdates returns the latest changes of the published state, those that go back
	// furthest first. The first that is short enough is told.
	RecentUpdates func() []Update
	// Crashes returns the crashes to tell, OnCrashes takes those that were told.
	Crashes   func() []quarantine.Crash
	OnCrashes func([]quarantine.Crash)
	RandSeed  uint64
}

// Gossip exchanges heartbeats. It owns the roster.
type Gossip struct {
	o    Options
	conn *net.UDPConn

	mu       sync.Mutex
	roster   *roster.Roster
	rng      *rand.Rand
	sequence uint64
	beats    uint64
	seeds    []netip.AddrPort
	bad      int // messages that could not be read
}

// New opens the socket.
func New(o Options) (*Gossip, error) {
	addr, err := net.ResolveUDPAddr("udp4", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "gossip address")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "gossip")
	}
	self := o.Self()
	g := &Gossip{o: o, conn: conn, roster: roster.New(self.Name, self.Place, time.Now()),
		rng: rand.New(rand.NewPCG(o.RandSeed, ^o.RandSeed))}
	g.SetSeeds(o.Seeds)
	return g, nil
}

// SetSeeds replaces the seeds. Those that cannot be read are left out.
func (g *Gossip) SetSeeds(addresses []string) {
	own := g.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr().Unmap()
	var seeds []netip.AddrPort
	for _, address := range addresses {
		ap, err := netip.ParseAddrPort(address)
		switch {
		case err != nil:
			g.o.Log.Warn("a seed address is not usable", "seed", address, "error", err)
		case ap.Addr().Unmap() != own:
			seeds = append(seeds, netip.AddrPortFrom(ap.Addr(), g.o.Port))
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Run sends and receives until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	go g.receive()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			g.Send()
			timer.Reset(g.pace().Interval)
		case <-ctx.Done():
			_ = g.conn.Close()
			return
		}
	}
}

// pace returns the pace of the fleet.
func (g *Gossip) pace() roster.HeartbeatParams {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.HeartbeatParams()
}

// Send sends a heartbeat now.
func (g *Gossip) Send() {
	now := time.Now()
	g.mu.Lock()
	to := g.receivers(now)
	g.mu.Unlock()
	g.sendTo(now, to, true)
}

// Broadcast sends a heartbeat to every host that lives, for news that none should
// wait for. In a large fleet it tells of this host only: when all hosts start at
// once, each tells all.
func (g *Gossip) Broadcast() {
	now := time.Now()
	g.mu.Lock()
	to := append([]netip.AddrPort(nil), g.seeds...)
	alive := g.roster.Alive(now)
	for _, h := range alive {
		if ap, err := netip.ParseAddrPort(h.GossipAddress); err == nil {
			to = append(to, ap)
		}
	}
	g.mu.Unlock()
	g.sendTo(now, to, len(alive) <= roster.LargeFleetHosts)
}

// sendTo sends a heartbeat, with what is known of other hosts or without.
func (g *Gossip) sendTo(now time.Time, to []netip.AddrPort, others bool) {
	m := message{News: g.news(now), Crashes: g.o.Crashes()}
	g.mu.Lock()
	g.roster.Forget(now)
	g.sequence++
	m.Self = g.o.Self()
	m.Self.Sequence = g.sequence
	if others {
		m.Others, m.Pulses = g.passedOn(now, packet-stateBytes-len(m.News)-crashBytes*len(m.Crashes))
	}
	g.mu.Unlock()
	data, err := cbor.Marshal(m)
	if err != nil {
		g.o.Log.Error("a heartbeat was not encoded", "error", err)
		return
	}
	for _, addr := range to {
		// A host that is not reached is found missing by its own silence.
		_, _ = g.conn.WriteToUDPAddrPort(data, addr)
	}
}

// passedOn returns what a heartbeat with some room left tells of other hosts. The
// lock must be held.
func (g *Gossip) passedOn(now time.Time, room int) ([]roster.State, []roster.Liveness) {
	pace := g.roster.HeartbeatParams()
	states := max(0, min(pace.States, room/stateBytes))
	room -= states * stateBytes
	near := max(0, min(pace.NearLiveness, room/pulseBytes))
	room -= near * pulseBytes
	return g.roster.Sample(now, states, near, max(0, min(pace.FarLiveness, room/pulseBytes)), g.rng)
}

// news returns the latest changes, encoded; nil if there are none or too many.
func (g *Gossip) news(now time.Time) []byte {
	for _, state := range g.o.RecentUpdates() {
		data, err := state.encode(now)
		if err != nil {
			g.o.Log.Error("changes were not encoded", "error", err)
			return nil
		}
		if len(data) <= maxNews {
			return data
		}
	}
	return nil
}

// receivers returns the addresses that get the next heartbeat: those of all hosts
// or of some, and the seeds while they are not known.
func (g *Gossip) receivers(now time.Time) []netip.AddrPort {
	known := map[netip.AddrPort]bool{}
	for _, h := range g.roster.Alive(now) {
		if ap, err := netip.ParseAddrPort(h.GossipAddress); err == nil {
			known[ap] = true
		}
	}
	var to []netip.AddrPort
	g.beats++
	for _, h := range g.roster.Receivers(now, g.beats, g.rng) {
		// A host whose address cannot be read is not told, and tells by itself.
		if ap, err := netip.ParseAddrPort(h.GossipAddress); err == nil {
			to = append(to, ap)
		}
	}
	for _, seed := range g.seeds {
		if !known[seed] {
			to = append(to, seed)
		}
	}
	return to
}

func (g *Gossip) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error of an earlier send
		}
		var m message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			g.countBad(from, err)
			continue
		}
		news, met := g.take(m)
		if len(m.Crashes) > 0 {
			g.o.OnCrashes(m.Crashes)
		}
		if !met && g.awaitsGreeting(m.Self) {
			g.greet(m.Self)
		}
		if news {
			g.o.OnUpdate(m.Self, g.told(from, m.News))
		}
	}
}

// told decodes the changes in a heartbeat. Without them the host asks its sender.
func (g *Gossip) told(from netip.AddrPort, data []byte) *Update {
	if len(data) == 0 {
		return nil
	}
	state, err := decodeState(data, time.Now())
	if err != nil {
		g.countBad(from, err)
		return nil
	}
	return &state
}

func (g *Gossip) countBad(from netip.AddrPort, err error) {
	g.mu.Lock()
	g.bad++
	first := g.bad == 1
	g.mu.Unlock()
	if first {
		g.o.Log.Warn("a heartbeat could not be read; further ones are counted only", "from", from.String(), "error", err)
	}
}

// awaitsGreeting reports whether a host that was not heard of before needs an
// answer. In a large fleet one that has the published state hears of others soon
// enough; when all hosts start at once, each would greet all.
func (g *Gossip) awaitsGreeting(s roster.State) bool {
	if s.Revision == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.HeartbeatParams().NearFanout == 0
}

// greet answers the first heartbeat of a process, which has just started and
// knows nothing yet.
func (g *Gossip) greet(s roster.State) {
	if ap, err := netip.ParseAddrPort(s.GossipAddress); err == nil && s.Name != "" {
		g.sendTo(time.Now(), []netip.AddrPort{ap}, true)
	}
}

// take reports whether a message brought news of its sender, and whether its
// sender was known before.
func (g *Gossip) take(m message) (news, met bool) {
	return g.takeAt(time.Now(), m)
}

// takeAt is take at a time.
func (g *Gossip) takeAt(now time.Time, m message) (news, met bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.Self.Age = 0
	met = g.roster.HasSeen(m.Self)
	news = g.roster.Observe(now, m.Self)
	for _, s := range m.Others {
		g.roster.Observe(now, s)
	}
	for _, p := range m.Pulses {
		g.roster.ObserveLiveness(now, p)
	}
	return news, met
}

// WithRoster calls f with the roster while nothing else changes it.
func (g *Gossip) WithRoster(f func(*roster.Roster)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.roster)
}

// DecodeErrors returns the number of messages that could not be read.
func (g *Gossip) DecodeErrors() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bad
}
