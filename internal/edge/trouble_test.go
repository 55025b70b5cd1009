package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/internal/guard"
	"github.com/lacewingyard/lacewingyard/platform"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// scriptTarget registers a target that handles each request on a connection with a
// script, which returns false to close the connection. It returns the target for its key.
func (f *fixture) scriptTarget(id, service, place string, script func(c net.Conn, r *http.Request) bool) *platformtest.Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !script(c, r) {
						return
					}
				}
			}()
		}
	}()
	t := &platformtest.Target{ID: id, Service: service, Address: l.Addr().String(), Place: place}
	f.store.Put(t.Key(), t.Entry("ready"))
	return t
}

// dropTargets removes the targets of a service from the store.
func (f *fixture) dropTargets(service string) {
	for _, t := range f.targets {
		if t.Service == service {
			f.store.Delete(t.Key())
		}
	}
}

// heapPeak returns the largest heap in use while a function runs.
func heapPeak(f func()) uint64 {
	runtime.GC()
	done, peak := make(chan struct{}), make(chan uint64)
	go func() {
		var m runtime.MemStats
		var most uint64
		for {
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapInuse)
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	f()
	close(done)
	return <-peak
}

var _ = Describe("Host with a target in trouble", func() {
	const mb = 1 << 20

	// Guards against one bad target that ends every host which sends to it.
	DescribeTable("answers from the other targets, in little memory, while one of them sends without end",
		func(first, again string) {
			f := newFixture(1)
			block := []byte(strings.Repeat(again, 1+64<<10/len(again)))
			f.dropTargets("s1")
			for i := range 2 {
				f.scriptTarget(fmt.Sprint("endless-", i), "s1", "p0", func(c net.Conn, r *http.Request) bool {
					_, err := io.WriteString(c, strings.ReplaceAll(first, "HEAD", platformtest.AnswerHead("s1", r)))
					for err == nil {
						_, err = c.Write(block)
					}
					return false
				})
			}
			Eventually(func() int { r, _, _ := f.call(f.hosts[0], "GET", platformtest.SearchPrefix, nil); return r.Missing }, 3*time.Second).Should(Equal(1))
			peak := heapPeak(func() {
				for range 10 {
					r, id, uri := f.call(f.hosts[0], "GET", platformtest.SearchPrefix, nil)
					Expect(r.Status).To(Equal(200), "%v", r.Err)
					Expect(platformtest.CheckSearch(&r, id, uri, [][]string{shards})).To(BeEmpty())
					Expect(r.Missing).To(Equal(1))
				}
			})
			Expect(peak).To(BeNumerically("<", 40*mb))
		},
		Entry("in a status line", "HTTP/1.1 200 ", "x"),
		Entry("in a header line", "HEADA: ", "x"),
		Entry("in header lines", "HEAD", "Aa: b\r\n"),
		Entry("in a body", "HEAD\r\n", "0123456789abcdef"),
		Entry("in chunks", "HEADTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"),
	)

	// Guards against the records of a long part that are lost when it is shortened.
	It("merges the greatest records of a part of several MB", func() {
		f := newFixture(1)
		f.dropTargets("s1")
		const records = 100_000
		f.scriptTarget("long", "s1", "p0", func(c net.Conn, r *http.Request) bool {
			part := platformtest.Records("s1", r.RequestURI, 8)
			filler := make([]byte, 16*records)
			_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s%s", platformtest.AnswerHead("s1", r), len(part)+len(filler), filler, part)
			return err == nil
		})
		Eventually(func() string {
			r, id, uri := f.call(f.hosts[0], "GET", platformtest.SearchPrefix, nil)
			if r.Missing > 0 {
				return "the part is missing"
			}
			return platformtest.CheckSearch(&r, id, uri, [][]string{shards})
		}, 3*time.Second).Should(BeEmpty())
	})
})

var _ = Describe("Host with a caller in trouble", func() {
	// Guards against heads without end, which fill the memory of a host.
	It("ends connections on which a head has no end", func() {
		f := newFixture(1)
		h := f.hosts[0]
		block := []byte(strings.Repeat("Aa: b\r\n", 10_000))
		for _, address := range []string{h.Address(h.Ports.Callers), h.Address(h.Ports.Directory), h.Address(h.Ports.Ready), h.Address(h.Ports.Peers)} {
			peak := heapPeak(func() {
				c, err := net.Dial("tcp", address)
				Expect(err).NotTo(HaveOccurred())
				defer func() { _ = c.Close() }()
				_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n")
				for sent := 0; err == nil && sent < 500<<20; sent += len(block) {
					_, err = c.Write(block)
				}
				Expect(err).To(HaveOccurred(), "the host read 500 MB of a head")
			})
			Expect(peak).To(BeNumerically("<", 40<<20))
		}
	})
})

// fragileCodec panics for the answers of a service.
type fragileCodec struct {
	platform.Codec
	service string
}

func (c fragileCodec) Decode(resp *http.Response) backend.Head {
	head := c.Codec.Decode(resp)
	if strings.HasPrefix(head.Digest, c.service+".") {
		panic("answer of " + c.service)
	}
	return head
}

var _ = Describe("Host with an unexpected error", func() {
	// Guards against one answer that ends the process, and against a lock that stays
	// held so that the host serves nobody.
	It("gives up the send only and serves everything else", func() {
		before := guard.Panics()
		f := newFixtureWith(1, fragileCodec{service: "s1"})
		for range 20 {
			r, id, uri := f.call(f.hosts[0], "GET", platformtest.SearchPrefix, nil)
			Expect(r.Status).To(Equal(200), "%v", r.Err)
			Expect(platformtest.CheckSearch(&r, id, uri, [][]string{shards})).To(BeEmpty())
			Expect(r.Missing).To(Equal(1))
			r, _, _ = f.call(f.hosts[0], "POST", platformtest.AtMostOncePrefix, nil)
			Expect(r.Status).To(Equal(200), "%v", r.Err)
		}
		Expect(guard.Panics()).To(BeNumerically(">=", before+20))
	})
})
