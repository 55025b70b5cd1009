package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// codec implements the protocol of the test: an answer carries the ID of its request
// in "Id" and its digest in "Proof".
type codec struct{}

func (codec) AppendRequest(b []byte, r *backend.Request, left time.Duration, instance string) []byte {
	return fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nId: %s\r\nContent-Length: %d\r\n\r\n", r.Method, r.URI, r.Host, r.ID, len(r.Body))
}

func (codec) Decode(resp *http.Response) backend.Head {
	return backend.Head{ID: resp.Header.Get("Id"), Digest: resp.Header.Get("Proof"), NotRun: resp.Header.Get("Not-Run") != "",
		WrongTarget: resp.StatusCode == http.StatusMisdirectedRequest, UnexpectedEncoding: resp.Header.Get("Content-Encoding") != ""}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nProof: p-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

// scriptedTarget is a target that answers each request with the text that a script
// returns; an empty text closes the connection.
type scriptedTarget struct {
	net.Listener
	accepted atomic.Int64
	requests atomic.Int64
}

func newScriptedTarget(script func(request int, id string, c net.Conn) string) *scriptedTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &scriptedTarget{Listener: l}
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go s.serve(c, script)
		}
	}()
	return s
}

func (s *scriptedTarget) serve(c net.Conn, script func(int, string, net.Conn) string) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		out := script(int(s.requests.Add(1)), req.Header.Get("Id"), c)
		if out == "" {
			return
		}
		_, _ = io.WriteString(c, out)
	}
}

var _ = Describe("Pool", func() {
	var shared *backend.Shared
	pool := func(s *scriptedTarget, limit int) *backend.Pool {
		shared = &backend.Shared{Codec: codec{}, Bodies: backend.NewBodies(0)}
		p := backend.NewPool(s.Addr().String(), "t-1", shared, limit)
		DeferCleanup(p.Close)
		return p
	}
	send := func(p *backend.Pool, id string, limit time.Duration) backend.Result {
		r := &backend.Request{ID: id, Method: "GET", URI: "/a", Host: "h"}
		return p.Send(context.Background(), r, time.Now().Add(limit), false)
	}

	// Guards against connections that count as closed once the deadline of their last
	// request has passed: 4,500 connections were opened for 35,000 requests.
	It("reuses a connection after the deadline of its last request", func() {
		s := newScriptedTarget(func(_ int, id string, _ net.Conn) string { return answer(id, "x") })
		p := pool(s, 4)
		Expect(send(p, "1", 30*time.Millisecond).Kind).To(Equal(backend.Success))
		time.Sleep(60 * time.Millisecond)
		Expect(send(p, "2", time.Second).Kind).To(Equal(backend.Success))
		Expect(s.accepted.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a late answer to an earlier request taken for the answer to this one.
	It("skips a late answer to another request and then closes the connection", func() {
		s := newScriptedTarget(func(_ int, id string, _ net.Conn) string { return answer("old", "stale") + answer(id, "fresh") })
		p := pool(s, 4)
		r := send(p, "1", time.Second)
		Expect(r.Kind).To(Equal(backend.Success))
		Expect(string(r.Body)).To(Equal("fresh"))
		Expect(send(p, "2", time.Second).Kind).To(Equal(backend.Success))
		Expect(s.accepted.Load()).To(BeEquivalentTo(2))
	})

	// Guards against an unsolicited answer, sent while the connection was idle, taken for
	// the answer to the next request.
	It("does not use a connection that received bytes while it was idle", func() {
		s := newScriptedTarget(func(n int, id string, c net.Conn) string {
			if n == 1 {
				go func() {
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(c, answer("1", "again"))
				}()
			}
			return answer(id, "x")
		})
		p := pool(s, 4)
		Expect(send(p, "1", time.Second).Kind).To(Equal(backend.Success))
		time.Sleep(50 * time.Millisecond)
		Expect(string(send(p, "2", time.Second).Body)).To(Equal("x"))
		Expect(shared.Counters.UnexpectedData.Load()).To(BeEquivalentTo(1))
	})

	// Guards against an incomplete or invalid answer passed on as a success, and against a
	// request that may have run reported as not run.
	It("classifies the result of a send by the answer", func() {
		cases := map[string]struct {
			answer string
			kind   backend.Kind
		}{
			"ends early":           {"HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nContent-Length: 10\r\n\r\nabc", backend.Broken},
			"no answer":            {"", backend.Broken},
			"not HTTP":             {strings.Repeat("zz\r\n", 10), backend.Broken},
			"no digest":            {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", backend.Broken},
			"unrequested encoding": {"HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n", backend.Broken},
			"refused":              {"HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", backend.Refused},
			"another target":       {"HTTP/1.1 421 No\r\nId: 1\r\nContent-Length: 0\r\n\r\n", backend.WrongTarget},
			"the target's failure": {"HTTP/1.1 500 Bad\r\nId: 1\r\nProof: p\r\nContent-Length: 0\r\n\r\n", backend.Failure},
			"a complete answer":    {answer("1", "abc"), backend.Success},
			"ended by the close":   {"HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nConnection: close\r\n\r\nabc", backend.Success},
		}
		for name, c := range cases {
			s := newScriptedTarget(func(_ int, _ string, conn net.Conn) string {
				_, _ = io.WriteString(conn, c.answer)
				return ""
			})
			Expect(send(pool(s, 1), "1", time.Second).Kind).To(Equal(c.kind), name)
		}
	})

	// Guards against a request reported as possibly run although no byte was sent, and a
	// target counted as unreachable because this host's own connections are in use.
	It("reports that nothing was sent if no connection can be opened or is free", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		r := send(backend.NewPool(address, "t", &backend.Shared{Codec: codec{}, Bodies: backend.NewBodies(0)}, 1), "1", time.Second)
		Expect(r.Kind).To(Equal(backend.NotSent))
		Expect(r.LocalCause).To(BeFalse())

		s := newScriptedTarget(func(_ int, id string, _ net.Conn) string {
			time.Sleep(200 * time.Millisecond)
			return answer(id, "")
		})
		p := pool(s, 1)
		first := make(chan backend.Result)
		go func() { first <- send(p, "1", time.Second) }()
		Eventually(s.requests.Load).Should(BeEquivalentTo(1))
		r = send(p, "2", time.Second)
		Expect(r.Kind).To(Equal(backend.NotSent))
		Expect(r.LocalCause).To(BeTrue())
		Expect((<-first).Kind).To(Equal(backend.Success))
	})

	// Guards against sends that hold a connection after their answer has become useless.
	It("ends a send when its context is done, and when its deadline passes", func() {
		s := newScriptedTarget(func(_ int, id string, _ net.Conn) string {
			time.Sleep(300 * time.Millisecond)
			return answer(id, "")
		})
		p := pool(s, 2)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		r := p.Send(ctx, &backend.Request{ID: "1", Method: "GET", URI: "/", Host: "h"}, time.Now().Add(time.Second), false)
		Expect(r.Kind).To(Equal(backend.Canceled))
		Expect(send(p, "2", 30*time.Millisecond).Kind).To(Equal(backend.TimedOut))
	})

	// Guards against the loss of a request that may not be repeated on a connection that
	// failed silently while it was idle.
	It("opens a new connection for a request that may not be repeated if none was used recently", func() {
		s := newScriptedTarget(func(_ int, id string, _ net.Conn) string { return answer(id, "") })
		p := pool(s, 4)
		r := &backend.Request{ID: "1", Method: "POST", URI: "/", Host: "h"}
		Expect(p.Send(context.Background(), r, time.Now().Add(time.Second), true).Kind).To(Equal(backend.Success))
		Expect(p.Send(context.Background(), r, time.Now().Add(time.Second), true).Kind).To(Equal(backend.Success))
		Expect(s.accepted.Load()).To(BeEquivalentTo(1))
		time.Sleep(1100 * time.Millisecond)
		Expect(p.Send(context.Background(), r, time.Now().Add(time.Second), true).Kind).To(Equal(backend.Success))
		Expect(s.accepted.Load()).To(BeEquivalentTo(2))
	})
})

// brokenCodec panics while it decodes an answer.
type brokenCodec struct{ codec }

func (brokenCodec) Decode(*http.Response) backend.Head { panic("no such field") }

var _ = Describe("Pool with a codec that panics", func() {
	// Guards against connections that count as open for ever after an unexpected error.
	It("closes the connection", func() {
		s := newScriptedTarget(func(_ int, id string, _ net.Conn) string { return answer(id, "x") })
		p := backend.NewPool(s.Addr().String(), "t", &backend.Shared{Codec: brokenCodec{}, Bodies: backend.NewBodies(0)}, 1)
		DeferCleanup(p.Close)
		r := &backend.Request{ID: "1", Method: "GET", URI: "/a", Host: "h"}
		Expect(func() { p.Send(context.Background(), r, time.Now().Add(time.Second), false) }).To(Panic())
		open, _, _ := p.Stats()
		Expect(open).To(BeZero())
	})
})
