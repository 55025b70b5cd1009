package standin

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// streamBuffer is the maximum number of segments in flight per direction.
const streamBuffer = 256

// StreamDialer returns a dialer for TCP connections from a host in a place to targets
// of any place. Connections have the connect time of the target and, between places,
// the delay of the link in both directions. Data on a blocked link between places are
// delivered once the link is no longer blocked, as TCP does. Loss is not emulated on
// streams, which favours a client measured over such connections.
func (n *Network) StreamDialer(place string) func(ctx context.Context, network, address string) (net.Conn, error) {
	dial := n.Dialer(place)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.places[address]
		n.mu.Unlock()
		if to != place {
			if err := n.handshake(ctx, place, to); err != nil {
				return nil, err
			}
		}
		conn, err := dial(ctx, network, address)
		if err != nil || to == place {
			return conn, err
		}
		return newStream(conn, n, place, to), nil
	}
}

// handshake waits for the round trip that establishes a connection.
func (n *Network) handshake(ctx context.Context, place, to string) error {
	for _, link := range [][2]string{{place, to}, {to, place}} {
		if err := n.transmit(ctx, link[0], link[1]); err != nil {
			return err
		}
	}
	return nil
}

// transmit waits for the delay of the link, repeatedly while the link is blocked.
func (n *Network) transmit(ctx context.Context, from, to string) error {
	for {
		n.mu.Lock()
		blocked := n.blocked[[2]string{from, to}]
		wait := millis(n.delayMS + n.model.JitterMS*n.rng.Float64())
		n.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		if !blocked {
			return nil
		}
	}
}

// stream delays the data of a connection. One goroutine per direction preserves the
// order; data of one write, or received by one read, are a segment with one delay.
type stream struct {
	net.Conn
	network  *Network
	from, to string
	ctx      context.Context
	cancel   context.CancelFunc
	out      chan segment
	in       chan segment
	unread   []byte // remaining data of the current segment
	readErr  error  // returned by Read once unread is empty
	once     sync.Once
}

type segment struct {
	data []byte
	sent time.Time
	err  error
}

func newStream(conn net.Conn, n *Network, from, to string) *stream {
	s := &stream{Conn: conn, network: n, from: from, to: to, out: make(chan segment, streamBuffer), in: make(chan segment, streamBuffer)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	go s.sendLoop()
	go s.receiveLoop()
	return s
}

// awaitArrival waits until a segment sent at a given time has crossed the link.
func (s *stream) awaitArrival(from, to string, sent time.Time) error {
	s.network.mu.Lock()
	blocked := s.network.blocked[[2]string{from, to}]
	wait := millis(s.network.delayMS+s.network.model.JitterMS*s.network.rng.Float64()) - time.Since(sent)
	s.network.mu.Unlock()
	if blocked {
		return s.network.transmit(s.ctx, from, to)
	}
	if wait <= 0 {
		return s.ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *stream) sendLoop() {
	for {
		select {
		case seg := <-s.out:
			if s.awaitArrival(s.from, s.to, seg.sent) != nil {
				return
			}
			if _, err := s.Conn.Write(seg.data); err != nil {
				return // Read reports that the connection is lost
			}
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *stream) receiveLoop() {
	for {
		buffer := make([]byte, 16<<10)
		n, err := s.Conn.Read(buffer)
		select {
		case s.in <- segment{data: buffer[:n], sent: time.Now(), err: err}:
		case <-s.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// Write queues a copy of the data as one segment.
func (s *stream) Write(data []byte) (int, error) {
	select {
	case s.out <- segment{data: append([]byte(nil), data...), sent: time.Now()}:
		return len(data), nil
	case <-s.ctx.Done():
		return 0, net.ErrClosed
	}
}

// Read returns data once they have crossed the link.
func (s *stream) Read(data []byte) (int, error) {
	for len(s.unread) == 0 {
		if s.readErr != nil {
			return 0, s.readErr
		}
		select {
		case seg := <-s.in:
			if s.awaitArrival(s.to, s.from, seg.sent) != nil {
				return 0, net.ErrClosed
			}
			s.unread, s.readErr = seg.data, seg.err
		case <-s.ctx.Done():
			return 0, io.ErrClosedPipe
		}
	}
	n := copy(data, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// Close closes the connection. Segments in flight are lost. The close itself is not
// delayed, so a target detects a cancelled request without the delay of the link.
func (s *stream) Close() error {
	s.once.Do(s.cancel)
	return s.Conn.Close()
}
