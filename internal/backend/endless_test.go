package backend_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	kb = 1 << 10
	mb = 1 << 20
)

// endless returns a script that sends a text once and then another one until the
// caller closes.
func endless(first, again string) func(int, string, net.Conn) string {
	repeated := []byte(strings.Repeat(again, 1+64*kb/len(again)))
	return func(_ int, id string, c net.Conn) string {
		_, err := io.WriteString(c, strings.ReplaceAll(first, "ID", id))
		for err == nil {
			_, err = c.Write(repeated)
		}
		return ""
	}
}

// allocated returns the bytes that a function allocates, in all goroutines.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

var _ = Describe("Answers without an end", func() {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nProof: p\r\n"
	request := func() *backend.Request { return &backend.Request{ID: "1", Method: "GET", URI: "/a", Host: "h"} }
	shorten := func(b []byte) []byte { return b[:min(len(b), 800)] }
	sendWithin := func(timeout time.Duration, script func(int, string, net.Conn) string, r *backend.Request) (result backend.Result, shared *backend.Shared, bytes uint64) {
		s := newScriptedTarget(script)
		shared = &backend.Shared{Codec: codec{}, Bodies: backend.NewBodies(160 * mb)}
		p := backend.NewPool(s.Addr().String(), "t", shared, 1)
		DeferCleanup(p.Close)
		bytes = allocated(func() { result = p.Send(context.Background(), r, time.Now().Add(timeout), false) })
		return result, shared, bytes
	}
	// The specs are about bytes: the race detector takes two seconds for the two million
	// chunks of the longest body.
	send := func(script func(int, string, net.Conn) string, r *backend.Request) (backend.Result, *backend.Shared, uint64) {
		return sendWithin(30*time.Second, script, r)
	}

	// Guards against one target that makes a host allocate 2,800 MB (one line) and
	// 640 MB (many lines) within the 800 ms of a request.
	DescribeTable("are given up after a head of the greatest length",
		func(first, again string) {
			result, shared, bytes := send(endless(first, again), request())
			Expect(result.Kind).To(Equal(backend.Broken))
			Expect(result.Oversized()).To(BeTrue(), "%v", result.Err)
			Expect(result.LocalCause).To(BeFalse())
			Expect(bytes).To(BeNumerically("<", mb))
			Expect(shared.Counters.Oversized.Load()).To(BeEquivalentTo(1))
		},
		Entry("a status line", "HTTP/1.1 200 O", "K"),
		Entry("one header line", head+"Long: ", "x"),
		Entry("the same header line", head, "Aa: b\r\n"),
		Entry("a folded header line", head+"A: b\r\n", " c\r\n"),
		Entry("bytes that are no answer", "", "x"),
	)

	DescribeTable("are given up at once if no head of an answer follows",
		func(again string) {
			result, _, bytes := send(endless("", again), request())
			Expect(result.Kind).To(Equal(backend.Broken))
			Expect(bytes).To(BeNumerically("<", mb))
		},
		Entry("empty lines", "\r\n"),
		Entry("interim answers", "HTTP/1.1 103 Early Hints\r\nAa: b\r\n\r\n"),
		Entry("zeros", "\x00"),
	)

	It("are given up after a head of many different header lines", func() {
		result, _, bytes := send(func(_ int, _ string, c net.Conn) string {
			var err error
			for i := 0; err == nil; i++ {
				_, err = fmt.Fprintf(c, "%s%x: b\r\n", strings.Repeat("HTTP/1.1 200 OK\r\n", max(0, 1-i)), i)
			}
			return ""
		}, request())
		Expect(result.Oversized()).To(BeTrue(), "%v", result.Err)
		// The script allocates for each line that the socket takes, too.
		Expect(bytes).To(BeNumerically("<", 4*mb))
	})

	// Guards against memory that an announced or endless body takes. The bound is that of
	// a body, with the smaller buffers before it, and 1 MB.
	DescribeTable("are given up after a body of the greatest length",
		func(first, again string) {
			result, shared, bytes := send(endless(first, again), request())
			Expect(result.Oversized()).To(BeTrue(), "%v", result.Err)
			Expect(bytes).To(BeNumerically("<", 2*8*mb+mb))
			Expect(shared.Counters.Oversized.Load()).To(BeEquivalentTo(1))
		},
		Entry("with the connection as its end", head+"Connection: close\r\n\r\n", "x"),
		Entry("in chunks", head+"Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
		Entry("of a stated length", head+"Content-Length: 80000000000\r\n\r\n", "x"),
	)

	It("take little memory if a part of the body is enough", func() {
		r := request()
		r.Compact = shorten
		result, _, bytes := send(endless(head+"\r\n", "x"), r)
		Expect(result.Oversized()).To(BeTrue(), "%v", result.Err)
		Expect(bytes).To(BeNumerically("<", mb))
	})

	It("take no memory for a stated length of which nothing comes", func() {
		result, _, bytes := sendWithin(2*time.Second, func(_ int, id string, c net.Conn) string {
			_, _ = io.WriteString(c, strings.ReplaceAll(head, "ID", id)+"Content-Length: 8000000\r\n\r\n")
			time.Sleep(3 * time.Second)
			return ""
		}, request())
		Expect(result.Kind).To(Equal(backend.TimedOut))
		Expect(bytes).To(BeNumerically("<", mb))
	})

	It("end with the deadline if a byte comes now and then", func() {
		for _, first := range []string{"HTTP/1.1 200 OK\r\nA: ", head + "\r\n"} {
			result, _, _ := sendWithin(2*time.Second, func(_ int, id string, c net.Conn) string {
				_, err := io.WriteString(c, strings.ReplaceAll(first, "ID", id))
				for err == nil {
					_, err = io.WriteString(c, "x")
					time.Sleep(20 * time.Millisecond)
				}
				return ""
			}, request())
			Expect(result.Kind).To(Equal(backend.TimedOut))
		}
	})

	// Guards against a host that one bad replica of each of 135 shards takes down, and
	// against good answers that get no memory beside them.
	It("take no more than the memory for bodies on all connections together, and leave good answers alone", func() {
		const memoryLimit = 160 * mb
		debug.SetMemoryLimit(memoryLimit * 6 / 10) // as a host does
		DeferCleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
		shared := &backend.Shared{Codec: codec{}, Bodies: backend.NewBodies(memoryLimit)}
		bad := newScriptedTarget(endless(head+"\r\n", "x"))
		large := strings.Repeat("y", 100*kb)
		good := newScriptedTarget(func(_ int, id string, _ net.Conn) string { return answer(id, large) })
		badPool, goodPool := backend.NewPool(bad.Addr().String(), "b", shared, 135), backend.NewPool(good.Addr().String(), "g", shared, 4)
		DeferCleanup(badPool.Close)
		DeferCleanup(goodPool.Close)
		until := time.Now().Add(2 * time.Second)
		var running sync.WaitGroup
		for range 135 {
			running.Go(func() {
				for time.Now().Before(until) {
					result := badPool.Send(context.Background(), request(), time.Now().Add(800*time.Millisecond), false)
					result.Release()
				}
			})
		}
		var peak uint64
		failed := 0
		for time.Now().Before(until) {
			result := goodPool.Send(context.Background(), request(), time.Now().Add(2*time.Second), false)
			if result.Kind != backend.Success {
				failed++
				AddReportEntry("failed", fmt.Sprint(result.Err))
			}
			result.Release()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapInuse)
		}
		running.Wait()
		Expect(failed).To(BeZero())
		Expect(peak).To(BeNumerically("<", memoryLimit), "the process of a host would be killed; the targets are part of this one")
		Expect(shared.Bodies.Used()).To(BeZero(), "all room is free again")
	})
})
