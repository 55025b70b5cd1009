package httpanswer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// DefaultTransport is http.DefaultTransport with the rules of this package.
var DefaultTransport = NewTransport(http.DefaultTransport.(*http.Transport).Clone())

// Transport is an http.RoundTripper that returns an ErrMalformed for bytes that are no answer.
// It bounds heads by MaxHeadBytes. Over TLS it does not see fields that the parser of net/http
// ignores. It is safe for concurrent use.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that uses base, which must not be used otherwise. A
// MaxResponseHeaderBytes of base that is not 0 is kept.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &recordedConn{Conn: c}, nil
	}
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = MaxHeadBytes
	}
	return &Transport{base}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *recordedConn // nil over TLS
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, _ = info.Conn.(*recordedConn); conn != nil {
			conn.begin()
		}
	}}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if conn != nil {
		err = checkHeads(conn.end())
	} else {
		err = checkParsed(resp)
	}
	if err != nil {
		_ = resp.Body.Close()
		if conn != nil {
			_ = conn.Close() // it would be used again if the body is empty
		}
		return nil, err
	}
	return withTrailerCheck(resp, nil), nil
}

// recordedConn is a connection of a Transport. From the start of a request to the head of its
// answer it keeps what it reads.
type recordedConn struct {
	net.Conn
	mu        sync.Mutex
	recording bool
	recorded  []byte
}

// begin begins to keep what is read.
func (c *recordedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recording, c.recorded = true, nil
}

// end returns what was read, which begins with the heads, and keeps no more.
func (c *recordedConn) end() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	recorded := c.recorded
	c.recording, c.recorded = false, nil
	return recorded
}

// Read implements net.Conn.
func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recording {
		c.recorded = append(c.recorded, p[:n]...)
	}
	return n, err
}
