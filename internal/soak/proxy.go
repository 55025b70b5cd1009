package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkMode is how a proxy treats its connections.
type LinkMode uint8

// Links.
const (
	Healthy   LinkMode = iota
	Delayed            // bytes arrive late
	Reset              // connections are reset
	Blackhole          // nothing passes any more, and nothing says so
	OneWay             // requests pass and answers do not
	links              // number of links
)

// linkDelay is the delay of a Delayed link, longer than a usual answer.
const linkDelay = 120 * time.Millisecond

// Proxy forwards TCP connections to an address and can harm them.
type Proxy struct {
	Address  string
	to       string
	listener net.Listener

	mu    sync.Mutex
	link  LinkMode
	conns map[net.Conn]bool
}

// NewProxy starts a proxy to an address.
func NewProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), to: to, listener: l, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// SetMode changes the link for present and later connections.
func (p *Proxy) SetMode(link LinkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	if link != Reset {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// Close ends the proxy and its connections.
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

func (p *Proxy) current() LinkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	if p.current() == Reset {
		reset(c)
		return
	}
	target, err := net.DialTimeout("tcp", p.to, time.Second)
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

// copy forwards bytes until the connection ends, and then closes both sides.
// Bytes that meet a silent link are lost.
func (p *Proxy) copy(to, from net.Conn, answers bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		link := p.current()
		if link == Delayed {
			time.Sleep(linkDelay)
		}
		lost = lost || link == Blackhole || link == OneWay && answers
		if n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
