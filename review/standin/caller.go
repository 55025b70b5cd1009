package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	hostName  = "hufi27.example"
	timeLimit = 4 * time.Second
)

// caller is a consumer with one connection, which it keeps for many requests.
type caller struct {
	conn *net.TCPConn
	in   *bufio.Reader
}

// reply is what a caller saw of one request.
type reply struct {
	status int // 0 if the connection ended, or the time was over, without a complete answer
	stamp  string
	body   string
	// parts and missing are the headers of an answer from many shards.
	parts, missing string
	err            error
	at             time.Time
}

func (r reply) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer (%v)", r.err)
	}
	return fmt.Sprintf("status %d, Server-Stamp %q, %d bytes", r.status, r.stamp, len(r.body))
}

func connect(address string) (*caller, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{conn: c.(*net.TCPConn), in: bufio.NewReader(c)}, nil
}

// head returns the head of a request without a body.
func head(method, path, id string, limit time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", method, path, hostName, id, limit.Milliseconds())
}

func (c *caller) write(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// read reads the answer to a request with the given method.
func (c *caller) read(method string, limit time.Duration) reply {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return reply{err: err, at: time.Now()}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err, at: time.Now()}
	}
	return reply{status: resp.StatusCode, stamp: resp.Header.Get("Server-Stamp"), body: string(body), parts: strings.Join(resp.Header["Part-Stamps"], ", "), missing: resp.Header.Get("Missing-Parts"), at: time.Now()}
}

// call sends a request without a body and reads its answer.
func (c *caller) call(path, id string, limit time.Duration) reply {
	if err := c.write(head(http.MethodGet, path, id, limit)); err != nil {
		return reply{err: err, at: time.Now()}
	}
	return c.read(http.MethodGet, limit+time.Second)
}
