package soak

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

// LinkMode selects how a proxy forwards its connections.
type LinkMode uint8

// Link modes. The order is fixed: faults are drawn from Delayed on.
const (
	Healthy   LinkMode = iota
	Delayed            // data are delayed by linkDelay
	Reset              // connections are reset
	Blackhole          // data are discarded in both directions
	OneWay             // answers are discarded
	// In the modes from here on, answers are not those of the target.
	EndlessHead // a head without an end
	EndlessBody // a body without an end
	LateCopy    // each answer is followed by a second copy
	CutOff      // answers break off
	Trickle     // answers arrive byte by byte
	Malformed   // answers have one of malformations, in turn
	linkModes   // number of modes
)

const (
	// linkDelay is longer than a usual answer takes.
	linkDelay = 120 * time.Millisecond
	// drainTimeout is how long a backlog may have no connection until it counts as empty.
	drainTimeout = 20 * time.Millisecond
)

// Proxy forwards TCP connections to an address and injects the faults of its mode. It
// is safe for concurrent use.
type Proxy struct {
	Address  string // on which the proxy listens
	upstream string
	listener net.Listener

	mu    sync.Mutex
	mode  LinkMode
	conns map[net.Conn]bool // both sides of the open connections
	down  time.Time         // until then connections are reset
	// resumed is when SuspendAccept last ended. Connections that were accepted before are stale.
	resumed time.Time

	malformed atomic.Uint64 // answers sent in mode Malformed
	accepting chan struct{} // holds a token while connections are accepted
}

// NewProxy starts a proxy on a free loopback port that forwards to an address.
func NewProxy(upstream string) (*Proxy, error) {
	l, err := platformtest.ListenShort()
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), upstream: upstream, listener: l, conns: map[net.Conn]bool{}, accepting: make(chan struct{}, 1)}
	p.accepting <- struct{}{}
	go p.accept()
	return p, nil
}

// SetMode changes the mode for open and later connections. An open connection that has
// lost data in mode Blackhole or OneWay stays silent in that direction.
func (p *Proxy) SetMode(mode LinkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == Reset {
		p.resetAll()
	}
}

// Down resets all connections, and further ones for a time, as when the target ends.
func (p *Proxy) Down(length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = time.Now().Add(length)
	p.resetAll()
}

// SuspendAccept makes new connections time out until the returned function is called. Open
// connections are reset, and so are those that were opened meanwhile.
func (p *Proxy) SuspendAccept() (resume func()) {
	<-p.accepting
	p.mu.Lock()
	p.resetAll()
	p.mu.Unlock()
	waiting := platformtest.FillBacklog(p.Address)
	return func() { p.resumeAccept(waiting) }
}

// resumeAccept accepts connections again. It resets those that fill the backlog and those that
// were opened before it was full: a target would get the requests on them long after their hosts
// have given them up.
func (p *Proxy) resumeAccept(filling []net.Conn) {
	for _, c := range filling {
		reset(c)
	}
	listener := p.listener.(*net.TCPListener)
	for {
		_ = listener.SetDeadline(time.Now().Add(drainTimeout))
		c, err := listener.Accept()
		if err != nil {
			break
		}
		reset(c)
	}
	_ = listener.SetDeadline(time.Time{})
	p.mu.Lock()
	p.resumed = time.Now()
	p.mu.Unlock()
	p.accepting <- struct{}{}
}

// resetAll resets the open connections. The lock must be held.
func (p *Proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) currentMode() LinkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.down)
}

// isStale reports whether a connection was accepted before SuspendAccept last ended.
func (p *Proxy) isStale(accepted time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return accepted.Before(p.resumed)
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // of resumeAccept
		}
		if err != nil {
			return
		}
		accepted := time.Now()
		<-p.accepting
		if p.isStale(accepted) {
			reset(c)
		} else {
			go p.serve(c)
		}
		p.accepting <- struct{}{}
	}
}

func (p *Proxy) serve(c net.Conn) {
	if p.currentMode() == Reset || p.isDown() {
		reset(c)
		return
	}
	target, err := net.DialTimeout("tcp", p.upstream, time.Second)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[target] = true, true
	p.mu.Unlock()
	go p.copy(target, c, false)
	p.copy(c, target, true)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, target)
	p.mu.Unlock()
}

// copy forwards data in one direction until the connection ends, and then closes both
// sides. Once data were discarded, everything that follows is discarded as well.
func (p *Proxy) copy(to, from net.Conn, answers bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		mode := p.currentMode()
		if mode == Delayed {
			time.Sleep(linkDelay)
		}
		lost = lost || mode == Blackhole || mode == OneWay && answers
		if n > 0 && !lost && answers && mode >= EndlessHead {
			if !p.corrupt(to, buffer[:n], mode) {
				return
			}
		} else if n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
