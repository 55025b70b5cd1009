// Package platform is the client for the values that the organisation's platform
// publishes to hosts of `lacewingyard serve`: the configuration document and the host
// list. It only reads them, and does not decide whether a new version is put in force.
// The users' platform, on which `lacewingyard edge` runs, has its own package platform
// at the root of the repository.
//
// Both are HTTP resources with a version in the ETag header. A read with
// ?after=VERSION&wait_ms=N is a long poll: the service answers with a newer version
// as soon as one exists, or 304 when the wait ends. The client accepts the content
// coding gzip, because the configuration of 6,800 targets has 0.8 MB, and reading
// it uncompressed for each change would exceed a host's budget for control traffic.
//
// A Client is safe for concurrent use.
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
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
)

// WatchWait is the time for which the service holds one long poll of Watch. It is
// long because each call counts against the service's read budget.
const WatchWait = 20 * time.Second

const (
	maxValueBytes = 1 << 20
	retryDelay    = 500 * time.Millisecond // delay before the next read after a failed one
)

// ErrUnchanged is returned by Get if no newer version was published during the wait.
var ErrUnchanged = errors.New("no newer version")

// Client reads and watches one published value.
type Client struct {
	url   string
	http  *http.Client
	reads atomic.Uint64
	bytes atomic.Uint64
}

// NewClient returns a client for the value at a URL.
func NewClient(url string) *Client {
	c := &Client{url: url}
	// With DisableCompression unset, the transport requests gzip and decompresses
	// the answers.
	c.http = &http.Client{Transport: httpanswer.NewTransport(&http.Transport{MaxConnsPerHost: 4, DialContext: c.dial})}
	return c
}

// dial opens a connection whose received bytes are counted.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: &c.bytes}, nil
}

// countedConn adds the bytes received on a connection to a counter.
type countedConn struct {
	net.Conn
	bytes *atomic.Uint64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(uint64(n))
	return n, err
}

// Reads returns the number of calls sent so far; a long poll counts as one.
func (c *Client) Reads() uint64 { return c.reads.Load() }

// BytesRead returns the number of bytes received so far, including HTTP headers and
// before decompression.
func (c *Client) BytesRead() uint64 { return c.bytes.Load() }

// Get reads the value and its version. With after > 0 it waits up to wait for a
// version above after and returns ErrUnchanged if there is none. Another status than
// 200, an ETag that is not a version and a decompressed value above 1 MiB are errors.
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
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxValueBytes+1)) // limits the decompressed value
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

// parseETag returns the version in an entity tag. Servers that compress mark the
// tag of the compressed form as weak or append the content coding (RFC 9110,
// 8.8.3.3), so W/"7" and "7-gzip" are version 7 as well.
func parseETag(tag string) (uint64, error) {
	text := strings.Trim(strings.TrimPrefix(tag, "W/"), `"`)
	for _, separator := range []string{"-", ";", ":"} {
		text = strings.TrimSuffix(text, separator+"gzip")
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return version, errors.Wrapf(err, "platform ETag %q is not a version", tag)
}

// Watch calls apply with each value that the service returns, until the context ends. It
// asks for versions above the one that current returns and above those received before,
// so that after a value that the caller rejects, Watch waits for the next version.
// onAnswer is called with the start time of each call that the service answered with a
// value or with no new version. After an error, Watch calls again after retryDelay.
func (c *Client) Watch(ctx context.Context, current func() uint64, apply func(data []byte), onAnswer func(start time.Time)) {
	defer c.http.CloseIdleConnections()
	var seen uint64
	for ctx.Err() == nil {
		start := time.Now()
		data, version, err := c.Get(ctx, max(seen, current()), WatchWait)
		switch {
		case errors.Is(err, ErrUnchanged):
			onAnswer(start)
		case err != nil:
			sleep(ctx, retryDelay)
		default:
			apply(data)
			onAnswer(start)
			if version <= seen {
				sleep(ctx, retryDelay) // a service that ignores after must not be read in a tight loop
			}
			seen = max(seen, version)
		}
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// HostState is the state of a host or target in the host list.
type HostState string

// Host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostList is the published list of live and leaving hosts. It lags behind the
// actual state.
type HostList struct {
	Version uint64        `json:"version"`
	Hosts   []Host        `json:"hosts"`
	Targets []TargetState `json:"targets,omitempty"` // targets that are leaving
}

// Host is the entry of one host in the host list.
type Host struct {
	Name    string    `json:"name"`
	Place   string    `json:"place"`
	Ordinal int       `json:"ordinal"`
	State   HostState `json:"state"`
	Callers string    `json:"callers"` // IP address and port for callers
	Peers   string    `json:"peers"`   // IP address and port for other hosts
}

// TargetState is the entry of one target in the host list.
type TargetState struct {
	ID    string    `json:"id"`
	State HostState `json:"state"`
}

// ParseHostList decodes a host list. Values are not validated.
func ParseHostList(data []byte) (*HostList, error) {
	var list HostList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "decode host list")
	}
	return &list, nil
}
