package backend

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
)

const (
	// readBufferSize, in bytes, holds the head and body of a typical answer.
	readBufferSize = 4 << 10
	// maxResponses bounds the answers read for one request, including those to other
	// requests.
	maxResponses = 4
	// asyncBodyBytes is the size above which a body is written while the answer is
	// read, because the target may answer before it has read the whole body.
	asyncBodyBytes = 16 << 10
	// lateAnswerGrace is how long after the deadline an answer is still read: a target
	// stops its work at the deadline and then answers.
	lateAnswerGrace = 20 * time.Millisecond
)

var (
	errMismatched         = errors.New("received answers to other requests only")
	errUnexpectedEncoding = errors.New("answer has a content encoding that was not requested")
	errNoDigest           = errors.New("answer has no digest")
)

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	nc             *net.TCPConn
	raw            syscall.RawConn
	in             *httpanswer.Reader // reads from nc
	lastUsed       time.Time          // end of the last answer, or when the connection was opened
	idleTimeout    time.Duration      // how long the target keeps the connection open while idle; 0 if not stated
	closeRequested bool               // the target requested the close of the connection
}

// newConn returns the conn of a TCP connection opened at now.
func newConn(nc *net.TCPConn, now time.Time) (*conn, error) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &conn{nc: nc, raw: raw, in: httpanswer.NewReader(nc, readBufferSize), lastUsed: now}, nil
}

// isIntact reports whether the connection is open and received no bytes while it was
// idle. Such bytes belong to no request.
func (c *conn) isIntact() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	var one [1]byte
	intact := false
	// Control instead of Read, because Read fails once the deadline of the last request
	// has passed.
	err := c.raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		intact = err == syscall.EAGAIN
	})
	return err == nil && intact
}

// isFresh reports whether a connection has been idle for less than limit and for less
// than the target keeps it open.
func (c *conn) isFresh(now time.Time, limit time.Duration) bool {
	kept := maxIdleUnstated
	if c.idleTimeout > 0 {
		kept = c.idleTimeout - min(c.idleTimeout/4, idleReserve)
	}
	return now.Sub(c.lastUsed) < min(limit, kept)
}

// roundTrip sends a request and reads its answer. It also reports whether the connection
// may carry another request.
func (c *conn) roundTrip(ctx context.Context, shared *Shared, head []byte, r *Request, deadline time.Time) (Result, bool) {
	started := time.Now()
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	_ = c.nc.SetDeadline(deadline.Add(lateAnswerGrace))
	if ctx.Err() != nil {
		return Result{Kind: NotSent, Err: ctx.Err()}, false
	}
	written := make(chan error, 1)
	if len(r.Body) > asyncBodyBytes {
		go func() { written <- c.write(head, r.Body) }()
	} else {
		written <- c.write(head, r.Body)
	}
	result, reusable := c.readAnswer(shared, r)
	result.Duration = time.Since(started)
	select {
	case err := <-written:
		reusable = reusable && err == nil
	default:
		reusable = false // the target answered before it had read the body
	}
	if result.Kind == Broken && !result.LocalCause {
		result.Kind = c.kindOfError(ctx, result.Err)
	}
	return result, reusable && stop()
}

// kindOfError distinguishes cancellation and timeout from a broken connection.
func (c *conn) kindOfError(ctx context.Context, err error) Kind {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return Canceled
	case errors.As(err, &timeout) && timeout.Timeout():
		return TimedOut
	default:
		return Broken
	}
}

// abortRead ends the read of an answer.
func (c *conn) abortRead() { _ = c.nc.SetReadDeadline(time.Unix(1, 0)) }

// write writes the head and the body of a request.
func (c *conn) write(head, body []byte) error {
	buffers := net.Buffers{head, body}
	if len(body) == 0 {
		buffers = buffers[:1]
	}
	_, err := buffers.WriteTo(c.nc)
	return err
}

// readAnswer reads the answer to the request with the given ID and skips answers to
// other requests. Without a valid answer, the result is Broken and has an error. It also
// reports whether the connection may carry another request.
func (c *conn) readAnswer(shared *Shared, r *Request) (Result, bool) {
	reusable := true
	for range maxResponses {
		resp, err := c.in.ReadAnswer(&http.Request{Method: r.Method})
		if err != nil {
			return Result{Err: err}, false
		}
		body := bodyReader{conn: c, resp: resp, bodies: shared.Bodies, compact: r.Compact}
		if err := body.read(); err != nil {
			body.hold.release()
			return Result{Err: err, LocalCause: errors.Is(err, errNoMemory)}, false
		}
		head := shared.Codec.Decode(resp)
		if head.ID != r.ID {
			body.hold.release()
			reusable = false
			continue
		}
		c.idleTimeout, c.closeRequested = head.IdleTimeout, resp.Close
		reusable = reusable && !resp.Close && c.in.Buffered() == 0
		return resultOf(resp, head, body.bytes, body.hold), reusable
	}
	return Result{Err: errMismatched}, false
}

// resultOf classifies a complete answer. Unless the target did not run the request, the
// result is Broken for an encoding that was not requested and for a 2xx answer without
// a digest.
func resultOf(resp *http.Response, head Head, body []byte, hold *Hold) Result {
	r := Result{Kind: Failure, Status: resp.StatusCode, Header: resp.Header, Head: head, Body: body, Hold: hold}
	switch {
	case head.WrongTarget:
		r.Kind = WrongTarget
	case head.NotRun:
		r.Kind = Refused
	case head.UnexpectedEncoding:
		r.Release()
		return Result{Head: head, Err: errUnexpectedEncoding}
	case resp.StatusCode/100 == 2 && head.Digest == "":
		r.Release()
		return Result{Head: head, Err: errNoDigest}
	case resp.StatusCode/100 == 2:
		r.Kind = Success
	}
	return r
}
