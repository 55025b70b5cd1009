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
	dialTimeout  = 2 * time.Second
	probeTimeout = 500 * time.Millisecond
	// redialDelay is the shortest time from a failed dial to the next dial.
	redialDelay = 20 * time.Millisecond
	// livenessWindow is how long after an answer a connection counts as live.
	livenessWindow = time.Second
	// probeFreeWindow is how long after an answer a connection carries a command, which
	// may not be repeated, without another probe. On a connection that has become
	// silent since its last answer, the outcome of the command would be unknown.
	probeFreeWindow = 20 * time.Millisecond
	// preSendProbeTimeout limits the probe before a command. A target answers a probe
	// without a slot and within a round trip inside its place.
	preSendProbeTimeout = 50 * time.Millisecond
)

// ErrUnreachable means that no connection was being dialed and that the pool had none or,
// for a request that may not be repeated, had an idle one that was not known to be live.
// The request was not sent.
var ErrUnreachable = errors.New("target accepts no connection")

// Events holds the callbacks of a pool. They are called without the pool's mutex and must
// not block.
type Events struct {
	// Probed is called with the answer to a probe and the time at which the probe was sent.
	// The status is zero if the answer could not be decoded.
	Probed func(sent time.Time, status wire.TargetStatus)
	// Broken is called when a dial failed or the target broke a connection.
	Broken func(at time.Time)
}

// Pool holds this host's share of the connections to one target. Spare connections are
// kept open, because a canceled request ends its connection. Every connection is probed
// before it carries requests, so that the process of the target that a request reaches
// is known. Pool is safe for concurrent use.
type Pool struct {
	address string
	share   int // maximum number of connections, including those that the target has not closed yet
	minOpen int // connections kept open for requests
	dial    Dialer
	events  Events
	cancel  context.CancelFunc
	ctx     context.Context

	mu           sync.Mutex
	idle         []*conn        // the most recently used last
	conns        map[*conn]bool // false for an unusable connection that has not ended
	usable       int            // number of connections with the value true in conns
	dialing      int
	waiters      []*waiter
	dialFailedAt time.Time
	counts       PoolCounts
}

// PoolCounts are the counters of a pool since its creation.
type PoolCounts struct {
	Dialed    int // connections opened
	DialWaits int // requests that found no usable idle connection and waited for one
	Broken    int // failed dials and connections broken by the target
	Abandoned int // connections that this host closed, mostly because a request was canceled or got no answer in time, or whose close the target announced
}

type waiter struct {
	once  bool
	ready chan *conn // closed without a value if no connection can become free
}

// NewPool returns a pool for the target at an IP address and port, with at most share
// connections, of which minOpen are kept open. It opens none before the first call of
// Acquire or Probe.
func NewPool(address string, share, minOpen int, dial Dialer, events Events) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		address: address, share: share, minOpen: min(minOpen, share), dial: dial, events: events,
		ctx: ctx, cancel: cancel, conns: map[*conn]bool{},
	}
}

// Close closes idle connections. A connection in use closes at the end of its request.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.closeIdle()
	}
}

// Resize changes the share and the number of connections kept open. Connections above
// the share close when they become free.
func (p *Pool) Resize(share, minOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share, p.minOpen = share, min(minOpen, share)
	for len(p.conns) > share && len(p.idle) > 0 {
		p.idle[0].closeIdle()
		p.idle = p.idle[1:]
	}
}

// Counts returns the counters.
func (p *Pool) Counts() PoolCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Acquire returns a client for one request, bound to a free connection. If none is free,
// it waits until one becomes free or opens. once is for a command, which may not be
// repeated: the connection must have answered within livenessWindow, and an idle one is
// probed again unless it answered within probeFreeWindow. Acquire returns ErrUnreachable
// if no connection is being dialed and the pool has none; with once, also if none is
// being dialed and a connection is idle but not known to be live. If the context ends
// first, Acquire returns its error. The caller must call Release or Discard on the client.
func (p *Pool) Acquire(ctx context.Context, once bool) (*Client, error) {
	p.mu.Lock()
	if c := p.takeIdle(once); c != nil {
		fresh := !once || time.Since(c.lastAnswer) <= probeFreeWindow
		p.mu.Unlock()
		if fresh || p.probeConn(c, preSendProbeTimeout) == nil {
			return p.client(c), nil
		}
		p.mu.Lock() // the other idle connections may be silent as well, so a new one is used
	}
	w := &waiter{once: once, ready: make(chan *conn, 1)}
	p.waiters = append(p.waiters, w)
	p.counts.DialWaits++
	if once {
		p.evictIdle()
	}
	p.dialMissing()
	p.failWaiters()
	p.mu.Unlock()
	select {
	case c, ok := <-w.ready:
		if !ok {
			return nil, ErrUnreachable
		}
		return p.client(c), nil
	case <-ctx.Done():
		p.cancelWait(w)
		return nil, ctx.Err()
	}
}

// Probe requests the target's state on a free connection. If none is free, it opens the
// connections that are missing up to minOpen, each of which is probed when it opens. The
// answer is reported to Events.Probed.
func (p *Pool) Probe() {
	p.mu.Lock()
	c := p.takeIdle(false)
	if c == nil {
		p.dialMissing()
	}
	p.mu.Unlock()
	if c != nil {
		go func() {
			if p.probeConn(c, probeTimeout) == nil {
				p.put(c)
			}
		}()
	}
}

// takeIdle removes the most recently used idle connection and returns it. It returns nil
// if there is none or, with once, if that connection is not live. The caller holds p.mu.
func (p *Pool) takeIdle(once bool) *conn {
	last := len(p.idle) - 1
	// The list is in order of use, so if the last connection is not live, none is.
	if last < 0 || once && time.Since(p.idle[last].lastAnswer) > livenessWindow {
		return nil
	}
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// evictIdle closes the least recently used idle connection if the share allows no
// further connection. The caller holds p.mu.
func (p *Pool) evictIdle() {
	if len(p.conns)+p.dialing >= p.share && len(p.idle) > 0 {
		c := p.idle[0]
		p.idle = p.idle[1:]
		c.closeIdle()
	}
}

// dialMissing starts dials so that minOpen connections are usable and every waiting
// request gets one, as far as the share allows. The caller holds p.mu.
func (p *Pool) dialMissing() {
	if p.ctx.Err() != nil || time.Since(p.dialFailedAt) < redialDelay {
		return
	}
	want := max(p.minOpen-p.usable, len(p.waiters)) - p.dialing
	for range max(0, min(want, p.share-len(p.conns)-p.dialing)) {
		p.dialing++
		go p.open()
	}
}

// open dials one connection and probes it.
func (p *Pool) open() {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	nc, err := p.dial(ctx, "tcp", p.address)
	p.mu.Lock()
	p.dialing--
	if err != nil {
		p.dialFailedAt = time.Now()
		p.counts.Broken++
		p.failWaiters()
		p.mu.Unlock()
		if p.ctx.Err() == nil {
			p.events.Broken(time.Now())
		}
		return
	}
	c := newConn(nc, p.handleConnEnd)
	p.conns[c] = true
	p.usable++
	p.counts.Dialed++
	p.mu.Unlock()
	if p.probeConn(c, probeTimeout) == nil {
		p.put(c)
	}
}

// probeConn sends a probe: a search without a body, which the target refuses as invalid.
// The refusal needs no slot and carries the target's state. After an error the connection
// ends.
func (p *Pool) probeConn(c *conn, limit time.Duration) error {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(p.ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+"/search", bytes.NewReader(nil))
	if err != nil {
		c.closeIdle()
		return err
	}
	req.Header.Set(HeaderDeadline, strconv.FormatInt(limit.Milliseconds(), 10))
	resp, err := c.roundTrip(ctx, req, limit)
	if err != nil {
		p.replaceConn(c)
		return err
	}
	p.recordAnswer(c)
	var refusal Refusal
	data, _ := io.ReadAll(resp.Body)
	if json.Unmarshal(data, &refusal) == nil {
		c.bootID = refusal.BootID
	}
	p.events.Probed(sent, refusal.TargetStatus)
	return nil
}

// recordAnswer records that an answer arrived on a connection.
func (p *Pool) recordAnswer(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastAnswer = time.Now()
}

// put returns a connection that carries no request to a waiting request or to the idle
// list. It closes the connection if that is marked as unusable, or if the pool is closed
// or exceeds its share.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.conns[c] || p.ctx.Err() != nil || len(p.conns) > p.share {
		c.closeIdle()
		return
	}
	for i, w := range p.waiters {
		if !w.once || time.Since(c.lastAnswer) <= livenessWindow {
			p.waiters = slices.Delete(p.waiters, i, i+1)
			w.ready <- c
			return
		}
	}
	p.idle = append(p.idle, c)
}

// replaceConn marks a connection that is about to end as unusable and dials a new one if
// the share allows. The old connection counts against the share until it has ended.
func (p *Pool) replaceConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markUnusable(c)
	p.dialMissing()
}

func (p *Pool) markUnusable(c *conn) {
	if p.conns[c] {
		p.conns[c] = false
		p.usable--
	}
}

// handleConnEnd removes a connection that has ended.
func (p *Pool) handleConnEnd(c *conn) {
	p.mu.Lock()
	p.markUnusable(c)
	delete(p.conns, c)
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	broken := c.brokenByTarget() && p.ctx.Err() == nil
	if broken {
		p.counts.Broken++
	} else {
		p.counts.Abandoned++
	}
	if len(p.waiters) > 0 || !broken {
		p.dialMissing()
	}
	p.failWaiters()
	p.mu.Unlock()
	if broken {
		p.events.Broken(time.Now())
	}
}

// failWaiters fails waiting requests if no connection is being dialed: all of them if the
// pool has no connection, and those that may not be repeated also if a connection is idle,
// because an idle one was not live enough for them. Connections in use or being probed are
// not considered for the latter. The caller holds p.mu.
func (p *Pool) failWaiters() {
	if p.dialing > 0 {
		return
	}
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		fails := len(p.conns) == 0 || w.once && len(p.idle) > 0
		if fails {
			close(w.ready)
		}
		return fails
	})
}

// cancelWait removes a waiting request whose context ended. A connection that the request
// has already received returns to the pool.
func (p *Pool) cancelWait(w *waiter) {
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
