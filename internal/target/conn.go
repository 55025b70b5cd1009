package target

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
)

// releaseTimeout is how long an abandoned connection waits for the target to close it.
// After that this side closes the connection, because either the connection is silent
// or the target has not detected the end of the request.
const releaseTimeout = time.Second // a busy target detected the end of a request up to 346 ms late

// readBufferSize, in bytes, holds the head and body of a typical answer.
const readBufferSize = 4 << 10

// maxPreallocatedBytes limits the buffer that is allocated by the content length of an
// answer; the buffer of a longer answer grows as bytes arrive.
const maxPreallocatedBytes = 64 << 10

// closeDetectionDelay is the time from a close that the target cannot confirm, because
// both directions were closed at once, until the connection counts as ended. The target
// is assumed to detect the close within this time.
const closeDetectionDelay = 50 * time.Millisecond

var (
	errClosedBeforeSend = errors.New("the connection closed before the request was sent")
	errSilent           = errors.New("the target sent no answer within the progress timeout")
	errUnsolicited      = errors.New("the target sent data while no request was pending")
)

// conn is one connection to a target. It carries at most one request at a time.
type conn struct {
	nc               net.Conn
	in               *httpanswer.Reader // reads from nc
	bw               *bufio.Writer
	replies          chan reply
	ended            chan struct{} // closed when the connection has ended
	onEnd            func(*conn)
	pending          atomic.Pointer[http.Request] // the request that waits for its answer
	closeExpected    atomic.Bool                  // this side closed the connection, or the target announced its close
	closeUnconfirmed atomic.Bool                  // closed without a confirmation by the target
	once             sync.Once
	bootID           string    // identifier of the target's process; set before the connection carries requests
	lastAnswer       time.Time // guarded by the pool's mutex
}

type reply struct {
	resp *http.Response
	err  error
}

func newConn(nc net.Conn, onEnd func(*conn)) *conn {
	c := &conn{
		nc: nc, in: httpanswer.NewReader(nc, readBufferSize), bw: bufio.NewWriter(nc), onEnd: onEnd,
		replies: make(chan reply, 1), ended: make(chan struct{}),
	}
	go c.read()
	return c
}

// read delivers answers until the connection ends. It also reads while the connection is
// idle, so that a close by the target is detected before the next request is sent.
func (c *conn) read() {
	err := c.readAnswers()
	c.close()
	select {
	case c.replies <- reply{err: err}:
	default:
	}
	if c.closeUnconfirmed.Load() {
		time.Sleep(closeDetectionDelay)
	}
	close(c.ended)
	c.onEnd(c)
}

func (c *conn) readAnswers() error {
	for {
		if _, err := c.in.Peek(1); err != nil {
			return err
		}
		req := c.pending.Load()
		if req == nil {
			return errUnsolicited
		}
		resp, err := c.readAnswer(req)
		if err != nil {
			return err
		}
		c.pending.Store(nil)
		c.replies <- reply{resp: resp}
		if resp.Close {
			c.closeExpected.Store(true) // the target announced the close, so the connection is not broken
			return io.EOF
		}
	}
}

// readAnswer reads one answer with its body.
func (c *conn) readAnswer(req *http.Request) (*http.Response, error) {
	resp, err := c.in.ReadAnswer(req)
	if err != nil {
		return nil, err
	}
	data, err := readBody(resp)
	if err != nil {
		return nil, err
	}
	if len(data) > maxAnswerBytes {
		resp.Close = true // the rest of the body is unread, so the connection cannot be reused
	}
	body := &bufferedBody{data: data}
	body.Reset(data)
	resp.Body = body
	return resp, nil
}

// bufferedBody is a response body that has been read completely.
type bufferedBody struct {
	bytes.Reader
	data []byte
}

func (*bufferedBody) Close() error { return nil }

// readBody reads a body up to one byte more than maxAnswerBytes. A bufferedBody is not
// copied. For a known length up to maxPreallocatedBytes, the buffer is allocated once.
func readBody(resp *http.Response) ([]byte, error) {
	if body, ok := resp.Body.(*bufferedBody); ok {
		return body.data, nil
	}
	if resp.ContentLength < 0 || resp.ContentLength > maxPreallocatedBytes {
		return io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	}
	data := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, data)
	return data, err
}

// roundTrip sends a request and waits for its answer, until the context ends and at most
// for progressTimeout. A failure ends the connection. After every error except errClosedBeforeSend, bytes of the
// request may have been sent.
func (c *conn) roundTrip(ctx context.Context, req *http.Request, progressTimeout time.Duration) (*http.Response, error) {
	select {
	case <-c.ended:
		return nil, errClosedBeforeSend
	default:
	}
	timer := time.NewTimer(progressTimeout)
	defer timer.Stop()
	c.pending.Store(req)
	_ = c.nc.SetWriteDeadline(time.Now().Add(progressTimeout))
	err := req.Write(c.bw)
	if err == nil {
		err = c.bw.Flush()
	}
	if err != nil {
		c.abandon()
		if errors.Is(err, os.ErrDeadlineExceeded) { // this side's own limit: the connection is not broken
			return nil, errSilent
		}
		return nil, err
	}
	select {
	case r := <-c.replies:
		return r.resp, r.err
	case <-ctx.Done():
		c.abandon()
		return nil, ctx.Err()
	case <-timer.C:
		c.abandon()
		return nil, errSilent
	}
}

// abandon ends a connection that carries a request. It closes the sending side, by which
// the target detects that the request was canceled, and keeps the receiving side open
// until the target closes the connection or answers, but at most for releaseTimeout. A
// close or an answer by the target shows that the slot is free.
func (c *conn) abandon() {
	c.closeExpected.Store(true)
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		c.closeUnconfirmed.Store(true)
		c.close()
		return
	}
	timer := time.AfterFunc(releaseTimeout, c.close)
	go func() {
		select {
		case <-c.replies: // the answer is discarded
			c.close()
		case <-c.ended:
		}
		timer.Stop()
	}()
}

func (c *conn) close() {
	c.once.Do(func() { _ = c.nc.Close() })
}

// brokenByTarget reports whether the connection ended without a close by this side and
// without an announcement by the target.
func (c *conn) brokenByTarget() bool { return !c.closeExpected.Load() }

// closeIdle closes a connection that carries no request.
func (c *conn) closeIdle() {
	c.closeExpected.Store(true)
	c.close()
}
