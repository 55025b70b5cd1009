package target

import (
	"context"
	"net/http"
	"time"
)

// lease binds a client to one connection of a pool for one request.
type lease struct {
	pool     *Pool
	conn     *conn
	progress time.Duration
	reusable bool
}

func (p *Pool) client(c *conn) *Client {
	l := &lease{pool: p, conn: c, reusable: true}
	return &Client{base: "http://" + p.address, transport: l, lease: l}
}

// RoundTrip sends the request on the connection of the lease.
func (l *lease) RoundTrip(req *http.Request) (*http.Response, error) {
	progress := l.progress
	if deadline, ok := req.Context().Deadline(); ok && progress == 0 {
		progress = time.Until(deadline)
	}
	if progress <= 0 {
		progress = dialLimit
	}
	resp, err := l.conn.exchange(req.Context(), req, progress)
	if err != nil {
		l.reusable = false
		l.pool.giveUp(l.conn)
		return nil, err
	}
	l.pool.answered(l.conn)
	l.reusable = !resp.Close
	return resp, nil
}

// SetProgressTimeout sets how long the request may be without an answer until the
// connection counts as silent and is closed; 0 leaves it to the deadline.
func (c *Client) SetProgressTimeout(limit time.Duration) { c.lease.progress = limit }

// BootID returns the target's process at the other end of the connection, as
// it said in the answer to the probe.
func (c *Client) BootID() string { return c.lease.conn.boot }

// Probe asks the target for its state on the connection of the client. After
// an error the client is of no further use.
func (c *Client) Probe(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	err := c.lease.pool.prove(c.lease.conn, probeLimit)
	c.lease.reusable = err == nil
	return err
}

// Release returns the connection to the pool. The channel is closed when the
// target has ended the request, so that its slot is free again.
func (c *Client) Release() <-chan struct{} {
	if c.lease.reusable {
		c.lease.pool.put(c.lease.conn)
		return released
	}
	return c.lease.conn.ended
}

// Discard closes the connection without having used it.
func (c *Client) Discard() {
	c.lease.reusable = false
	c.lease.conn.closeQuietly()
	c.lease.pool.giveUp(c.lease.conn)
}

// released is the channel of requests that the target has answered.
var released = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
