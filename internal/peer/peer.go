// Package peer carries streams between hosts over QUIC with mutual TLS 1.3.
//
// One connection per peer is kept open and shared. A connection that goes
// silent is given up after maxIdle, because keep-alives are sent more often;
// the next stream then opens a new one.
package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/quic-go/quic-go"
)

const (
	// protocol is the ALPN identifier; another version of the messages gets another one.
	protocol = "lacewingyard/1"
	// ServerName is the DNS name in every host's certificate. Hosts are
	// reached by IP address, so the name says "is a host", not which one.
	ServerName = "lacewingyard.host"

	keepAlive      = 250 * time.Millisecond
	maxIdle        = time.Second // a silent connection holds up a query for at most this long
	handshakeLimit = 2 * time.Second

	// Connections for control messages carry a heartbeat a second and need no
	// keep-alives, which would cost more than the heartbeats.
	maxControlIdle = 5 * time.Second
	maxStreams     = 10000 // open streams per connection; one per query in progress
)

// Errors by which the stream's application closes it.
const (
	codeDone     quic.ApplicationErrorCode = 0
	codeCanceled quic.StreamErrorCode      = 1
)

// Handler serves one stream that a peer opened. The stream is closed when it returns.
type Handler func(ctx context.Context, exchange wire.Exchange, s *Stream)

// Transport opens and accepts streams.
type Transport struct {
	quic     *quic.Transport
	listener *quic.Listener
	tls      *tls.Config
	handler  Handler
	dialing  context.Context
	stop     context.CancelFunc

	mu     sync.Mutex
	conns  map[connKey]*outgoing
	closed bool // no dial starts any more
	wg     sync.WaitGroup
}

// connKey names a connection to a peer; control messages have their own.
type connKey struct {
	address string
	control bool
}

// outgoing is a connection to one peer; done is closed when dialing ended.
type outgoing struct {
	done  chan struct{}
	again bool // an earlier connection ended, or could not be opened
	conn  *quic.Conn
	err   error
}

// Listen starts a transport on an open packet connection, which it owns from
// then on. The TLS configuration comes from Keys.
func Listen(conn net.PacketConn, conf *tls.Config, handler Handler) (*Transport, error) {
	conf = conf.Clone()
	conf.NextProtos = []string{protocol}
	t := &Transport{quic: &quic.Transport{Conn: conn}, tls: conf, handler: handler, conns: map[connKey]*outgoing{}}
	t.dialing, t.stop = context.WithCancel(context.Background())
	// The side that dialed keeps a connection alive and sets its idle limit.
	listener, err := t.quic.Listen(conf, quicConfig(0, maxControlIdle))
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	t.listener = listener
	t.wg.Go(t.accept)
	return t, nil
}

func quicConfig(alive, idle time.Duration) *quic.Config {
	return &quic.Config{
		KeepAlivePeriod:      alive,
		MaxIdleTimeout:       idle,
		HandshakeIdleTimeout: handshakeLimit,
		MaxIncomingStreams:   maxStreams,
	}
}

// Close closes all connections and waits for the handlers.
func (t *Transport) Close() error {
	t.stop()
	err := t.listener.Close()
	t.mu.Lock()
	t.closed = true
	for _, out := range t.conns {
		select {
		case <-out.done:
			if out.conn != nil {
				_ = out.conn.CloseWithError(codeDone, "shutdown")
			}
		default: // the dial context was canceled above
		}
	}
	t.mu.Unlock()
	// Incoming connections end with the transport, and their handlers with them.
	closeErr := t.quic.Close()
	t.wg.Wait()
	return errors.CombineErrors(err, errors.CombineErrors(closeErr, t.quic.Conn.Close()))
}

func (t *Transport) accept() {
	for {
		conn, err := t.listener.Accept(t.dialing)
		if err != nil {
			return
		}
		t.wg.Go(func() { t.serve(conn) })
	}
}

func (t *Transport) serve(conn *quic.Conn) {
	for {
		s, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		t.wg.Go(func() { t.serveStream(s) })
	}
}

func (t *Transport) serveStream(qs *quic.Stream) {
	s := &Stream{qs: qs}
	var first [1]byte
	if _, err := io.ReadFull(qs, first[:]); err != nil {
		s.Reset()
		return
	}
	ctx, cancel := context.WithCancel(qs.Context())
	defer cancel()
	t.handler(ctx, wire.Exchange(first[0]), s)
	_ = qs.Close()
	qs.CancelRead(codeCanceled)
}

// Open opens a stream to the peer at an IP and port. It dials if there is no
// live connection. An error means that nothing reached the peer.
func (t *Transport) Open(ctx context.Context, address string, exchange wire.Exchange) (*Stream, error) {
	return t.open(ctx, connKey{address: address}, exchange)
}

// OpenControl opens a stream for a control message. A silent path is noticed by
// the caller, who then calls CloseControl.
func (t *Transport) OpenControl(ctx context.Context, address string, exchange wire.Exchange) (*Stream, error) {
	return t.open(ctx, connKey{address, true}, exchange)
}

// CloseControl gives up the connection for control messages to a peer; the next
// stream opens a new one.
func (t *Transport) CloseControl(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, ok := t.conns[connKey{address, true}]
	if !ok {
		return
	}
	select {
	case <-out.done:
		delete(t.conns, connKey{address, true})
		if out.conn != nil {
			_ = out.conn.CloseWithError(codeDone, "no answer")
		}
	default: // still dialing
	}
}

func (t *Transport) open(ctx context.Context, key connKey, exchange wire.Exchange) (*Stream, error) {
	address := key.address
	conn, err := t.connect(ctx, key)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to peer %s", address)
	}
	qs, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrapf(err, "open stream to peer %s", address)
	}
	return &Stream{qs: qs, first: []byte{byte(exchange)}}, nil
}

// connect returns the live connection to a peer; one caller dials, the others wait.
func (t *Transport) connect(ctx context.Context, key connKey) (*quic.Conn, error) {
	t.mu.Lock()
	if t.closed { // Close no longer waits for another dial
		t.mu.Unlock()
		return nil, net.ErrClosed
	}
	out, ok := t.conns[key]
	if !ok || out.dead() {
		out = t.startDial(key)
	}
	t.mu.Unlock()
	select {
	case <-out.done:
		return out.conn, out.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Connected reports whether a connection to a peer is open. If there is none, it
// starts to open one.
func (t *Transport) Connected(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := connKey{address, false}
	out, ok := t.conns[key]
	if !t.closed && (!ok || out.dead()) {
		t.startDial(key)
		return false
	}
	if !ok {
		return false
	}
	select {
	case <-out.done:
		return out.err == nil
	default:
		return false
	}
}

// Lost reports whether the connection to a peer has ended, or could not be
// opened, and no other has been opened since. It then tries to open one. A peer
// that goes silent is lost after maxIdle, long before heartbeats are missed.
func (t *Transport) Lost(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := connKey{address, false}
	out, ok := t.conns[key]
	if !ok || t.closed {
		return false
	}
	if out.dead() {
		t.startDial(key)
		return true
	}
	select {
	case <-out.done:
		return false
	default:
		return out.again
	}
}

// startDial opens a connection in the background. The caller holds t.mu.
func (t *Transport) startDial(key connKey) *outgoing {
	_, again := t.conns[key]
	out := &outgoing{done: make(chan struct{}), again: again}
	t.conns[key] = out
	t.wg.Go(func() { t.dial(key, out) })
	return out
}

func (t *Transport) dial(key connKey, out *outgoing) {
	defer close(out.done)
	addr, err := net.ResolveUDPAddr("udp", key.address)
	if err != nil {
		out.err = err
		return
	}
	ctx, cancel := context.WithTimeout(t.dialing, handshakeLimit)
	defer cancel()
	conf := quicConfig(keepAlive, maxIdle)
	if key.control {
		conf = quicConfig(0, maxControlIdle)
	}
	out.conn, out.err = t.quic.Dial(ctx, addr, t.tls, conf)
}

// dead reports whether the connection failed or has ended.
func (o *outgoing) dead() bool {
	select {
	case <-o.done:
		return o.err != nil || o.conn.Context().Err() != nil
	default:
		return false
	}
}

// Stream is one exchange with a peer. Sending and receiving may run
// concurrently; neither may run twice at the same time.
type Stream struct {
	qs    *quic.Stream
	first []byte // names the exchange; it goes out with the first message, in one datagram
}

// Send writes one message.
func (s *Stream) Send(message any) error { return wire.Write((*firstWriter)(s), message) }

// firstWriter puts the name of the exchange before the first message.
type firstWriter Stream

func (w *firstWriter) Write(data []byte) (int, error) {
	if len(w.first) == 0 {
		return w.qs.Write(data)
	}
	n, err := w.qs.Write(append(w.first, data...))
	n, w.first = max(0, n-len(w.first)), nil
	return n, err
}

// Receive reads one message. It returns io.EOF after the peer's last one.
func (s *Stream) Receive(message any) error { return wire.Read(s.qs, message) }

// CloseSend tells the peer that no message follows.
func (s *Stream) CloseSend() error { return s.qs.Close() }

// Reset aborts both directions; the peer's handler sees its context end.
func (s *Stream) Reset() {
	s.qs.CancelWrite(codeCanceled)
	s.qs.CancelRead(codeCanceled)
}
