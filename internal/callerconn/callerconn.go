// Package callerconn tracks the connections of callers to an HTTP server, so that a server
// that stops closes none with a request in progress, and none on which it has just read one.
//
// The package owns the connections from their accept to their close. It does not decide when a
// server stops or for how long. A Set is safe for concurrent use.
package callerconn

import (
	"container/list"
	"context"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/callerbody"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
)

// unusedTimeout is how long a caller's connection may wait for its first byte while the
// server stops. Callers open some connections ahead of requests.
const unusedTimeout = time.Second

// pollInterval is the time between two looks at the connections that are left in a shutdown.
const pollInterval = 20 * time.Millisecond

// Set is the set of a server's open connections. net/http closes an idle connection while its
// next request may already be read; a connection of the set then answers that request first.
type Set struct {
	endsWithAnswer atomic.Pointer[func() bool] // nil: never
	bounds         bounds

	mu        sync.Mutex
	open      map[*conn]struct{}
	byUse     list.List // of *conn, the longest without a request first
	listeners []*listener
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{open: map[*conn]struct{}{}} }

// Listener returns a listener whose connections belong to the set.
func (s *Set) Listener(l net.Listener) net.Listener {
	added := &listener{Listener: l, conns: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, added)
	return added
}

type listener struct {
	net.Listener
	conns     *Set
	closed    atomic.Bool // by Shutdown
	accepting sync.Mutex  // held in Accept
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.accepting.Lock()
	defer l.accepting.Unlock()
	nc, err := l.Listener.Accept()
	for err == nil && !l.conns.admit() {
		_ = nc.Close() // nothing was read from it
		nc, err = l.Listener.Accept()
	}
	switch {
	case err != nil && l.closed.Load():
		return nil, http.ErrServerClosed
	case err != nil:
		return nil, err
	}
	c := &conn{Conn: nc, conns: l.conns, opened: time.Now()}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.open[c] = struct{}{}
	c.element = l.conns.byUse.PushBack(c)
	return c, nil
}

// EndWithAnswers makes the server end a connection with an answer, and say so in it, if ends
// returns true when the answer begins. A connection in use that
// Shutdown closes between two requests may lose the second one: its caller cannot know that it
// was not read.
func (s *Set) EndWithAnswers(ends func() bool) { s.endsWithAnswer.Store(&ends) }

// shutDown closes the listener. A connection that was accepted just before belongs to the set
// when it returns.
func (l *listener) shutDown() {
	l.closed.Store(true)
	_ = l.Close()
	l.accepting.Lock()
	defer l.accepting.Unlock()
}

// Shutdown closes the listeners and the connections, and returns once all have ended, or with the
// context's error. Requests that arrive meanwhile are answered, whereas http.Server.Shutdown drops
// each request that is read after its begin. For the time of drain.Linger, connections end only
// with an answer.
func (s *Set) Shutdown(ctx context.Context, server *http.Server) error {
	s.mu.Lock()
	listeners := slices.Clone(s.listeners)
	s.mu.Unlock()
	for _, l := range listeners {
		l.shutDown()
	}
	s.EndWithAnswers(func() bool { return true })
	left := time.Duration(math.MaxInt64)
	if end, ok := ctx.Deadline(); ok {
		left = time.Until(end)
	}
	for end := time.Now().Add(drain.Linger(left)); time.Now().Before(end) && len(s.all()) > 0; {
		s.CloseUnused(time.Now())
		time.Sleep(min(pollInterval, time.Until(end)))
	}
	server.SetKeepAlivesEnabled(false) // also closes idle connections
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		s.CloseUnused(time.Now())
		if len(s.all()) == 0 {
			return server.Shutdown(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// CloseUnused closes the connections on which nothing was received for unusedTimeout after
// they were opened.
func (s *Set) CloseUnused(now time.Time) {
	for _, c := range s.all() {
		if !c.received.Load() && now.Sub(c.opened) >= unusedTimeout {
			_ = c.Close()
		}
	}
}

// Abort closes all connections, also those with a request in progress, and returns the number
// of the latter.
func (s *Set) Abort() (unanswered int) {
	for _, c := range s.all() {
		if c.abort() {
			unanswered++
		}
	}
	return unanswered
}

func (s *Set) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.open))
	for c := range s.open {
		conns = append(conns, c)
	}
	return conns
}

func (s *Set) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.open[c]; ok {
		delete(s.open, c)
		s.byUse.Remove(c.element)
	}
}

// conn is a connection of a caller, which carries one request at a time.
type conn struct {
	net.Conn
	conns    *Set
	opened   time.Time
	received atomic.Bool // any byte
	element  *list.Element
	hold     callerbody.Hold // of a long head
	charged  bool            // hold is in use; only the server's goroutine uses it

	mu        sync.Mutex
	heard     bool // bytes were read since the last answer
	busy      bool // a request is in progress
	closed    bool // Close was called
	gone      bool // the connection is closed
	shed      bool // it closes for others unless a head is read whole
	headRead  bool // the server has read a whole head or only its begin
	headBytes int  // of the head that is being read
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Store(true)
		c.mu.Lock()
		c.heard = true
		c.mu.Unlock()
		c.charge(n)
	}
	return n, err
}

// SetReadDeadline implements net.Conn. After Close, a connection without a request reads no more.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headRead = c.heard && t.IsZero() // net/http clears the deadline after the head
	if c.closed && !c.heard && !c.busy || c.shed && !c.busy && !c.headRead {
		t = time.Now()
	}
	return c.Conn.SetReadDeadline(t)
}

// Close ends the connection once a request that is in progress or being read has its answer. One
// without a request reads no more, after which net/http gives it up. Closing it here would drop a
// request that net/http has just read.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.heard || c.busy {
		return nil
	}
	return c.Conn.SetReadDeadline(time.Now())
}

// abort closes the connection at once and reports whether a request was in progress.
func (c *conn) abort() (inProgress bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = true
	_ = c.Conn.Close()
	return c.busy
}

// CloseWrite ends the sending side. net/http does so before it closes a connection on which
// the caller may still be sending.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// begin reports whether a request that was read may be handled. After abort, it may not: its
// caller would get no answer, and may send it again only if it did not run.
func (c *conn) begin() bool {
	if c.charged {
		c.hold.PassOn()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = !c.gone
	return c.busy
}

// idle records the end of a request whose answer the server has written, if there is one.
func (c *conn) idle() {
	c.discharge()
	c.conns.used(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard, c.busy, c.headRead, c.headBytes = false, false, false, 0
	if c.closed {
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}

// end closes the connection, which the server has given up.
func (c *conn) end() {
	c.discharge()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns.remove(c)
	c.gone = true
	_ = c.Conn.Close() // nothing is left to be lost
}

// connKey is the key of the conn in the context of its requests.
type connKey struct{}

// Attach makes a server, which must use a listener of the set, report the ends of requests.
// The server closes a connection after an answer only once it is idle.
func (s *Set) Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateIdle:
			c.(*conn).idle()
		case http.StateClosed:
			c.(*conn).end()
		}
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connKey{}).(*conn)
		if !c.begin() {
			panic(http.ErrAbortHandler)
		}
		a := &answer{ResponseWriter: w, conns: s, conn: c}
		next.ServeHTTP(a, r)
		a.begin() // the server writes the head if the handler has not
	})
}

// answer says in the head of an answer that it ends the connection.
type answer struct {
	http.ResponseWriter
	conns *Set
	conn  *conn
	begun bool
}

func (a *answer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	if ends := a.conns.endsWithAnswer.Load(); ends != nil && (*ends)() || a.conn.isShed() {
		a.Header().Set("Connection", "close")
	}
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	a.begin()
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.begin()
	return a.ResponseWriter.Write(p)
}

// Unwrap supports http.ResponseController.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }
