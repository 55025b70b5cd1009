package backend_test

import (
	"context"
	"io"
	"net"
	"strings"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against an answer that broke off and counts as complete.
var _ = Describe("An answer that breaks off", func() {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p-1\r\n"
	body := strings.Repeat("0123456789abcdef", 4)
	// cut sends the first bytes of an answer and then ends the connection, by a reset if
	// reset is set.
	cut := func(text string, reset bool, compact func([]byte) []byte) backend.Result {
		s := newScriptedTarget(func(_ int, _ string, c net.Conn) string {
			_, _ = io.WriteString(c, text)
			if reset {
				time.Sleep(2 * time.Millisecond) // a reset discards bytes that were not sent yet
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return ""
		})
		p := backend.NewPool(s.Addr().String(), "t", &backend.Shared{Codec: codec{}, Bodies: backend.NewBodies(0)}, 1)
		defer p.Close()
		r := &backend.Request{ID: "1", Method: "GET", URI: "/a", Host: "h", Compact: compact}
		return p.Send(context.Background(), r, time.Now().Add(time.Second), false)
	}
	keep := func(b []byte) []byte { return b }

	DescribeTable("is never a success, at whichever byte",
		func(text string) {
			for i := range len(text) {
				for _, reset := range []bool{false, true} {
					for name, compact := range map[string]func([]byte) []byte{"single request": nil, "part": keep} {
						result := cut(text[:i], reset, compact)
						Expect(result.Kind).NotTo(Equal(backend.Success), "%s, cut after %d of %d bytes, reset %v", name, i, len(text), reset)
						Expect(result.Kind.NotRun()).To(BeFalse(), "it may have run")
					}
				}
			}
			Expect(cut(text, false, nil).Kind).To(Equal(backend.Success), "the whole text")
		},
		Entry("with a length", head+"Content-Length: 64\r\n\r\n"+body),
		Entry("in chunks", head+"Transfer-Encoding: chunked\r\n\r\n20\r\n"+body[:32]+"\r\n20\r\n"+body[32:]+"\r\n0\r\n\r\n"),
	)

	It("is no success if it has no length and its connection is reset", func() {
		Expect(cut(head+"\r\n"+body, true, nil).Kind).To(Equal(backend.Broken))
		Expect(cut(head+"\r\n"+body, false, nil).Kind).To(Equal(backend.Success))
	})
})
