package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Network emulates the links between places on loopback: delay, jitter and loss of
// the datagrams between hosts, the delay of streams to targets, and the connect time
// of targets. It is safe for concurrent use.
type Network struct {
	model *Model

	mu      sync.Mutex
	rng     *rand.Rand
	places  map[string]string        // place by address
	connect map[string]time.Duration // connect time by target address
	blocked map[[2]string]bool       // by sender and receiver, each an address or a place
	delayMS float64                  // one way
	loss    float64                  // fraction of datagrams, 0 to 1
}

// NewNetwork returns a network with the delay, jitter and loss of a model.
func NewNetwork(model *Model) *Network {
	return &Network{
		model: model, rng: rand.New(rand.NewPCG(model.Seed, 1)),
		places: map[string]string{}, connect: map[string]time.Duration{}, blocked: map[[2]string]bool{},
		delayMS: model.OneWayDelayMS, loss: model.Loss,
	}
}

// SetLinks sets the one-way delay between places in milliseconds and the fraction of
// datagrams that are lost between places, 0 to 1.
func (n *Network) SetLinks(oneWayMS, loss float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delayMS, n.loss = oneWayMS, loss
}

// SetBlocked blocks one direction between two endpoints, or unblocks it. Datagrams on a
// blocked link are dropped. An endpoint is a place or the peer address of one host;
// streams are held back only on a link between two places. A full partition needs both
// directions blocked.
func (n *Network) SetBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{from, to}] = blocked
}

// Register sets the place and the connect time of an address.
func (n *Network) Register(address, place string, connect time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = place
	n.connect[address] = connect
}

// PacketConn wraps the UDP socket of a host in a place, so that its datagrams are
// delayed, lost and blocked as the links require.
func (n *Network) PacketConn(conn net.PacketConn, place string) net.PacketConn {
	return &delayedConn{PacketConn: conn, network: n, place: place}
}

// Dialer returns a dialer that applies the connect time of the dialed address, from
// whatever place: it ignores place and adds no delay between places. StreamDialer does.
func (n *Network) Dialer(place string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		connectTime := n.connect[address]
		n.mu.Unlock()
		timer := time.NewTimer(connectTime)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
}

// drawDelay returns a random delay of a datagram, or reports that the datagram is lost:
// always on a blocked link, otherwise at random. On a link that is not blocked, a datagram
// within a place or to an unregistered address has no delay and is not lost. place is the
// place of the sender.
func (n *Network) drawDelay(place, from, to string) (delay time.Duration, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	toPlace, registered := n.places[to]
	for _, a := range []string{place, from} {
		for _, b := range []string{toPlace, to} {
			if n.blocked[[2]string{a, b}] {
				return 0, true
			}
		}
	}
	if !registered || toPlace == place {
		return 0, false
	}
	if n.rng.Float64() < n.loss {
		return 0, true
	}
	return millis(n.delayMS + n.model.JitterMS*n.rng.Float64()), false
}

// delayedConn delays and drops the datagrams that are sent. It hides the other methods
// of the UDP connection, because the QUIC library would use them to bypass WriteTo.
type delayedConn struct {
	net.PacketConn
	network *Network
	place   string
}

// WriteTo sends a datagram after the delay of the link. A lost datagram is reported as
// sent.
func (c *delayedConn) WriteTo(data []byte, addr net.Addr) (int, error) {
	delay, lost := c.network.drawDelay(c.place, c.LocalAddr().String(), addr.String())
	if lost {
		return len(data), nil
	}
	if delay == 0 {
		return c.PacketConn.WriteTo(data, addr)
	}
	queued := append([]byte(nil), data...)
	time.AfterFunc(delay, func() { _, _ = c.PacketConn.WriteTo(queued, addr) })
	return len(data), nil
}

// SetReadBuffer sets the size of the receive buffer in bytes. The QUIC library calls
// it.
func (c *delayedConn) SetReadBuffer(bytes int) error {
	return c.PacketConn.(*net.UDPConn).SetReadBuffer(bytes)
}

// SetWriteBuffer sets the size of the send buffer in bytes. The QUIC library calls it.
func (c *delayedConn) SetWriteBuffer(bytes int) error {
	return c.PacketConn.(*net.UDPConn).SetWriteBuffer(bytes)
}
