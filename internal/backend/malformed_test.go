package backend_test

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a refusal that counts although it is no answer, against a connection that goes
// on after one, and against a send that waits for more. Package httpanswer has the list of faults.
var _ = DescribeTable("A malformed answer is a broken send at once, is counted, and ends its connection",
	func(text string) {
		s := newScriptedTarget(func(n int, id string, _ net.Conn) string {
			if n == 1 {
				return strings.ReplaceAll(text, "ID", id)
			}
			return answer(id, "good")
		})
		shared := &backend.Shared{Codec: codec{}, Bodies: backend.NewBodies(0)}
		p := backend.NewPool(s.Addr().String(), "t", shared, 1)
		DeferCleanup(p.Close)
		send := func(id string) backend.Result {
			return p.Send(context.Background(), &backend.Request{ID: id, Method: "GET", URI: "/a", Host: "h"}, time.Now().Add(5*time.Second), false)
		}
		r := send("1")
		Expect(r.Kind).To(Equal(backend.Broken), "%v", r.Err)
		Expect(r.Malformed()).To(BeTrue(), "%v", r.Err)
		Expect(r.LocalCause).To(BeFalse(), "it is evidence against the target")
		Expect(r.Duration).To(BeNumerically("<", 2*time.Second))
		Expect(shared.Counters.Malformed.Load()).To(BeEquivalentTo(1))
		Expect(send("2").Kind).To(Equal(backend.Success))
		Expect(s.accepted.Load()).To(BeEquivalentTo(2))
	},
	Entry("in its status", "HTTP/1.1 000 Full\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
	Entry("in a field name", "HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\nX A: b\r\nContent-Length: 0\r\n\r\n"),
	Entry("in its framing", "HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n0\r\n\r\n"),
	Entry("in its chunks", "HTTP/1.1 200 OK\r\nId: ID\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n"),
	Entry("in its trailer", "HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX A: b\r\n\r\n"),
)
