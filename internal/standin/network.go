package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Network emulates the links between places on loopback: delay, jitter and
// loss on the datagrams between hosts, and the connect time of targets.
type Network struct {
	model *Model

	mu      sync.Mutex
	rng     *rand.Rand
	places  map[string]string        // place of an address
	connect map[string]time.Duration // connect time of a target's address
	cuts    map[[2]string]bool       // addresses or places that cannot send to each other, one way
	delayMS float64
	loss    float64
}

// NewNetwork returns links with the delays of a model.
func NewNetwork(model *Model) *Network {
	return &Network{
		model: model, rng: rand.New(rand.NewPCG(model.Seed, 1)),
		places: map[string]string{}, connect: map[string]time.Duration{}, cuts: map[[2]string]bool{},
		delayMS: model.OneWayDelayMS, loss: model.Loss,
	}
}

// SetLinks changes the links between places: the delay one way in milliseconds
// and the fraction of datagrams that are lost, 0 to 1.
func (n *Network) SetLinks(oneWayMS, loss float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delayMS, n.loss = oneWayMS, loss
}

// SetBlocked drops every datagram from one end to another, or lets them pass again.
// An end is a place or the peer address of one host; cut both directions for a
// full partition.
func (n *Network) SetBlocked(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = cut
}

// Register says in which place an address is and how long a connection to it
// takes to open.
func (n *Network) Register(address, place string, connect time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = place
	n.connect[address] = connect
}

// PacketConn wraps a socket of a host in a place.
func (n *Network) PacketConn(conn net.PacketConn, place string) net.PacketConn {
	return &delayedConn{PacketConn: conn, network: n, place: place}
}

// Dialer returns a dialer for a host in a place.
func (n *Network) Dialer(place string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		wait := n.connect[address]
		n.mu.Unlock()
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
}

// transit draws the delay of a datagram, or its loss.
func (n *Network) transit(place, from, to string) (delay time.Duration, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	toPlace, known := n.places[to]
	for _, a := range []string{place, from} {
		for _, b := range []string{toPlace, to} {
			if n.cuts[[2]string{a, b}] {
				return 0, true
			}
		}
	}
	if !known || toPlace == place {
		return 0, false
	}
	if n.rng.Float64() < n.loss {
		return 0, true
	}
	return millis(n.delayMS + n.model.JitterMS*n.rng.Float64()), false
}

// delayedConn delays and drops what is sent. It hides the UDP connection's
// other methods, because the QUIC library would bypass WriteTo with them.
type delayedConn struct {
	net.PacketConn
	network *Network
	place   string
}

// WriteTo sends a datagram after the delay of the link.
func (c *delayedConn) WriteTo(data []byte, addr net.Addr) (int, error) {
	delay, lost := c.network.transit(c.place, c.LocalAddr().String(), addr.String())
	if lost {
		return len(data), nil
	}
	if delay == 0 {
		return c.PacketConn.WriteTo(data, addr)
	}
	held := append([]byte(nil), data...)
	time.AfterFunc(delay, func() { _, _ = c.PacketConn.WriteTo(held, addr) })
	return len(data), nil
}

// SetReadBuffer enlarges the receive buffer; the QUIC library asks for it.
func (c *delayedConn) SetReadBuffer(bytes int) error {
	return c.PacketConn.(*net.UDPConn).SetReadBuffer(bytes)
}

// SetWriteBuffer enlarges the send buffer; the QUIC library asks for it.
func (c *delayedConn) SetWriteBuffer(bytes int) error {
	return c.PacketConn.(*net.UDPConn).SetWriteBuffer(bytes)
}
