package target_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/target"
	. "github.com/onsi/gomega"
)

// TestEndlessHead guards against a target that fills the memory of a host with the head
// of one answer: each connection is probed before it carries requests.
func TestEndlessHead(t *testing.T) {
	for name, line := range map[string]string{"one line": "x", "many lines": "Aa: b\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			closed := make(chan struct{}, 100)
			block := []byte(strings.Repeat(line, 64<<10/len(line)))
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = c.Close() }()
						_, err := http.ReadRequest(bufio.NewReader(c))
						if err == nil {
							_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nA: ")
						}
						for err == nil {
							_, err = c.Write(block)
						}
						closed <- struct{}{}
					}()
				}
			}()
			p := target.NewPool(l.Addr().String(), 1, 1, (&net.Dialer{}).DialContext, target.Events{Broken: func(time.Time) {}})
			defer p.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err = p.Acquire(ctx, false)
			g.Expect(err).To(HaveOccurred())
			g.Eventually(closed).Should(Receive())
			runtime.ReadMemStats(&after)
			g.Expect(p.Counts().Broken).To(BeNumerically(">", 0))
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 1<<20*int64(p.Counts().Dialed+1)))
		})
	}
}
