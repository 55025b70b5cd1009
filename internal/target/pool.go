package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/wire"
)

const (
	dialLimit  = 2 * time.Second
	probeLimit = 500 * time.Millisecond
	// retryAfter is how long after a failed dial the next one starts.
	retryAfter = 20 * time.Millisecond
	// provenFor is how long after an answer a connection counts as proven live.
	provenFor = time.Second
	// freshFor is how long after an answer a connection carries a request that
	// may not be repeated without another probe. A connection that has gone
	// silent since its last answer would leave the request unknown.
	freshFor = 20 * time.Millisecond
	// checkLimit bounds that probe; a target answers it within a round trip in
	// its place, and without a slot.
	checkLimit = 50 * time.Millisecond
)

// ErrUnreachable says that the target accepts no connection. Nothing was sent.
var ErrUnreachable = errors.New("target accepts no connection")

// Events tells the owner of a pool what its connections show. The functions are
// called without locks of the pool held and must not block.
type Events struct {
	// Probed reports the answer to a probe that was sent at the given time.
	Probed func(sent time.Time, status wire.TargetStatus)
	// Broken reports that a connection was refused, or broken by the target.
	Broken func(at time.Time)
}

// Pool holds this host's share of the connections to one target. Connections
// are dialed ahead, because a cancelled request costs its connection. Every
// connection is probed before it carries work, so that it is known which
// process of the target a request reaches. It is safe for concurrent use.
type Pool struct {
	address string
	share   int // most connections, including those that the target has not closed yet
	ahead   int // connections kept open for work
	dial    Dialer
	events  Events
	cancel  context.CancelFunc
	ctx     context.Context

	mu       sync.Mutex
	idle     []*conn        // the most recently used last
	live     map[*conn]bool // false: it was given up and the target has not closed it
	usable   int            // connections that were not given up
	dialing  int
	waiters  []*waiter
	failedAt time.Time
	counts   PoolCounts
}

// PoolCounts counts what happened to the connections of a pool.
type PoolCounts struct {
	Dialed    int // connections opened
	DialWaits int // requests that waited for a connection to open
	Broken    int // connections refused, or broken by the target
	Abandoned int // connections that ended with a cancelled or silent request
}

type waiter struct {
	once  bool
	ready chan *conn // closed without a value if the target is down
}

// NewPool returns a pool without connections.
func NewPool(address string, share, ahead int, dial Dialer, events Events) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		address: address, share: share, ahead: min(ahead, share), dial: dial, events: events,
		ctx: ctx, cancel: cancel, live: map[*conn]bool{},
	}
}

// Close closes idle connections; those in use close with their request.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.closeQuietly()
	}
}

// Resize changes the share and the number of connections kept open. Connections
// above the share close when they become free.
func (p *Pool) Resize(share, ahead int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share, p.ahead = share, min(ahead, share)
	for len(p.live) > share && len(p.idle) > 0 {
		p.idle[0].closeQuietly()
		p.idle = p.idle[1:]
	}
}

// Counts returns the counters.
func (p *Pool) Counts() PoolCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Acquire returns a client for one request, bound to a free connection, and waits
// for one to open if there is none. For a request that may not be repeated,
// once selects a connection that is proven live, and probes it again unless it
// has just answered. It returns ErrUnreachable if the
// target accepts no connection. The caller calls Release on the client.
func (p *Pool) Acquire(ctx context.Context, once bool) (*Client, error) {
	p.mu.Lock()
	if c := p.takeIdle(once); c != nil {
		fresh := !once || time.Since(c.proven) <= freshFor
		p.mu.Unlock()
		if fresh || p.prove(c, checkLimit) == nil {
			return p.client(c), nil
		}
		p.mu.Lock() // the others may be silent as well, so a new one is used
	}
	w := &waiter{once: once, ready: make(chan *conn, 1)}
	p.waiters = append(p.waiters, w)
	p.counts.DialWaits++
	if once {
		p.makeRoom()
	}
	p.dialAhead()
	p.failWaiters()
	p.mu.Unlock()
	select {
	case c, ok := <-w.ready:
		if !ok {
			return nil, ErrUnreachable
		}
		return p.client(c), nil
	case <-ctx.Done():
		p.abandon(w)
		return nil, ctx.Err()
	}
}

// Probe asks the target for its state on a free connection, or by opening one.
func (p *Pool) Probe() {
	p.mu.Lock()
	c := p.takeIdle(false)
	if c == nil {
		p.dialAhead()
	}
	p.mu.Unlock()
	if c != nil {
		go func() {
			if p.prove(c, probeLimit) == nil {
				p.put(c)
			}
		}()
	}
}

// takeIdle removes a free connection. The caller holds p.mu.
func (p *Pool) takeIdle(once bool) *conn {
	last := len(p.idle) - 1
	// The list is in order of use, so if the last is not proven, none is.
	if last < 0 || once && time.Since(p.idle[last].proven) > provenFor {
		return nil
	}
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// makeRoom closes the longest unused connection if the share leaves no room
// for a fresh one. The caller holds p.mu.
func (p *Pool) makeRoom() {
	if len(p.live)+p.dialing >= p.share && len(p.idle) > 0 {
		c := p.idle[0]
		p.idle = p.idle[1:]
		c.closeQuietly()
	}
}

// dialAhead opens a connection for every waiting request and keeps the wanted
// number usable, as far as the share allows. The caller holds p.mu.
func (p *Pool) dialAhead() {
	if p.ctx.Err() != nil || time.Since(p.failedAt) < retryAfter {
		return
	}
	want := max(p.ahead-p.usable, len(p.waiters)) - p.dialing
	for range max(0, min(want, p.share-len(p.live)-p.dialing)) {
		p.dialing++
		go p.open()
	}
}

// open dials one connection and probes it.
func (p *Pool) open() {
	ctx, cancel := context.WithTimeout(p.ctx, dialLimit)
	defer cancel()
	nc, err := p.dial(ctx, "tcp", p.address)
	p.mu.Lock()
	p.dialing--
	if err != nil {
		p.failedAt = time.Now()
		p.counts.Broken++
		p.failWaiters()
		p.mu.Unlock()
		if p.ctx.Err() == nil {
			p.events.Broken(time.Now())
		}
		return
	}
	c := newConn(nc, p.connEnded)
	p.live[c] = true
	p.usable++
	p.counts.Dialed++
	p.mu.Unlock()
	if p.prove(c, probeLimit) == nil {
		p.put(c)
	}
}

// prove sends a probe: a search without a body, which the target refuses as
// invalid. The refusal takes no slot and carries the target's state.
func (p *Pool) prove(c *conn, limit time.Duration) error {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(p.ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+"/search", bytes.NewReader(nil))
	if err != nil {
		c.closeQuietly()
		return err
	}
	req.Header.Set(HeaderDeadline, strconv.FormatInt(limit.Milliseconds(), 10))
	resp, err := c.exchange(ctx, req, limit)
	if err != nil {
		p.giveUp(c)
		return err
	}
	p.answered(c)
	var refusal Refusal
	data, _ := io.ReadAll(resp.Body)
	if json.Unmarshal(data, &refusal) == nil {
		c.boot = refusal.BootID
	}
	p.events.Probed(sent, refusal.TargetStatus)
	return nil
}

// answered records that an answer arrived on a connection.
func (p *Pool) answered(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.proven = time.Now()
}

// put returns a connection without a request on it.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.live[c] || p.ctx.Err() != nil || len(p.live) > p.share {
		c.closeQuietly()
		return
	}
	for i, w := range p.waiters {
		if !w.once || time.Since(c.proven) <= provenFor {
			p.waiters = slices.Delete(p.waiters, i, i+1)
			w.ready <- c
			return
		}
	}
	p.idle = append(p.idle, c)
}

// giveUp replaces a connection that is about to end by a new one. It counts
// against the share until the target has closed it.
func (p *Pool) giveUp(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unusable(c)
	p.dialAhead()
}

func (p *Pool) unusable(c *conn) {
	if p.live[c] {
		p.live[c] = false
		p.usable--
	}
}

// connEnded takes the end of a connection.
func (p *Pool) connEnded(c *conn) {
	p.mu.Lock()
	p.unusable(c)
	delete(p.live, c)
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	broken := c.broken() && p.ctx.Err() == nil
	if broken {
		p.counts.Broken++
	} else {
		p.counts.Abandoned++
	}
	if len(p.waiters) > 0 || !broken {
		p.dialAhead()
	}
	p.failWaiters()
	p.mu.Unlock()
	if broken {
		p.events.Broken(time.Now())
	}
}

// failWaiters ends the waiting of requests for which no connection is opening
// or may become free. The caller holds p.mu.
func (p *Pool) failWaiters() {
	if p.dialing > 0 {
		return
	}
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		fails := len(p.live) == 0 || w.once && len(p.idle) > 0
		if fails {
			close(w.ready)
		}
		return fails
	})
}

// abandon ends the waiting of a request whose caller gave up.
func (p *Pool) abandon(w *waiter) {
	p.mu.Lock()
	i := slices.Index(p.waiters, w)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i >= 0 {
		return
	}
	if c, ok := <-w.ready; ok {
		p.put(c)
	}
}
