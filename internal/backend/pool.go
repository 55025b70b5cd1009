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
	// dialLimit bounds the time to open a connection: five round trips between
	// places, beside which a lost opening packet is sent again only after a second.
	dialLimit = 300 * time.Millisecond
	// idleLimit is how long a connection may be idle if the target states nothing.
	idleLimit = 8 * time.Second
	// provenLimit is how long ago a connection must have carried an answer to be
	// used for a request that may not be repeated: one that went silent since
	// would lose it.
	provenLimit = time.Second
)

var errBusy = errors.New("all connections of this host to the target are in use")

// Counters count the connections of all pools that share them.
type Counters struct {
	Opened         atomic.Int64
	DialFailed     atomic.Int64 // not opened
	ClosedByTarget atomic.Int64 // closed because the target asked for it
	Stale          atomic.Int64 // closed because they were idle for too long
	NotRecent      atomic.Int64 // closed because a request needed one proven to live
	UnexpectedData atomic.Int64 // closed because something came over them while idle
	Broken         atomic.Int64 // closed after a request that ended badly
}

// Pool holds the connections to one target. It is safe for concurrent use.
type Pool struct {
	address  string
	instance string
	codec    Codec
	counters *Counters

	mu     sync.Mutex
	idle   []*conn // the last one used at the end
	open   int     // idle, in use and being opened
	limit  int
	closed bool
	opened int // connections opened so far
}

// NewPool returns a pool for the target with an ID at an IP and port.
func NewPool(address, instance string, codec Codec, counters *Counters, limit int) *Pool {
	return &Pool{address: address, instance: instance, codec: codec, counters: counters, limit: max(1, limit)}
}

// SetLimit changes the number of connections that may be open.
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

// HasCapacity reports whether a request would find or could open a connection.
func (p *Pool) HasCapacity() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 || p.open < p.limit
}

// Stats returns the open and idle connections and those opened so far.
func (p *Pool) Stats() (open, idle, opened int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle), p.opened
}

// Send sends a request once. proven asks for a connection that carried an answer
// lately or is new. until is when the answer is useless.
func (p *Pool) Send(ctx context.Context, r *Request, until time.Time, proven bool) Result {
	limit := idleLimit
	if proven {
		limit = provenLimit
	}
	c := p.takeIdle(limit)
	var dialed time.Duration
	if c == nil {
		began := time.Now()
		var err error
		if c, err = p.dial(ctx, until); err != nil {
			return Result{Kind: NotSent, Err: err, Busy: errors.Is(err, errBusy)}
		}
		dialed = time.Since(began)
	}
	left := time.Until(until)
	if left < time.Millisecond {
		p.give(c)
		return Result{Kind: NotSent, Err: context.DeadlineExceeded, Busy: true}
	}
	head := p.codec.AppendRequest(make([]byte, 0, 512), r, left, p.instance)
	result, clean := c.exchange(ctx, p.codec, head, r.Body, r.Method, r.ID, until)
	result.DialTime = dialed
	if clean {
		c.used = time.Now()
		p.give(c)
	} else {
		if result.Kind >= Refused && c.asked {
			p.counters.ClosedByTarget.Add(1)
		} else {
			p.counters.Broken.Add(1)
		}
		p.drop(c)
	}
	return result
}

// Preconnect opens a connection if there is none.
func (p *Pool) Preconnect(ctx context.Context) error {
	p.mu.Lock()
	enough := p.open > 0
	p.mu.Unlock()
	if enough {
		return nil
	}
	c, err := p.dial(ctx, time.Now().Add(dialLimit))
	if err != nil {
		return err
	}
	p.give(c)
	return nil
}

// takeIdle returns the connection used last that is still sound.
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
		case !c.fresh(now, idleLimit):
			p.counters.Stale.Add(1)
		case !c.fresh(now, limit):
			p.counters.NotRecent.Add(1)
		case !c.quiet():
			p.counters.UnexpectedData.Add(1)
		default:
			return c
		}
		p.drop(c)
	}
}

func (p *Pool) dial(ctx context.Context, until time.Time) (*conn, error) {
	p.mu.Lock()
	if p.closed || p.open >= p.limit {
		p.mu.Unlock()
		return nil, errBusy
	}
	p.open++
	p.opened++
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: min(dialLimit, time.Until(until)), KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", p.address)
	if err == nil {
		var c *conn
		if c, err = newConn(nc.(*net.TCPConn), time.Now()); err == nil {
			p.counters.Opened.Add(1)
			return c, nil
		}
		_ = nc.Close()
	}
	p.counters.DialFailed.Add(1)
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	return nil, err
}

func (p *Pool) give(c *conn) {
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.drop(c)
}

func (p *Pool) drop(c *conn) {
	_ = c.nc.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// CloseStale closes idle connections that are too old to be used again.
func (p *Pool) CloseStale(now time.Time) {
	p.mu.Lock()
	var stale []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.fresh(now, idleLimit) {
			kept = append(kept, c)
		} else {
			stale = append(stale, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range stale {
		p.counters.Stale.Add(1)
		p.drop(c)
	}
}

// Close closes the idle connections and those in use once they are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}
