package fleet

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/target"
)

// Running returns the hosts that StopHost has not stopped, in order of their starts.
func (f *Fleet) Running() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Hosts)
}

// StopHost stops a host. A graceful stop first publishes the host as leaving and
// waits for its open requests. Otherwise the host crashes and stays in the host list
// until Unlist, because the platform's list lags behind the actual state. The error is
// that of the publication or of the host's daemon; after a crash it is nil.
func (f *Fleet) StopHost(h *Host, graceful bool) error {
	f.mu.Lock()
	f.Hosts = slices.DeleteFunc(f.Hosts, func(other *Host) bool { return other == h })
	f.mu.Unlock()
	if !graceful {
		h.Crash()
		return nil
	}
	err := f.PublishHosts(func(list *platform.HostList) {
		for i := range list.Hosts {
			if list.Hosts[i].Name == h.Entry.Name {
				list.Hosts[i].State = platform.HostLeaving
			}
		}
	})
	if err != nil {
		return err
	}
	return h.Stop()
}

// Unlist removes a host from the host list.
func (f *Fleet) Unlist(h *Host) error {
	return f.PublishHosts(func(list *platform.HostList) {
		list.Hosts = slices.DeleteFunc(slices.Clone(list.Hosts), func(e platform.Host) bool { return e.Name == h.Entry.Name })
	})
}

// Crash closes every socket of the host and aborts its daemon, as a kill of the
// process would.
func (h *Host) Crash() {
	h.sockets.closeAll()
	_ = h.Abort()
}

// socketTracker holds the open sockets of one host, so that Crash can close them.
type socketTracker struct {
	mu     sync.Mutex
	open   map[io.Closer]bool
	closed bool // sockets added from now on are closed at once
}

func (s *socketTracker) add(c io.Closer) {
	s.mu.Lock()
	closed := s.closed
	if !closed {
		s.open[c] = true
	}
	s.mu.Unlock()
	if closed {
		_ = c.Close()
	}
}

func (s *socketTracker) closeAll() {
	s.mu.Lock()
	s.closed = true
	open := s.open
	s.open = map[io.Closer]bool{}
	s.mu.Unlock()
	for c := range open {
		_ = c.Close()
	}
}

// conn tracks a connection until it is closed.
func (s *socketTracker) conn(c net.Conn) net.Conn {
	wrapped := &trackedConn{Conn: c, tracker: s}
	s.add(wrapped)
	return wrapped
}

func (s *socketTracker) listener(l net.Listener) net.Listener {
	s.add(l)
	return &trackedListener{Listener: l, tracker: s}
}

func (s *socketTracker) dialer(dial target.Dialer) target.Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return s.conn(c), nil
	}
}

type trackedListener struct {
	net.Listener
	tracker *socketTracker
}

// Accept waits for a connection and tracks it.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.conn(c), nil
}

type trackedConn struct {
	net.Conn
	tracker *socketTracker
}

// Close closes the connection and ends its tracking.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	delete(c.tracker.open, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side of the connection. The client to targets needs
// it to detect that a target has ended a cancelled request.
func (c *trackedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("connection does not support closing its sending side")
	}
	return half.CloseWrite()
}
