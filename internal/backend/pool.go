package backend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds the time to open a connection. It is five round trips between
	// places; waiting longer gains little, as a lost SYN is resent only after a second.
	dialTimeout = 300 * time.Millisecond
	// maxIdle is how long a connection may be idle at most, and maxIdleUnstated if the
	// target states no idle timeout.
	maxIdle         = 30 * time.Second
	maxIdleUnstated = 8 * time.Second
	// idleReserve is how long before the idle timeout that the target states a connection
	// is no longer used, at most a quarter of the timeout.
	idleReserve = time.Second
	// maxIdleNonRepeatable is how long a connection may be idle before a request that
	// may not be repeated: on a connection that failed silently while idle, the request
	// would be lost.
	maxIdleNonRepeatable = time.Second
)

var errNoConnection = errors.New("no free connection to the target: the limit is reached or the pool is closed")

// Counters counts the connections of all pools that share it, by the reason of their
// close.
type Counters struct {
	Opened         atomic.Int64
	Ahead          atomic.Int64 // of these, opened ahead of requests
	DialFailed     atomic.Int64 // attempts to open that failed
	ClosedByTarget atomic.Int64 // closed on request of the target
	Stale          atomic.Int64 // closed because they were idle for too long
	NotRecent      atomic.Int64 // closed because a request needed one used within the last second
	UnexpectedData atomic.Int64 // closed because they received bytes, or an end, while idle
	Broken         atomic.Int64 // closed after a request that left them unusable
	Oversized      atomic.Int64 // of these, closed because the answer was longer than any valid one
	NoMemory       atomic.Int64 // of these, closed because this host had no memory left for the answer
	Malformed      atomic.Int64 // of these, closed because what the target sent is no answer
}

// Shared is what the pools of a host have in common. It is safe for concurrent use.
type Shared struct {
	Codec    Codec
	Counters Counters
	Bodies   *Bodies
}

// Pool holds the connections to one target. It is safe for concurrent use.
type Pool struct {
	address  string
	instance string
	shared   *Shared

	mu     sync.Mutex
	idle   []*conn // most recently used last
	open   int     // idle, in use or being opened
	limit  int
	closed bool
	dials  int // connection attempts so far
}

// NewPool returns a pool of at most limit connections to the target with the ID
// instance at address, an IP address and port. limit is at least 1.
func NewPool(address, instance string, shared *Shared, limit int) *Pool {
	return &Pool{address: address, instance: instance, shared: shared, limit: max(1, limit)}
}

// SetLimit sets the number of connections that may be open, at least 1. Connections
// that are open above a lower limit stay open, but no others are opened.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, limit)
}

// Limit returns the number of connections that may be open.
func (p *Pool) Limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit
}

// HasCapacity reports whether a connection is idle or may be opened.
func (p *Pool) HasCapacity() bool {
	_, capacity := p.Availability()
	return capacity
}

// Availability reports whether a connection is idle, and whether one is idle or may be
// opened.
func (p *Pool) Availability() (idle, capacity bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle = len(p.idle) > 0
	return idle, idle || p.open < p.limit
}

// Stats returns the numbers of open and idle connections and of attempts to open one
// so far. Open includes idle ones and those being opened.
func (p *Pool) Stats() (open, idle, dials int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle), p.dials
}

// Send sends a request at most once and returns the result. The answer is useless after
// deadline. recentOnly is for a request that may not be repeated: the connection is new or
// was opened or carried an answer within the last second.
func (p *Pool) Send(ctx context.Context, r *Request, deadline time.Time, recentOnly bool) Result {
	limit := maxIdle
	if recentOnly {
		limit = maxIdleNonRepeatable
	}
	c := p.takeIdle(limit)
	var dialed time.Duration
	if c == nil {
		began := time.Now()
		var err error
		if c, err = p.dial(ctx, deadline); err != nil {
			return Result{Kind: NotSent, Err: err, LocalCause: errors.Is(err, errNoConnection)}
		}
		dialed = time.Since(began)
	}
	left := time.Until(deadline)
	if left < time.Millisecond {
		p.put(c)
		return Result{Kind: NotSent, Err: context.DeadlineExceeded, LocalCause: true}
	}
	finished := false
	defer func() {
		if !finished { // a panic
			p.discard(c)
		}
	}()
	head := p.shared.Codec.AppendRequest(make([]byte, 0, 512), r, left, p.instance)
	result, reusable := c.roundTrip(ctx, p.shared, head, r, deadline)
	result.DialTime = dialed
	if recentOnly && result.Kind == Refused {
		// A second copy of the refusal would be taken for the answer to the next send of
		// the request.
		reusable = false
	}
	finished = true
	if reusable {
		c.lastUsed = time.Now()
		p.put(c)
	} else {
		if result.Kind >= Refused && c.closeRequested {
			p.shared.Counters.ClosedByTarget.Add(1)
		} else {
			p.shared.Counters.Broken.Add(1)
		}
		p.countFault(&result)
		p.discard(c)
	}
	return result
}

// countFault counts answers that were malformed or too large, or for which there was no memory.
func (p *Pool) countFault(r *Result) {
	switch {
	case r.Malformed():
		p.shared.Counters.Malformed.Add(1)
	case r.Oversized():
		p.shared.Counters.Oversized.Add(1)
	case errors.Is(r.Err, errNoMemory), errors.Is(r.Err, errGivenUp):
		p.shared.Counters.NoMemory.Add(1)
	}
}

// Preconnect opens a connection if none is open or being opened. It returns the error if
// that fails.
func (p *Pool) Preconnect(ctx context.Context) error {
	p.mu.Lock()
	enough := p.open > 0
	p.mu.Unlock()
	if enough {
		return nil
	}
	c, err := p.dial(ctx, time.Now().Add(dialTimeout))
	if err != nil {
		return err
	}
	p.shared.Counters.Ahead.Add(1)
	p.put(c)
	return nil
}

// takeIdle returns the most recently used connection that was idle for less than limit
// and is intact, or nil. It closes the connections that it passes over.
func (p *Pool) takeIdle(limit time.Duration) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		if len(p.idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		p.mu.Unlock()
		switch {
		case !c.isFresh(now, maxIdle):
			p.shared.Counters.Stale.Add(1)
		case !c.isFresh(now, limit):
			p.shared.Counters.NotRecent.Add(1)
		case !c.isIntact():
			p.shared.Counters.UnexpectedData.Add(1)
		default:
			return c
		}
		p.discard(c)
	}
}

// dial opens a connection within dialTimeout and the deadline. It returns errNoConnection
// if the limit is reached or the pool is closed.
func (p *Pool) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	p.mu.Lock()
	if p.closed || p.open >= p.limit {
		p.mu.Unlock()
		return nil, errNoConnection
	}
	p.open++
	p.dials++
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: min(dialTimeout, time.Until(deadline)), KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", p.address)
	if err == nil {
		var c *conn
		if c, err = newConn(nc.(*net.TCPConn), time.Now()); err == nil {
			p.shared.Counters.Opened.Add(1)
			return c, nil
		}
		_ = nc.Close()
	}
	p.shared.Counters.DialFailed.Add(1)
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	return nil, err
}

// put returns a connection to the pool, or closes it if the pool is closed.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

// discard closes a connection.
func (p *Pool) discard(c *conn) {
	_ = c.nc.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// CloseStale closes the connections that have been idle for too long to be used again.
func (p *Pool) CloseStale(now time.Time) {
	p.mu.Lock()
	var stale []*conn
	fresh := p.idle[:0]
	for _, c := range p.idle {
		if c.isFresh(now, maxIdle) {
			fresh = append(fresh, c)
		} else {
			stale = append(stale, c)
		}
	}
	p.idle = fresh
	p.mu.Unlock()
	for _, c := range stale {
		p.shared.Counters.Stale.Add(1)
		p.discard(c)
	}
}

// Close closes the idle connections, and those in use at the end of their request.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}
