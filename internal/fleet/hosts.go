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

// Running returns the hosts that were started and not stopped.
func (f *Fleet) Running() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Hosts)
}

// StopHost takes a host out of the fleet. A graceful stop lists it as leaving
// first and waits for its open requests. A crash breaks all its connections;
// the platform goes on listing it until Unlist, because the list lags.
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

// Crash ends the host without a shutdown: every socket breaks at once, as when
// the process is killed.
func (h *Host) Crash() {
	h.socks.breakAll()
	_ = h.Abort()
}

// sockets are the open sockets of one host.
type sockets struct {
	mu     sync.Mutex
	open   map[io.Closer]bool
	broken bool
}

func (s *sockets) add(c io.Closer) {
	s.mu.Lock()
	broken := s.broken
	if !broken {
		s.open[c] = true
	}
	s.mu.Unlock()
	if broken {
		_ = c.Close()
	}
}

func (s *sockets) breakAll() {
	s.mu.Lock()
	s.broken = true
	open := s.open
	s.open = map[io.Closer]bool{}
	s.mu.Unlock()
	for c := range open {
		_ = c.Close()
	}
}

// conn wraps a connection so that it is forgotten when it closes.
func (s *sockets) conn(c net.Conn) net.Conn {
	wrapped := &trackedConn{Conn: c, sockets: s}
	s.add(wrapped)
	return wrapped
}

func (s *sockets) listener(l net.Listener) net.Listener {
	s.add(l)
	return &trackedListener{Listener: l, sockets: s}
}

func (s *sockets) dialer(dial target.Dialer) target.Dialer {
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
	sockets *sockets
}

// Accept waits for a connection and tracks it.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.sockets.conn(c), nil
}

type trackedConn struct {
	net.Conn
	sockets *sockets
}

// Close closes the connection and forgets it.
func (c *trackedConn) Close() error {
	c.sockets.mu.Lock()
	delete(c.sockets.open, c)
	c.sockets.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side. Without it, the client to targets could
// not see when a target has ended a cancelled request.
func (c *trackedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("the connection cannot close its sending side alone")
	}
	return half.CloseWrite()
}
