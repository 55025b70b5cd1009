package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// readBuffer holds the head and body of a usual part.
	readBuffer = 4 << 10
	// maxBody bounds the answer of a target.
	maxBody = 8 << 20
	// maxForeign is the number of answers to other requests that are skipped while
	// waiting for one.
	maxForeign = 4
	// blockingBody is the size from which a body is written beside reading: the
	// target may answer before it has read it all.
	blockingBody = 16 << 10
	// lateAnswer is the time after the deadline for which an answer is awaited: the
	// target ends its work at the deadline and says so.
	lateAnswer = 20 * time.Millisecond
)

var (
	errForeign = errors.New("answers to other requests came instead of this one's")
	errTooLong = errors.New("the answer is too long")
	errEncoded = errors.New("the answer has an encoding that was not asked for")
	errNoProof = errors.New("the answer has no digest")
)

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	nc      *net.TCPConn
	raw     syscall.RawConn
	br      *bufio.Reader
	used    time.Time     // end of the last answer, or when it was opened
	keepFor time.Duration // how long the target keeps it idle
	asked   bool          // the target asked to close it
}

func newConn(nc *net.TCPConn, now time.Time) (*conn, error) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &conn{nc: nc, raw: raw, br: bufio.NewReaderSize(nc, readBuffer), used: now}, nil
}

// quiet reports whether the connection is open and nothing came over it while it
// was idle. Bytes that came then belong to no request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	var one [1]byte
	quiet := false
	// Control, because Read fails once the deadline of the last request has passed.
	err := c.raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}

// fresh reports whether an idle connection is young enough to be used.
func (c *conn) fresh(now time.Time, limit time.Duration) bool {
	if c.keepFor > 0 {
		limit = min(limit, c.keepFor-c.keepFor/4)
	}
	return now.Sub(c.used) < limit
}

// exchange sends a request and reads its answer. It reports whether the
// connection may carry another request.
func (c *conn) exchange(ctx context.Context, codec Codec, head, body []byte, method, id string, until time.Time) (Result, bool) {
	sent := time.Now()
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	_ = c.nc.SetDeadline(until.Add(lateAnswer))
	if ctx.Err() != nil {
		return Result{Kind: NotSent, Err: ctx.Err()}, false
	}
	written := make(chan error, 1)
	if len(body) > blockingBody {
		go func() { written <- c.write(head, body) }()
	} else {
		written <- c.write(head, body)
	}
	result, clean := c.answer(codec, method, id)
	result.Duration = time.Since(sent)
	select {
	case err := <-written:
		clean = clean && err == nil
	default:
		clean = false // the target answered before it had read the body
	}
	if result.Kind == Broken {
		result.Kind = c.why(ctx, result.Err)
	}
	return result, clean && stop()
}

// why tells a broken connection from an answer that did not come in time.
func (c *conn) why(ctx context.Context, err error) Kind {
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

func (c *conn) write(head, body []byte) error {
	buffers := net.Buffers{head, body}
	if len(body) == 0 {
		buffers = buffers[:1]
	}
	_, err := buffers.WriteTo(c.nc)
	return err
}

// answer reads the answer to the request with an id, skipping those to others.
func (c *conn) answer(codec Codec, method, id string) (Result, bool) {
	clean := true
	for range maxForeign {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return Result{Err: err}, false
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(resp)
		if err != nil {
			return Result{Err: err}, false
		}
		head := codec.Decode(resp)
		if head.ID != "" && head.ID != id {
			clean = false
			continue
		}
		c.keepFor, c.asked = head.IdleTimeout, resp.Close
		clean = clean && !resp.Close && c.br.Buffered() == 0
		return classify(resp, head, body), clean
	}
	return Result{Err: errForeign}, false
}

func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxBody {
		return nil, errTooLong
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if len(body) > maxBody {
		return nil, errTooLong
	}
	return body, err
}

func classify(resp *http.Response, head Head, body []byte) Result {
	r := Result{Kind: Failure, Status: resp.StatusCode, Header: resp.Header, Head: head, Body: body}
	switch {
	case head.WrongTarget:
		r.Kind = WrongTarget
	case head.NotRun:
		r.Kind = Refused
	case head.UnexpectedEncoding:
		return Result{Err: errEncoded}
	case resp.StatusCode/100 == 2 && head.Digest == "":
		return Result{Err: errNoProof}
	case resp.StatusCode/100 == 2:
		r.Kind = Success
	}
	return r
}
