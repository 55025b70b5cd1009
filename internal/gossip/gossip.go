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
	// Beat is the time between two heartbeats.
	Beat = 500 * time.Millisecond
	// smallFleet is the number of hosts up to which each sends to all.
	smallFleet = roster.LargeFleet
	// nearFanout and farFanout are the numbers of hosts of the same place and of
	// other places that get a heartbeat in a larger fleet. Traffic between places
	// is dear, and news that reach a place spread in it.
	nearFanout = 5
	farFanout  = 1
	// passedOn bounds the states of others in a heartbeat; one takes about
	// stateBytes, and a datagram should fit a packet of 1,500.
	passedOn = 11
	// stateBytes is the usual size of a host's state.
	stateBytes = 110
	// maxNews bounds the changes in a heartbeat: some targets or routes. They take
	// the place of states of others.
	maxNews = 660
	// maxDatagram bounds what is read.
	maxDatagram = 64 << 10
)

type message struct {
	Self   roster.State   `cbor:"1,keyasint"`
	Others []roster.State `cbor:"2,keyasint"`
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
	// OnNews is called after a message from a host brought something new, with the
	// sender's own state and the changes that it told, nil if none.
	OnNews func(from roster.State, news *State)
	// News returns the latest changes of the published state, those that go back
	// furthest first. The first that is short enough is told.
	News func() []State
	// Crashes returns the crashes to tell, OnCrashes takes those that were told.
	Crashes   func() []quarantine.Crash
	OnCrashes func([]quarantine.Crash)
	Seed      uint64
}

// Gossip exchanges heartbeats. It owns the roster.
type Gossip struct {
	o     Options
	conn  *net.UDPConn
	place string

	mu       sync.Mutex
	roster   *roster.Roster
	rng      *rand.Rand
	sequence uint64
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
	g := &Gossip{o: o, conn: conn, place: self.Place, roster: roster.New(self.Name, self.Place, time.Now()),
		rng: rand.New(rand.NewPCG(o.Seed, ^o.Seed))}
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
	ticker := time.NewTicker(Beat)
	defer ticker.Stop()
	g.Send()
	for {
		select {
		case <-ticker.C:
			g.Send()
		case <-ctx.Done():
			_ = g.conn.Close()
			return
		}
	}
}

// Send sends a heartbeat now.
func (g *Gossip) Send() {
	now := time.Now()
	g.mu.Lock()
	to := g.receivers(now)
	g.mu.Unlock()
	g.sendTo(now, to)
}

// SendAll sends a heartbeat to every host that lives, for news that none should
// wait for.
func (g *Gossip) SendAll() {
	now := time.Now()
	g.mu.Lock()
	to := append([]netip.AddrPort(nil), g.seeds...)
	for _, h := range g.roster.Alive(now) {
		if ap, err := netip.ParseAddrPort(h.Gossip); err == nil {
			to = append(to, ap)
		}
	}
	g.mu.Unlock()
	g.sendTo(now, to)
}

func (g *Gossip) sendTo(now time.Time, to []netip.AddrPort) {
	m := message{News: g.news(now), Crashes: g.o.Crashes()}
	others := passedOn - (len(m.News)+stateBytes-1)/stateBytes
	g.mu.Lock()
	g.roster.Forget(now)
	g.sequence++
	m.Self, m.Others = g.o.Self(), g.roster.Sample(now, others, g.rng)
	m.Self.Sequence = g.sequence
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

// news returns the latest changes, encoded; nil if there are none or too many.
func (g *Gossip) news(now time.Time) []byte {
	for _, state := range g.o.News() {
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

// receivers returns the hosts that get the next heartbeat: all, or some at
// random, and the seeds while they are not known.
func (g *Gossip) receivers(now time.Time) []netip.AddrPort {
	alive := g.roster.Alive(now)
	known := map[netip.AddrPort]bool{}
	var near, far []netip.AddrPort
	for _, h := range alive {
		ap, err := netip.ParseAddrPort(h.Gossip)
		if err != nil {
			continue // the host cannot be told, and tells by itself
		}
		known[ap] = true
		if h.Place == g.place {
			near = append(near, ap)
		} else {
			far = append(far, ap)
		}
	}
	if len(alive) > smallFleet {
		near, far = g.some(near, nearFanout), g.some(far, farFanout)
	}
	to := append(near, far...)
	for _, seed := range g.seeds {
		if !known[seed] {
			to = append(to, seed)
		}
	}
	return to
}

// some returns at most n of the addresses, chosen at random.
func (g *Gossip) some(addresses []netip.AddrPort, n int) []netip.AddrPort {
	g.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
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
		if !met {
			g.greet(m.Self)
		}
		if news {
			g.o.OnNews(m.Self, g.told(from, m.News))
		}
	}
}

// told decodes the changes in a heartbeat. Without them the host asks its sender.
func (g *Gossip) told(from netip.AddrPort, data []byte) *State {
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

// greet answers the first heartbeat of a process, which has just started and
// knows nothing yet.
func (g *Gossip) greet(s roster.State) {
	if ap, err := netip.ParseAddrPort(s.Gossip); err == nil && s.Name != "" {
		g.sendTo(time.Now(), []netip.AddrPort{ap})
	}
}

// take reports whether a message brought news of its sender, and whether its
// sender was known before.
func (g *Gossip) take(m message) (news, met bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	m.Self.Age = 0
	met = g.roster.Met(m.Self)
	news = g.roster.Observe(now, m.Self)
	for _, s := range m.Others {
		g.roster.Observe(now, s)
	}
	return news, met
}

// With calls f with the roster while nothing else changes it.
func (g *Gossip) With(f func(*roster.Roster)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.roster)
}

// Bad returns the number of messages that could not be read.
func (g *Gossip) Bad() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bad
}
