package callerconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// slowListener returns each connection late, as an accept loop that waits for the processor does.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		time.Sleep(50 * time.Millisecond)
	}
	return c, err
}

var _ = Describe("Connections of callers while the server shuts down", func() {
	// Guards against requests that are read and whose connections then end without an answer.
	DescribeTable("get the answer to a request that arrives before they are closed", func(before, after string) {
		conns := NewSet()
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		conns.Attach(server)
		go func() { _ = server.Serve(conns.Listener(l)) }()
		DeferCleanup(server.Close)
		c, err := net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		Eventually(conns.all).Should(HaveLen(1))
		_, err = io.WriteString(c, before)
		Expect(err).NotTo(HaveOccurred())
		ended := make(chan error, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		DeferCleanup(cancel)
		go func() { ended <- conns.Shutdown(ctx, server) }()
		Consistently(ended, 100*time.Millisecond).ShouldNot(Receive())
		_, err = io.WriteString(c, after)
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.Close).To(BeTrue())
	},
		Entry("on one that was opened ahead", "", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
		Entry("whose head was on its way", "GET / HT", "TP/1.1\r\nHost: h\r\n\r\n"),
	)

	// Guards against requests that are read and dropped because their connections were accepted
	// just before the listener was closed.
	It("get the answer on one that is being accepted", func() {
		conns := NewSet()
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		conns.Attach(server)
		go func() { _ = server.Serve(conns.Listener(slowListener{l})) }()
		DeferCleanup(server.Close)
		c, err := net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		DeferCleanup(cancel)
		Expect(conns.Shutdown(ctx, server)).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})

	// Guards against requests that cross the close of a connection which their callers still use.
	It("end with the next answer before that, and none between two requests", func() {
		conns := NewSet()
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		conns.Attach(server)
		go func() { _ = server.Serve(conns.Listener(l)) }()
		DeferCleanup(server.Close)
		c, err := net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		in := bufio.NewReader(c)
		call := func() *http.Response {
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(in, nil)
			Expect(err).NotTo(HaveOccurred())
			return resp
		}
		Expect(call().Close).To(BeFalse())
		ends := false
		conns.EndWithAnswers(func() bool { return ends })
		Expect(call().Close).To(BeFalse())
		ends = true
		Consistently(conns.all, 100*time.Millisecond).Should(HaveLen(1))
		Expect(call().Close).To(BeTrue())
		_, err = in.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Eventually(conns.all).Should(BeEmpty())
	})
})
