package httpanswer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// DefaultTransport is http.DefaultTransport with the rules of this package.
var DefaultTransport = NewTransport(http.DefaultTransport.(*http.Transport).Clone())

// Transport is an http.RoundTripper that returns an ErrMalformed for bytes that are no answer.
// It bounds heads by MaxHeadBytes and speaks HTTP/1.1 only. Behind a proxy it does not see, over
// TLS, fields that the parser of net/http ignores. It is safe for concurrent use.
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
		return &checkedConn{Conn: c}, nil
	}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return handshake(ctx, c, base, address)
	}
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = MaxHeadBytes
	}
	return &Transport{base}
}

// handshake returns a checked connection over TLS, or closes c.
func handshake(ctx context.Context, c net.Conn, base *http.Transport, address string) (net.Conn, error) {
	config := base.TLSClientConfig.Clone() // nil if there is none
	if config == nil {
		config = &tls.Config{}
	}
	config.NextProtos = []string{"http/1.1"}
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address) // net/http always adds a port
	}
	if base.TLSHandshakeTimeout > 0 {
		limited, cancel := context.WithTimeout(ctx, base.TLSHandshakeTimeout)
		defer cancel()
		ctx = limited
	}
	secure := tls.Client(c, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return &checkedConn{Conn: secure}, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *checkedConn // nil over TLS behind a proxy
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, _ = info.Conn.(*checkedConn); conn != nil {
			conn.begin()
		}
	}}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	switch {
	case err != nil:
		return nil, err
	case conn != nil:
		err = conn.end()
	default:
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

// checkedConn is a connection of a Transport. From the start of a request to the head of its
// answer it checks what it reads.
type checkedConn struct {
	net.Conn
	mu      sync.Mutex
	inHeads bool
	head    headScanner
}

// begin begins to check what is read.
func (c *checkedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHeads = true
	c.head.reset()
}

// end returns the error of the heads, and checks no more.
func (c *checkedConn) end() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHeads = false
	return c.head.result()
}

// fault returns the error of the heads so far.
func (c *checkedConn) fault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHeads {
		return nil
	}
	return c.head.err
}

// Read implements net.Conn. It returns a malformed line before the error: net/http takes an
// error without bytes for a connection that was closed while idle, and sends the request again.
func (c *checkedConn) Read(p []byte) (int, error) {
	if err := c.fault(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHeads {
		c.head.scan(p[:n])
	}
	return n, err
}
