package target

import (
	"context"
	"net/http"
	"time"
)

// lease binds a client to one connection of a pool for one request.
type lease struct {
	pool            *Pool
	conn            *conn
	progressTimeout time.Duration // 0 for the time until the deadline, or dialTimeout without one
	reusable        bool
}

func (p *Pool) client(c *conn) *Client {
	l := &lease{pool: p, conn: c, reusable: true}
	return &Client{base: "http://" + p.address, transport: l, lease: l}
}

// RoundTrip sends the request on the leased connection.
func (l *lease) RoundTrip(req *http.Request) (*http.Response, error) {
	progressTimeout := l.progressTimeout
	if deadline, ok := req.Context().Deadline(); ok && progressTimeout == 0 {
		progressTimeout = time.Until(deadline)
	}
	if progressTimeout <= 0 {
		progressTimeout = dialTimeout
	}
	resp, err := l.conn.roundTrip(req.Context(), req, progressTimeout)
	if err != nil {
		l.reusable = false
		l.pool.replaceConn(l.conn)
		return nil, err
	}
	l.pool.recordAnswer(l.conn)
	l.reusable = !resp.Close
	return resp, nil
}

// SetProgressTimeout sets how long the request waits for an answer until the connection
// counts as silent and is closed; 0 means until the deadline, or dialTimeout without one.
// Like BootID, Probe, Release and Discard, it is only for a client from Pool.Acquire.
func (c *Client) SetProgressTimeout(limit time.Duration) { c.lease.progressTimeout = limit }

// BootID returns the identifier of the target's process at the other end of the
// connection, which the target reported in the answer to the last probe.
func (c *Client) BootID() string { return c.lease.conn.bootID }

// Probe requests the target's state on the connection of the client. After an error the
// client can only be released.
func (c *Client) Probe(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	err := c.lease.pool.probeConn(c.lease.conn, probeTimeout)
	c.lease.reusable = err == nil
	return err
}

// Release returns the connection to the pool, or leaves it to be closed if it cannot be
// reused. The channel is closed when the target has ended the request, so that its slot
// is free again.
func (c *Client) Release() <-chan struct{} {
	if c.lease.reusable {
		c.lease.pool.put(c.lease.conn)
		return released
	}
	return c.lease.conn.ended
}

// Discard closes the connection instead of returning it to the pool, which dials another
// one if it needs one and its share allows.
func (c *Client) Discard() {
	c.lease.reusable = false
	c.lease.conn.closeIdle()
	c.lease.pool.replaceConn(c.lease.conn)
}

// released is the closed channel that Release returns after the target answered.
var released = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
