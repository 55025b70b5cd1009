// Package platform reads what the organisation's platform publishes: the
// configuration document and the host list. It never writes.
//
// Both are HTTP resources with a version in the ETag header. A read with
// ?after=VERSION&wait_ms=N waits until a newer version exists and answers 304
// when the wait ends without one. A value may be sent with the content coding
// gzip, which the client asks for: the configuration of 6,800 targets has 0.8 MB,
// and read whole for each change it would exceed the control budget of a host.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// WatchWait is how long one watch call waits at the service. Each call counts
// against the service's read budget, so it is long.
const WatchWait = 20 * time.Second

const (
	maxValueBytes = 1 << 20
	retryPause    = 500 * time.Millisecond // wait after a failed read
)

// ErrUnchanged says that no newer version exists.
var ErrUnchanged = errors.New("no newer version")

// Client reads one published value.
type Client struct {
	url   string
	http  *http.Client
	reads atomic.Uint64
	bytes atomic.Uint64
}

// NewClient returns a client for the value at a URL.
func NewClient(url string) *Client {
	c := &Client{url: url}
	// The transport asks for gzip and decodes it, because DisableCompression is
	// not set.
	c.http = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 4, DialContext: c.dial}}
	return c
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: &c.bytes}, nil
}

// countedConn counts the bytes that are received.
type countedConn struct {
	net.Conn
	bytes *atomic.Uint64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(uint64(n))
	return n, err
}

// Reads returns the number of calls so far; a waiting one counts as one.
func (c *Client) Reads() uint64 { return c.reads.Load() }

// BytesRead returns the bytes received so far, with HTTP headers and as they
// were sent, that is compressed if the service compresses.
func (c *Client) BytesRead() uint64 { return c.bytes.Load() }

// Get reads the value. With after > 0 it waits up to wait for a version above
// after and returns ErrUnchanged if there is none.
func (c *Client) Get(ctx context.Context, after uint64, wait time.Duration) (data []byte, version uint64, err error) {
	url := c.url
	if after > 0 {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", c.url, after, wait.Milliseconds())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, 0, errors.Wrap(err, "platform request")
	}
	c.reads.Add(1)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, errors.Wrap(err, "read from platform")
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxValueBytes+1)) // the limit is on the decoded value
	switch {
	case err != nil:
		return nil, 0, errors.Wrap(err, "read from platform")
	case resp.StatusCode == http.StatusNotModified:
		return nil, 0, ErrUnchanged
	case resp.StatusCode != http.StatusOK:
		return nil, 0, errors.Newf("platform answered %s", resp.Status)
	case len(data) > maxValueBytes:
		return nil, 0, errors.Newf("platform value exceeds %d bytes", maxValueBytes)
	}
	if version, err = parseETag(resp.Header.Get("ETag")); err != nil {
		return nil, 0, err
	}
	return data, version, nil
}

// parseETag returns the version in an entity tag. Servers that compress mark
// the tag of the coded form as weak or add the coding to it (RFC 9110, 8.8.3.3),
// so W/"7" and "7-gzip" are version 7 as well.
func parseETag(tag string) (uint64, error) {
	text := strings.Trim(strings.TrimPrefix(tag, "W/"), `"`)
	for _, separator := range []string{"-", ";", ":"} {
		text = strings.TrimSuffix(text, separator+"gzip")
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return version, errors.Wrapf(err, "platform ETag %q is not a version", tag)
}

// Watch waits for values above the version that known returns and passes each
// to offer until the context ends. A value that offer refuses is not read
// again; the next version is awaited. answered is told when each answered call
// began, also if it brought nothing new.
func (c *Client) Watch(ctx context.Context, known func() uint64, offer func(data []byte), answered func(began time.Time)) {
	defer c.http.CloseIdleConnections()
	var seen uint64
	for ctx.Err() == nil {
		began := time.Now()
		data, version, err := c.Get(ctx, max(seen, known()), WatchWait)
		switch {
		case errors.Is(err, ErrUnchanged):
			answered(began)
		case err != nil:
			pause(ctx, retryPause)
		default:
			offer(data)
			answered(began)
			if version <= seen {
				pause(ctx, retryPause) // a service that ignores the version must not be read in a loop
			}
			seen = max(seen, version)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// HostState is a host's state in the host list.
type HostState string

// Host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostList is the published list of live and leaving hosts. It lags.
type HostList struct {
	Version uint64        `json:"version"`
	Hosts   []Host        `json:"hosts"`
	Targets []TargetState `json:"targets,omitempty"` // targets that are leaving
}

// Host is one host of the tier.
type Host struct {
	Name    string    `json:"name"`
	Place   string    `json:"place"`
	Ordinal int       `json:"ordinal"`
	State   HostState `json:"state"`
	Callers string    `json:"callers"` // IP and port for callers
	Peers   string    `json:"peers"`   // IP and port for hosts
}

// TargetState is the state of one target in the host list.
type TargetState struct {
	ID    string    `json:"id"`
	State HostState `json:"state"`
}

// ParseHostList decodes a host list.
func ParseHostList(data []byte) (*HostList, error) {
	var list HostList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "decode host list")
	}
	return &list, nil
}
