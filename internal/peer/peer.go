// Package peer opens and accepts streams between hosts over QUIC with mutual
// TLS 1.3.
//
// The package owns the connections and the credentials. It keeps one connection per
// peer open for queries and one for control messages. Connections for queries send
// keep-alives more often than idleTimeout, so such a connection without traffic for
// idleTimeout has failed; the next stream then opens a new connection. The package does
// not decide to which peers a host connects, what an exchange contains, or whether an
// exchange is repeated. Transport and Credentials are safe for concurrent use.
package peer

import (
	"context"
	"crypto/tls"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/quic-go/quic-go"
)

const (
	// protocol is the ALPN identifier; it changes with the version of the messages.
	protocol = "lacewingyard/1"
	// ServerName is the DNS name in every host's certificate. Hosts are connected
	// to by IP address, so the name identifies the role and not one host.
	ServerName = "lacewingyard.host"

	keepAlivePeriod  = 250 * time.Millisecond
	idleTimeout      = time.Second // limits how long a failed connection delays a query
	handshakeTimeout = 2 * time.Second

	// Connections for control messages carry a heartbeat per second and use no
	// keep-alives, which would cost more than the heartbeats.
	controlIdleTimeout = 5 * time.Second
	maxStreams         = 10000 // open streams per connection; one per query in progress
)

// Application error codes of closed connections and canceled streams.
const (
	codeDone     quic.ApplicationErrorCode = 0
	codeCanceled quic.StreamErrorCode      = 1
)

// Handler serves one stream that a peer opened. The stream is closed when the handler
// returns. The context ends with the stream or its connection.
type Handler func(ctx context.Context, exchange wire.Exchange, s *Stream)

// Transport opens and accepts streams.
type Transport struct {
	quic        *quic.Transport
	listener    *quic.Listener
	tls         *tls.Config
	handler     Handler
	dialCtx     context.Context
	cancelDials context.CancelFunc

	mu     sync.Mutex
	conns  map[connKey]*clientConn
	served map[*quic.Conn]bool // connections that peers opened
	closed bool                // no further dial may start
	wg     sync.WaitGroup
}

// connKey identifies a connection to a peer. Control messages have a connection of
// their own.
type connKey struct {
	address string
	control bool
}

// clientConn is an outgoing connection to one peer. dialed is closed when the dial has
// succeeded or failed; conn and err are valid from then on.
type clientConn struct {
	dialed chan struct{}
	redial bool // replaces a connection that ended or could not be opened
	conn   *quic.Conn
	err    error
}

// Listen starts a transport on an open packet connection and takes ownership of the
// packet connection. The TLS configuration is that of Credentials.TLSConfig.
func Listen(conn net.PacketConn, conf *tls.Config, handler Handler) (*Transport, error) {
	conf = conf.Clone()
	conf.NextProtos = []string{protocol}
	t := &Transport{quic: &quic.Transport{Conn: conn}, tls: conf, handler: handler, conns: map[connKey]*clientConn{}, served: map[*quic.Conn]bool{}}
	t.dialCtx, t.cancelDials = context.WithCancel(context.Background())
	// The dialing side sends keep-alives and sets the idle timeout, as the lower of
	// both sides' timeouts applies.
	listener, err := t.quic.Listen(conf, quicConfig(0, controlIdleTimeout))
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
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}

// Close closes all connections and waits for the handlers.
func (t *Transport) Close() error {
	t.cancelDials()
	err := t.listener.Close()
	t.mu.Lock()
	t.closed = true
	for _, out := range t.conns {
		select {
		case <-out.dialed:
			if out.conn != nil {
				_ = out.conn.CloseWithError(codeDone, "shutdown")
			}
		default: // still dialing; the dial context was canceled above
		}
	}
	served := slices.Collect(maps.Keys(t.served))
	t.mu.Unlock()
	// Closing the QUIC transport ends these connections without a message to the peers, which
	// would send requests until their idle timeout.
	for _, conn := range served {
		_ = conn.CloseWithError(codeDone, "shutdown")
	}
	closeErr := t.quic.Close()
	t.wg.Wait()
	return errors.CombineErrors(err, errors.CombineErrors(closeErr, t.quic.Conn.Close()))
}

func (t *Transport) accept() {
	for {
		conn, err := t.listener.Accept(t.dialCtx)
		if err != nil {
			return
		}
		t.wg.Go(func() { t.serve(conn) })
	}
}

func (t *Transport) serve(conn *quic.Conn) {
	t.mu.Lock()
	t.served[conn] = true
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.served, conn)
	}()
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
	var exchange [1]byte
	if _, err := io.ReadFull(qs, exchange[:]); err != nil {
		s.Reset()
		return
	}
	ctx, cancel := context.WithCancel(qs.Context())
	defer cancel()
	t.handler(ctx, wire.Exchange(exchange[0]), s)
	_ = qs.Close()
	qs.CancelRead(codeCanceled)
}

// Open opens a stream to the peer at an IP address and port. It dials if no connection
// is open. After an error, nothing of the exchange was sent to the peer.
func (t *Transport) Open(ctx context.Context, address string, exchange wire.Exchange) (*Stream, error) {
	return t.open(ctx, connKey{address: address}, exchange)
}

// OpenControl opens a stream for a control message. The caller detects that the peer
// does not answer and then calls CloseControl, because the connection has no
// keep-alives.
func (t *Transport) OpenControl(ctx context.Context, address string, exchange wire.Exchange) (*Stream, error) {
	return t.open(ctx, connKey{address, true}, exchange)
}

// CloseControl closes the connection for control messages to a peer. The next stream
// opens a new one.
func (t *Transport) CloseControl(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, ok := t.conns[connKey{address, true}]
	if !ok {
		return
	}
	select {
	case <-out.dialed:
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
	return &Stream{qs: qs, exchange: []byte{byte(exchange)}}, nil
}

// connect returns an open connection to a peer. Concurrent callers share one dial.
func (t *Transport) connect(ctx context.Context, key connKey) (*quic.Conn, error) {
	t.mu.Lock()
	if t.closed { // Close may no longer wait for a new dial
		t.mu.Unlock()
		return nil, net.ErrClosed
	}
	out, ok := t.conns[key]
	if !ok || out.ended() {
		out = t.startDial(key)
	}
	t.mu.Unlock()
	select {
	case <-out.dialed:
		return out.conn, out.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Connected reports whether a connection for queries to a peer is open. If none is open or
// being opened, it returns false and starts a dial. No dial starts after Close.
func (t *Transport) Connected(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := connKey{address, false}
	out, ok := t.conns[key]
	if !t.closed && (!ok || out.ended()) {
		t.startDial(key)
		return false
	}
	if !ok {
		return false
	}
	select {
	case <-out.dialed:
		return out.err == nil
	default:
		return false
	}
}

// Lost reports whether the connection for queries to a peer ended or could not be opened,
// and no other was opened since. It then starts a dial if none is in progress. It returns
// false for a peer that was never dialed, and after Close. A peer that stops answering is
// reported after idleTimeout, seconds before its heartbeats count as missed.
func (t *Transport) Lost(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := connKey{address, false}
	out, ok := t.conns[key]
	if !ok || t.closed {
		return false
	}
	if out.ended() {
		t.startDial(key)
		return true
	}
	select {
	case <-out.dialed:
		return false
	default:
		return out.redial
	}
}

// startDial starts to open a connection in the background. The caller holds t.mu.
func (t *Transport) startDial(key connKey) *clientConn {
	_, redial := t.conns[key]
	out := &clientConn{dialed: make(chan struct{}), redial: redial}
	t.conns[key] = out
	t.wg.Go(func() { t.dial(key, out) })
	return out
}

func (t *Transport) dial(key connKey, out *clientConn) {
	defer close(out.dialed)
	addr, err := net.ResolveUDPAddr("udp", key.address)
	if err != nil {
		out.err = err
		return
	}
	ctx, cancel := context.WithTimeout(t.dialCtx, handshakeTimeout)
	defer cancel()
	conf := quicConfig(keepAlivePeriod, idleTimeout)
	if key.control {
		conf = quicConfig(0, controlIdleTimeout)
	}
	out.conn, out.err = t.quic.Dial(ctx, addr, t.tls, conf)
}

// ended reports whether the dial failed or the connection has ended.
func (o *clientConn) ended() bool {
	select {
	case <-o.dialed:
		return o.err != nil || o.conn.Context().Err() != nil
	default:
		return false
	}
}

// Stream is one exchange with a peer. One goroutine may send while another receives.
type Stream struct {
	qs       *quic.Stream
	exchange []byte // exchange byte, sent in one write with the first message so that both share a datagram; empty after that
}

// Send writes one message.
func (s *Stream) Send(message any) error { return wire.Write((*exchangeWriter)(s), message) }

// exchangeWriter writes the exchange byte in front of the first message.
type exchangeWriter Stream

func (w *exchangeWriter) Write(data []byte) (int, error) {
	if len(w.exchange) == 0 {
		return w.qs.Write(data)
	}
	n, err := w.qs.Write(append(w.exchange, data...))
	n, w.exchange = max(0, n-len(w.exchange)), nil
	return n, err
}

// Receive reads one message. It returns io.EOF after the peer's last message.
func (s *Stream) Receive(message any) error { return wire.Read(s.qs, message) }

// CloseSend closes the sending side, after which the peer's Receive returns io.EOF.
func (s *Stream) CloseSend() error { return s.qs.Close() }

// Reset aborts both directions, which ends the context of the peer's handler.
func (s *Stream) Reset() {
	s.qs.CancelWrite(codeCanceled)
	s.qs.CancelRead(codeCanceled)
}
