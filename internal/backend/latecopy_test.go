package backend_test

import (
	"context"
	"net"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a second copy of an answer that arrives on a connection which is in use
// again: the next caller would get it, or would be told that its request did not run.
var _ = Describe("A second copy of an answer, late", func() {
	const (
		withoutID   = "HTTP/1.1 200 OK\r\nProof: p-old\r\nContent-Length: 3\r\n\r\nold"
		refusal     = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		ownsRefusal = "HTTP/1.1 503 Service Unavailable\r\nId: 2\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	)
	// play sends two requests on one connection; the copy comes after the second one.
	play := func(late string, compact func([]byte) []byte) (backend.Result, *scriptedTarget) {
		s := newScriptedTarget(func(n int, id string, _ net.Conn) string {
			if n == 2 {
				return late + answer(id, "new")
			}
			return answer(id, "old")
		})
		p := backend.NewPool(s.Addr().String(), "t", &backend.Shared{Codec: codec{}, Bodies: backend.NewBodies(0)}, 1)
		DeferCleanup(p.Close)
		var result backend.Result
		for _, id := range []string{"1", "2", "3"} {
			r := &backend.Request{ID: id, Method: "GET", URI: "/a", Host: "h", Compact: compact}
			got := p.Send(context.Background(), r, time.Now().Add(time.Second), false)
			Expect(got.Kind).To(Equal(backend.Success), "request %s: %v", id, got.Err)
			if id == "2" {
				result = got
			}
		}
		return result, s
	}

	DescribeTable("is skipped, and the connection is not used again",
		func(late string) {
			for name, compact := range map[string]func([]byte) []byte{"single request": nil, "part": func(b []byte) []byte { return b }} {
				result, s := play(late, compact)
				Expect(string(result.Body)).To(Equal("new"), name)
				Expect(s.accepted.Load()).To(BeEquivalentTo(2), name)
			}
		},
		Entry("with the ID of its request", answer("1", "old")),
		Entry("without an ID", withoutID),
		Entry("a refusal without an ID", refusal),
	)

	// Guards against a late copy of a refusal that is taken as the answer to the next try
	// of the same request, which runs.
	It("of a refusal does not reach a second try of a request that may run once", func() {
		s := newScriptedTarget(func(n int, id string, _ net.Conn) string {
			if n == 1 {
				return ownsRefusal
			}
			return answer(id, "new")
		})
		p := backend.NewPool(s.Addr().String(), "t", &backend.Shared{Codec: codec{}, Bodies: backend.NewBodies(0)}, 1)
		DeferCleanup(p.Close)
		r := &backend.Request{ID: "2", Method: "POST", URI: "/a", Host: "h"}
		Expect(p.Send(context.Background(), r, time.Now().Add(time.Second), true).Kind).To(Equal(backend.Refused))
		Expect(p.Send(context.Background(), r, time.Now().Add(time.Second), true).Kind).To(Equal(backend.Success))
		Expect(s.accepted.Load()).To(BeEquivalentTo(2), "the second try has a connection of its own")
	})
})
