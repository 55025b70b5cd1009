package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/callerbody"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Bound of connections", func() {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	var conns *Set
	var dial func() net.Conn
	release := make(chan struct{})
	BeforeEach(func() {
		conns, release = NewSet(), make(chan struct{})
		held := release
		conns.Limit(2, callerbody.NewBudget(200<<10, hclog.NewNullLogger()), hclog.NewNullLogger())
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				<-held
			}
		}), ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		conns.Attach(server)
		go func() { _ = server.Serve(conns.Listener(l)) }()
		DeferCleanup(server.Close)
		dial = func() net.Conn {
			c, err := net.Dial("tcp4", l.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			return c
		}
	})
	send := func(c net.Conn, text string) { Expect(io.WriteString(c, text)).To(Equal(len(text))) }
	answered := func(c net.Conn) {
		_, err := http.ReadResponse(bufio.NewReader(c), nil)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
	}
	closed := func(c net.Conn) {
		_, err := c.Read(make([]byte, 1))
		ExpectWithOffset(1, err).To(HaveOccurred())
		ExpectWithOffset(1, err).NotTo(MatchError(ContainSubstring("timeout")))
	}

	// Guards against idle connections that keep callers out, and against the close of one that was
	// used later.
	It("closes the longest idle for a new one", func() {
		first, second := dial(), dial()
		for _, c := range []net.Conn{second, first} { // first is used last
			send(c, request)
			answered(c)
		}
		Eventually(func() int { return conns.Use().Open }).Should(Equal(2))
		time.Sleep(50 * time.Millisecond) // the server has recorded the ends of the requests
		third := dial()
		send(third, request)
		answered(third)
		closed(second)
		send(first, request)
		answered(first)
		Expect(conns.Use().Shed).To(BeEquivalentTo(1))
	})

	// Guards against the loss of a request in progress, and of one that half a head belongs to
	// while another has been idle for longer.
	It("refuses a new one while all have requests", func() {
		first, second := dial(), dial()
		for _, c := range []net.Conn{first, second} {
			send(c, strings.Replace(request, "/", "/held", 1))
		}
		Eventually(func() (busy int) {
			for _, c := range conns.all() {
				c.mu.Lock()
				if c.busy {
					busy++
				}
				c.mu.Unlock()
			}
			return busy
		}).Should(Equal(2))
		closed(dial())
		Expect(conns.Use().Refused).To(BeEquivalentTo(1))
		close(release)
		answered(first)
		answered(second)
	})

	// Guards against long heads that are never completed and whose memory nothing bounds.
	It("closes a connection whose head finds no room", func() {
		c := dial()
		send(c, strings.TrimSuffix(request, "\r\n")+"X: "+strings.Repeat("x", 30<<10))
		closed(c)
		other := dial()
		send(other, request)
		answered(other)
	})
})
