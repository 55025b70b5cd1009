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
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

const (
	// Beat is the time between two heartbeats.
	Beat = 500 * time.Millisecond
	// smallFleet is the number of hosts up to which each sends to all.
	smallFleet = 16
	// fanout is the number of hosts that get a heartbeat in a larger fleet.
	fanout = 5
	// passedOn bounds the states of others in a heartbeat; one takes about 110
	// bytes, and a datagram should fit a packet of 1,500.
	passedOn = 9
	// maxDatagram bounds what is read.
	maxDatagram = 64 << 10
)

type message struct {
	Self   roster.State   `cbor:"1,keyasint"`
	Others []roster.State `cbor:"2,keyasint"`
}

// Options of a Gossip.
type Options struct {
	Address string   // UDP address of this host
	Port    uint16   // the port of all hosts
	Seeds   []string // addresses of hosts that may be there; only their IP counts
	Self    func() roster.State
	Log     hclog.Logger
	// OnNews is called after a message from a host brought something new, with the
	// sender's own state.
	OnNews func(from roster.State)
	Seed   uint64
}

// Gossip exchanges heartbeats. It owns the roster.
type Gossip struct {
	o    Options
	conn *net.UDPConn

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
	g := &Gossip{o: o, conn: conn, roster: roster.New(self.Name, self.Place, time.Now()),
		rng: rand.New(rand.NewPCG(o.Seed, ^o.Seed))}
	for _, seed := range o.Seeds {
		if ap, err := netip.ParseAddrPort(seed); err == nil && ap.Addr() != addr.AddrPort().Addr() {
			g.seeds = append(g.seeds, netip.AddrPortFrom(ap.Addr(), o.Port))
		} else if err != nil {
			o.Log.Warn("a seed address is not usable", "seed", seed, "error", err)
		}
	}
	return g, nil
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
	g.roster.Forget(now)
	g.sequence++
	m := message{Self: g.o.Self(), Others: g.roster.Sample(now, passedOn, g.rng)}
	m.Self.Sequence = g.sequence
	to := g.receivers(now)
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

// receivers returns the hosts that get the next heartbeat: all, or some at
// random, and the seeds while they are not known.
func (g *Gossip) receivers(now time.Time) []netip.AddrPort {
	alive := g.roster.Alive(now)
	if len(alive) > smallFleet {
		g.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
		alive = alive[:fanout]
	}
	to := make([]netip.AddrPort, 0, len(alive)+len(g.seeds))
	known := map[netip.AddrPort]bool{}
	for _, h := range alive {
		if ap, err := netip.ParseAddrPort(h.Gossip); err == nil {
			to = append(to, ap)
			known[ap] = true
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
		if g.take(m) {
			g.o.OnNews(m.Self)
		}
	}
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

func (g *Gossip) take(m message) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	m.Self.Age = 0
	news := g.roster.Observe(now, m.Self)
	for _, s := range m.Others {
		g.roster.Observe(now, s)
	}
	return news
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
