package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Connections of callers", func() {
	var conns *Set
	// serve serves callers with a handler and returns a connection to the server. onRead is
	// called when the head of a request has been read.
	serve := func(handler http.HandlerFunc, onRead func(*conn)) net.Conn {
		conns = NewSet()
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: handler}
		conns.Attach(server)
		attached := server.Handler
		server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			onRead(r.Context().Value(connKey{}).(*conn))
			attached.ServeHTTP(w, r)
		})
		go func() { _ = server.Serve(conns.Listener(l)) }()
		DeferCleanup(server.Close)
		c, err := net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		return c
	}
	send := func(c net.Conn, text string) {
		_, err := io.WriteString(c, text)
		Expect(err).NotTo(HaveOccurred())
	}
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

	// Guards against a request that was passed on and whose answer was lost, because the
	// server took its connection for idle just before it had read the request.
	It("closes a connection only after the answer to its request", func() {
		begun, release := make(chan struct{}), make(chan struct{})
		c := serve(func(w http.ResponseWriter, _ *http.Request) {
			close(begun)
			<-release
			_, _ = io.WriteString(w, "answer")
		}, func(*conn) {})
		send(c, request)
		<-begun
		Expect(conns.all()[0].Close()).To(Succeed())
		close(release)
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo("answer"))
		_, err = in.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Eventually(conns.all).Should(BeEmpty())
	})

	// Guards against a request that is passed on although its caller can get no answer.
	It("drops a request on a connection that was aborted before", func() {
		handled := make(chan struct{}, 1)
		c := serve(func(http.ResponseWriter, *http.Request) { handled <- struct{}{} }, func(c *conn) { c.abort() })
		send(c, request)
		_, err := bufio.NewReader(c).ReadByte()
		Expect(err).To(HaveOccurred())
		Consistently(handled, 200*time.Millisecond).ShouldNot(Receive())
	})

	// Guards against a request that is read and dropped because the server took its connection for
	// idle meanwhile: its caller may not send it again.
	It("answers a request on a connection that was closed after it was read", func() {
		c := serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }, func(c *conn) { _ = c.Close() })
		send(c, request)
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo("answer"))
		_, err = in.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Eventually(conns.all).Should(BeEmpty())
	})

	// Guards against a stop that lasts until the end of its grace period because of callers
	// that opened connections ahead, and against a cut through the head of a request.
	It("closes unused connections, but none on which a request is on its way", func() {
		c := serve(func(http.ResponseWriter, *http.Request) {}, func(*conn) {})
		Eventually(conns.all).Should(HaveLen(1))
		used, err := net.Dial("tcp4", c.RemoteAddr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(used.Close)
		send(used, request[:8])
		received := func() (n int) {
			for _, open := range conns.all() {
				if open.received.Load() {
					n++
				}
			}
			return n
		}
		Eventually(received).Should(Equal(1))
		conns.CloseUnused(time.Now())
		Expect(conns.all()).To(HaveLen(2), "the first request may still be on its way")
		conns.CloseUnused(time.Now().Add(unusedTimeout))
		Eventually(conns.all).Should(HaveLen(1))
		_, err = bufio.NewReader(c).ReadByte()
		Expect(err).To(MatchError(io.EOF))
		send(used, request[8:])
		resp, err := http.ReadResponse(bufio.NewReader(used), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})
})
