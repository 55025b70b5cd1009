package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// unusedTimeout is how long a caller's connection may wait for its first byte while this
// host stops. Callers open some connections ahead of requests.
const unusedTimeout = time.Second

// callerConns are the connections of callers. net/http closes an idle connection while its
// next request may already be read; a callerConn keeps such a request from being passed on,
// or its answer from being cut off. It is safe for concurrent use.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newCallerConns() *callerConns { return &callerConns{open: map[*callerConn]struct{}{}} }

// listener returns a listener whose connections belong to the set. The connections of l
// must be TCP connections.
func (s *callerConns) listener(l net.Listener) net.Listener { return &callerListener{l, s} }

type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{TCPConn: nc.(*net.TCPConn), conns: l.conns, opened: time.Now()}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.open[c] = struct{}{}
	return c, nil
}

// closeUnused closes the connections on which nothing was received for unusedTimeout after
// they were opened.
func (s *callerConns) closeUnused(now time.Time) {
	for _, c := range s.all() {
		if !c.received.Load() && now.Sub(c.opened) >= unusedTimeout {
			_ = c.Close()
		}
	}
}

// abort closes all connections, also those with a request in progress, and returns the number
// of the latter.
func (s *callerConns) abort() (unanswered int) {
	for _, c := range s.all() {
		if c.inProgress() {
			unanswered++
		}
		_ = c.TCPConn.Close()
	}
	return unanswered
}

func (s *callerConns) all() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*callerConn, 0, len(s.open))
	for c := range s.open {
		conns = append(conns, c)
	}
	return conns
}

func (s *callerConns) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// callerConn is a connection of a caller, which carries one request at a time.
type callerConn struct {
	*net.TCPConn
	conns    *callerConns
	opened   time.Time
	received atomic.Bool // any byte

	mu     sync.Mutex
	busy   bool // a request is in progress
	closed bool // Close was called
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// Close closes the connection, or leaves that to the end of a request in progress.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.busy {
		return nil
	}
	c.conns.remove(c)
	return c.TCPConn.Close()
}

// begin reports whether a request that was read may be handled. After Close, it may not:
// its caller would get no answer, and may send it again only if it did not run.
func (c *callerConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = !c.closed
	return c.busy
}

// inProgress reports whether a request is in progress on the connection.
func (c *callerConn) inProgress() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// end ends a request whose answer the server has written, if there is one.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if c.closed {
		c.conns.remove(c)
		_ = c.TCPConn.Close() // nothing is left to be lost
	}
}

// callerConnKey is the key of the callerConn in the context of its requests.
type callerConnKey struct{}

// attach makes a server, which must use a listener of the set, report the ends of requests.
// The server closes a connection after an answer only once it is idle.
func (s *callerConns) attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, callerConnKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle || state == http.StateClosed {
			c.(*callerConn).end()
		}
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.Context().Value(callerConnKey{}).(*callerConn).begin() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
