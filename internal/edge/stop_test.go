package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rawCaller sends requests with bodies on connections of its own.
type rawCaller struct {
	address string
	keep    bool          // use a connection for many requests
	pause   time.Duration // between the halves of a body
	c       net.Conn
	br      *bufio.Reader
	ended   bool // the last answer ended the connection
}

// newRawCaller returns a caller with an open connection to a host.
func newRawCaller(h *running) *rawCaller {
	c, err := net.DialTimeout("tcp", h.Address(h.Ports.Callers), time.Second)
	Expect(err).NotTo(HaveOccurred())
	return &rawCaller{c: c, br: bufio.NewReader(c)}
}

// call sends a request without a body on the open connection and reads its answer.
func (r *rawCaller) call(method, uri, id string, limit time.Duration) platformtest.Reply {
	began := time.Now()
	_ = r.c.SetDeadline(began.Add(limit + time.Second))
	failed := func(err error) platformtest.Reply { return platformtest.Reply{Err: err, Took: time.Since(began)} }
	req, err := platformtest.NewRequest(context.Background(), r.c.RemoteAddr().String(), method, uri, id, nil, limit)
	if err != nil {
		return failed(err)
	}
	if err := req.Write(r.c); err != nil {
		return failed(err)
	}
	resp, err := http.ReadResponse(r.br, req)
	if err != nil {
		return failed(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return failed(err)
	}
	reply := platformtest.ReplyOf(resp, body)
	reply.Took = time.Since(began)
	r.ended = resp.Close
	return reply
}

// post sends a request and reads its answer. It returns whether the request was sent
// completely, and an error unless a whole answer arrived.
func (r *rawCaller) post(id string) (sent bool, err error) {
	if r.c == nil {
		if r.c, err = net.DialTimeout("tcp", r.address, time.Second); err != nil {
			return false, err
		}
		r.br = bufio.NewReader(r.c)
	}
	keep := false
	defer func() {
		if !keep {
			_ = r.c.Close()
			r.c = nil
		}
	}()
	_ = r.c.SetDeadline(time.Now().Add(3 * time.Second))
	body := strings.Repeat("x", 2000)
	_, err = io.WriteString(r.c, platformtest.PostHead(platformtest.AtMostOncePrefix+id, id, 2*time.Second, len(body))+body[:1000])
	if err != nil {
		return false, err
	}
	time.Sleep(r.pause)
	if _, err = io.WriteString(r.c, body[1000:]); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(r.br, nil)
	if err != nil {
		return true, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	keep = err == nil && r.keep && !resp.Close
	return true, err
}

var _ = Describe("Host that is stopped under load", func() {
	// Guards against requests that were just accepted, or whose bodies are on the way,
	// and that end without an answer although they ran.
	It("answers each request that it has read, on new and kept connections", func() {
		f := newFixture(3)
		for _, h := range f.hosts[:2] { // one after the other
			var callers sync.WaitGroup
			var answered, aborted atomic.Int64
			stop := make(chan struct{})
			for i := range 12 {
				callers.Go(func() {
					r := &rawCaller{address: h.Address(h.Ports.Callers), keep: i%2 == 0, pause: time.Duration(i%4) * 3 * time.Millisecond}
					for {
						select {
						case <-stop:
							return
						default:
						}
						id := fmt.Sprintf("stop%06d", f.next.Add(1))
						sent, err := r.post(id)
						switch {
						case err == nil:
							answered.Add(1)
						case sent && f.runs(id) > 0:
							aborted.Add(1)
						}
						time.Sleep(time.Millisecond)
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			before := answered.Load()
			h.stop()
			var err error
			Eventually(h.ended, 10*time.Second).Should(Receive(&err))
			Expect(err).NotTo(HaveOccurred())
			h.ended <- nil
			close(stop)
			callers.Wait()
			Expect(answered.Load()).To(BeNumerically(">", before+50), "it serves while it leaves")
			Expect(aborted.Load()).To(BeZero())
		}
	})

	// callUntilEnded sends requests on kept connections while a host stops. It returns how many
	// connections ended with an answer, and how long after the signal the first one ended.
	callUntilEnded := func(f *fixture) (inOrder int, kept time.Duration) {
		h := f.hosts[0]
		var callers sync.WaitGroup
		var mu sync.Mutex
		var first time.Time
		for range 10 {
			c := newRawCaller(h)
			callers.Go(func() {
				for reply := (platformtest.Reply{}); reply.Err == nil && !c.ended; time.Sleep(100 * time.Millisecond) {
					id := fmt.Sprintf("used%06d", f.next.Add(1))
					reply = c.call(http.MethodPost, platformtest.AtMostOncePrefix+id, id, time.Second)
				}
				mu.Lock()
				defer mu.Unlock()
				if first.IsZero() {
					first = time.Now()
				}
				if c.ended {
					inOrder++
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		h.stop()
		began := time.Now()
		callers.Wait()
		var err error
		Eventually(h.ended, 3*time.Second).Should(Receive(&err))
		Expect(err).NotTo(HaveOccurred())
		h.ended <- nil
		return inOrder, first.Sub(began)
	}

	// Guards against requests that get no answer because they cross the close of a kept
	// connection that was idle just before.
	It("ends the kept connections that are in use with an answer", func() {
		inOrder, _ := callUntilEnded(newFixture(2))
		Expect(inOrder).To(Equal(10))
	})

	// Guards against the same after a request that was read long before its answer.
	It("ends a connection with an answer shortly before its listener closes", func() {
		f := newFixture(2)
		h := f.hosts[0]
		for _, t := range f.targets {
			t.SetServiceTime(600 * time.Millisecond)
		}
		c := newRawCaller(h)
		h.stop() // it closes its listener 1.73 s later
		time.Sleep(750 * time.Millisecond)
		id := fmt.Sprintf("long%06d", f.next.Add(1))
		reply := c.call(http.MethodPost, platformtest.AtMostOncePrefix+id, id, time.Second)
		Expect(reply.Err).NotTo(HaveOccurred())
		Expect(c.ended).To(BeTrue())
	})

	// Guards against callers that are left without a connection while all hosts stop at once.
	It("keeps them until its listener closes if no other host accepts callers", func() {
		_, kept := callUntilEnded(newFixture(1))
		Expect(kept).To(BeNumerically(">", 1700*time.Millisecond), "it closes its listener after two thirds of 2.6 s")
	})
})
