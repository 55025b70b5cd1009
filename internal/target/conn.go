package target

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// releaseLimit is how long a connection that was given up waits for the target
// to close it. A target that has not noticed the end by then, or a silent
// connection, is cut off.
const releaseLimit = time.Second // a busy target noticed the end of a request up to 346 ms late

// maxKnownBytes bounds the buffer that is allocated because a target states a
// length; longer answers get theirs as they arrive.
const maxKnownBytes = 64 << 10

// noticeTime is the time given to the target to notice a close if only the whole
// connection can be closed, so that the target cannot show that it has.
const noticeTime = 50 * time.Millisecond

var (
	errEnded       = errors.New("the connection ended before the request was sent")
	errNoProgress  = errors.New("no progress on the connection")
	errUnsolicited = errors.New("the target sent data without a request")
)

// conn is one connection to a target. At most one request is on it at a time.
type conn struct {
	nc     net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	reply  chan reply
	ended  chan struct{} // closed when the connection carries nothing any more
	onEnd  func(*conn)
	asked  atomic.Pointer[http.Request] // the request whose answer is awaited
	ours   atomic.Bool                  // this side ended the connection
	blind  atomic.Bool                  // closed without a sign from the target
	once   sync.Once
	boot   string    // process at the other end; set before the connection is used
	proven time.Time // last answer; guarded by the pool
}

type reply struct {
	resp *http.Response
	err  error
}

func newConn(nc net.Conn, onEnd func(*conn)) *conn {
	c := &conn{
		nc: nc, br: bufio.NewReader(nc), bw: bufio.NewWriter(nc), onEnd: onEnd,
		reply: make(chan reply, 1), ended: make(chan struct{}),
	}
	go c.read()
	return c
}

// read delivers answers until the connection ends. It also runs while the
// connection is idle, so that a break is noticed at once and not by the next
// request.
func (c *conn) read() {
	err := c.readAnswers()
	c.close()
	select {
	case c.reply <- reply{err: err}:
	default:
	}
	if c.blind.Load() {
		time.Sleep(noticeTime)
	}
	close(c.ended)
	c.onEnd(c)
}

func (c *conn) readAnswers() error {
	for {
		if _, err := c.br.Peek(1); err != nil {
			return err
		}
		req := c.asked.Load()
		if req == nil {
			return errUnsolicited
		}
		resp, err := readAnswer(c.br, req)
		if err != nil {
			return err
		}
		c.asked.Store(nil)
		c.reply <- reply{resp: resp}
		if resp.Close {
			c.ours.Store(true) // an orderly end, not a break
			return io.EOF
		}
	}
}

// readAnswer reads one final answer with its body.
func readAnswer(br *bufio.Reader, req *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(br, req)
	for err == nil && resp.StatusCode < http.StatusOK {
		resp, err = http.ReadResponse(br, req)
	}
	if err != nil {
		return nil, err
	}
	data, err := readBody(resp)
	if err != nil {
		return nil, err
	}
	if len(data) > maxAnswerBytes {
		resp.Close = true // the rest stays unread, so the connection is of no further use
	}
	body := &bufferedBody{data: data}
	body.Reset(data)
	resp.Body = body
	return resp, nil
}

// bufferedBody is a body that has been read from its connection.
type bufferedBody struct {
	bytes.Reader
	data []byte
}

func (*bufferedBody) Close() error { return nil }

// readBody reads a body up to one byte more than the limit. One that was read
// before is not copied, and one whose length is known gets a buffer of its size.
func readBody(resp *http.Response) ([]byte, error) {
	if body, ok := resp.Body.(*bufferedBody); ok {
		return body.data, nil
	}
	if resp.ContentLength < 0 || resp.ContentLength > maxKnownBytes {
		return io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	}
	data := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, data)
	return data, err
}

// exchange sends a request and waits for its answer, at most for progress. An
// exchange that fails ends the connection. Unless it returns errEnded, bytes of
// the request may have been sent.
func (c *conn) exchange(ctx context.Context, req *http.Request, progress time.Duration) (*http.Response, error) {
	select {
	case <-c.ended:
		return nil, errEnded
	default:
	}
	timer := time.NewTimer(progress)
	defer timer.Stop()
	c.asked.Store(req)
	_ = c.nc.SetWriteDeadline(time.Now().Add(progress))
	err := req.Write(c.bw)
	if err == nil {
		err = c.bw.Flush()
	}
	if err != nil {
		c.giveUp()
		return nil, err
	}
	select {
	case r := <-c.reply:
		return r.resp, r.err
	case <-ctx.Done():
		c.giveUp()
		return nil, ctx.Err()
	case <-timer.C:
		c.giveUp()
		return nil, errNoProgress
	}
}

// giveUp ends the connection under a request. It closes the sending side, which
// tells the target that nobody waits, and keeps the receiving side open until
// the target closes it or answers: only then is its slot known to be free.
func (c *conn) giveUp() {
	c.ours.Store(true)
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		c.blind.Store(true)
		c.close()
		return
	}
	timer := time.AfterFunc(releaseLimit, c.close)
	go func() {
		select {
		case <-c.reply: // too late for anybody
			c.close()
		case <-c.ended:
		}
		timer.Stop()
	}()
}

func (c *conn) close() {
	c.once.Do(func() { _ = c.nc.Close() })
}

// broken reports whether the target, not this side, ended the connection.
func (c *conn) broken() bool { return !c.ours.Load() }

// closeQuietly ends a connection without a request on it.
func (c *conn) closeQuietly() {
	c.ours.Store(true)
	c.close()
}
