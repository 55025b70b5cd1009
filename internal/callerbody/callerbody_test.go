package callerbody

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
)

// serveBodies serves requests within a budget, sends one with a part of its body of 100,000 bytes
// and returns the connection and the error with which Read ended.
func serveBodies(t *testing.T, b *Budget, part int) (net.Conn, <-chan error) {
	g := NewWithT(t)
	results := make(chan error, 1)
	server := httptest.NewServer(b.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := Read(w, r, 0)
		if errors.Is(err, ErrNoRoom) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		results <- err
	})))
	t.Cleanup(server.Close)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n%s", make([]byte, part))
	g.Expect(err).NotTo(HaveOccurred())
	return c, results
}

// Guards against a body that makes no progress and holds its memory until the longest time.
func TestBodyWithoutProgressEnds(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget(1<<20, hclog.NewNullLogger())
	_, results := serveBodies(t, b, 8000)
	var err error
	g.Eventually(results, progressWindow+3*time.Second).Should(Receive(&err))
	g.Expect(err).To(MatchError(ErrTooSlow))
	g.Expect(b.Use().TooSlow).To(BeEquivalentTo(1))
	g.Eventually(func() int64 { return b.Use().Used }).Should(BeZero())
}

// Guards against a refused caller that is not told so while it is still sending, and against a
// server that waits for the rest of its body.
func TestGivenUpBodyIsAnswered(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget(400<<10, hclog.NewNullLogger())
	c, results := serveBodies(t, b, 99_999)
	g.Eventually(func() int64 { return b.Use().Used }).Should(BeNumerically(">", 90_000))
	time.Sleep(100 * time.Millisecond) // the longer a body takes, the earlier it goes
	var other Hold
	b.Open(&other, func() {})
	g.Expect(other.Grow(250 << 10)).To(BeTrue())
	var err error
	g.Eventually(results, time.Second).Should(Receive(&err))
	g.Expect(err).To(MatchError(ErrNoRoom))
	g.Expect(c.SetReadDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	_, err = in.ReadByte()
	g.Expect(err).To(MatchError(io.EOF))
}
