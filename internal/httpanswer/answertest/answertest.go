// Package answertest has a server of raw bytes and malformed answers, for tests of clients.
package answertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Sound returns an answer with a body.
func Sound(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Malformed returns texts that the parser of net/http takes as answers with a body although
// they are none, by what is wrong with them.
func Malformed(body string) map[string]string {
	length, chunks := fmt.Sprintf("Content-Length: %d\r\n", len(body)), fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	return map[string]string{
		"status 000":                     "HTTP/1.1 000 OK\r\n" + length + "\r\n" + body,
		"status 999":                     "HTTP/1.1 999 OK\r\n" + length + "\r\n" + body,
		"status 101":                     "HTTP/1.1 101 OK\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + Sound(body),
		"a NUL in the reason":            "HTTP/1.1 200 \x00\r\n" + length + "\r\n" + body,
		"a space in a name":              "HTTP/1.1 200 OK\r\n" + length + "X A: b\r\n\r\n" + body,
		"a space after the length":       "HTTP/1.1 200 OK\r\nContent-Length : 1\r\nConnection: close\r\n\r\n" + body,
		"a malformed interim head":       "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + Sound(body),
		"a coding and a length":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + length + "\r\n" + chunks + "\r\n",
		"a space in a trailer":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "X A: b\r\n\r\n",
		"a space in a refusal":           "HTTP/1.1 503 Full\r\n" + length + "X A: b\r\n\r\n" + body,
		"a space in a status of absence": "HTTP/1.1 410 Gone\r\n" + length + "X A: b\r\n\r\n" + body,
	}
}

// Server answers every request with the text of a function. It is safe for concurrent use if
// the function is.
type Server struct {
	net.Listener
	Accepted atomic.Int64 // connections
	text     func(*http.Request) string
	closes   bool
}

// NewServer starts a Server on a free loopback port. It ends each connection after one answer
// if closes is set.
func NewServer(text func(*http.Request) string, closes bool) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Listener: l, text: text, closes: closes}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.Accepted.Add(1)
			go s.serve(c)
		}
	}()
	return s, nil
}

// Address returns the IP address and port.
func (s *Server) Address() string { return s.Addr().String() }

// serve answers the requests on a connection.
func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := io.WriteString(c, s.text(r)); err != nil || s.closes {
			return
		}
	}
}
