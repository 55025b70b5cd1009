package soak

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a connection that is reset although it was opened after the target took
// connections again.
func TestProxyForwardsTheFirstConnectionAfterAcceptResumed(t *testing.T) {
	g := NewWithT(t)
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = upstream.Close() }()
	p, err := NewProxy(upstream.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer p.Close()
	<-p.accepting // as SuspendAccept does, with no connection opened meanwhile
	p.resumeAccept(nil)
	c, err := net.Dial("tcp", p.Address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	g.Expect(upstream.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = upstream.Accept()
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against requests that reach a target long after their hosts have given them up.
func TestProxyForwardsNothingOfConnectionsOpenedWhileItAcceptedNone(t *testing.T) {
	g := NewWithT(t)
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = upstream.Close() }()
	reached := make(chan struct{}, 10)
	go func() {
		for {
			c, err := upstream.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
			reached <- struct{}{}
		}
	}()
	p, err := NewProxy(upstream.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer p.Close()
	// The begin of SuspendAccept, with connections that are opened before the backlog is full.
	<-p.accepting
	for range 3 {
		c, err := net.Dial("tcp", p.Address)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
	}
	p.resumeAccept(nil)
	g.Consistently(reached, 300*time.Millisecond).ShouldNot(Receive())
	c, err := net.Dial("tcp", p.Address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	g.Eventually(reached, time.Second).Should(Receive(), "later connections are forwarded")
}
