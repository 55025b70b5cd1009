package standin

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// streamBuffer is the number of writes that may be on the way.
const streamBuffer = 256

// StreamDialer returns a dialer for TCP connections from a host in a place to
// targets of any place: with the connect time of the target and, between
// places, the delay of the link in both directions. A cut between places holds
// data back until the link works again, as TCP does. Loss is not emulated on
// streams; a client over such connections is therefore measured in its favour.
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

// handshake waits for the round trip that opens a connection.
func (n *Network) handshake(ctx context.Context, place, to string) error {
	for _, way := range [][2]string{{place, to}, {to, place}} {
		if err := n.cross(ctx, way[0], way[1]); err != nil {
			return err
		}
	}
	return nil
}

// cross waits until a segment has crossed the link.
func (n *Network) cross(ctx context.Context, from, to string) error {
	for {
		n.mu.Lock()
		cut := n.cuts[[2]string{from, to}]
		wait := millis(n.delayMS + n.model.JitterMS*n.rng.Float64())
		n.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		if !cut {
			return nil
		}
	}
}

// stream delays what is written and read. One goroutine per direction keeps
// the order; data that are sent together share one delay.
type stream struct {
	net.Conn
	network  *Network
	from, to string
	ctx      context.Context
	cancel   context.CancelFunc
	out      chan segment
	in       chan segment
	rest     []byte // of the segment being read
	inErr    error
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

// due waits until a segment that was sent at a time has crossed the link.
func (s *stream) due(from, to string, sent time.Time) error {
	s.network.mu.Lock()
	cut := s.network.cuts[[2]string{from, to}]
	wait := millis(s.network.delayMS+s.network.model.JitterMS*s.network.rng.Float64()) - time.Since(sent)
	s.network.mu.Unlock()
	if cut {
		return s.network.cross(s.ctx, from, to)
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
			if s.due(s.from, s.to, seg.sent) != nil {
				return
			}
			if _, err := s.Conn.Write(seg.data); err != nil {
				return // the reading side reports the loss
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

// Write queues a copy of the data.
func (s *stream) Write(data []byte) (int, error) {
	select {
	case s.out <- segment{data: append([]byte(nil), data...), sent: time.Now()}:
		return len(data), nil
	case <-s.ctx.Done():
		return 0, net.ErrClosed
	}
}

// Read returns data that have crossed the link.
func (s *stream) Read(data []byte) (int, error) {
	for len(s.rest) == 0 {
		if s.inErr != nil {
			return 0, s.inErr
		}
		select {
		case seg := <-s.in:
			if s.due(s.to, s.from, seg.sent) != nil {
				return 0, net.ErrClosed
			}
			s.rest, s.inErr = seg.data, seg.err
		case <-s.ctx.Done():
			return 0, io.ErrClosedPipe
		}
	}
	n := copy(data, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// Close closes the connection. Data on the way are lost; a cancelled request
// is noticed by the target at once, without the delay of the link.
func (s *stream) Close() error {
	s.once.Do(s.cancel)
	return s.Conn.Close()
}
