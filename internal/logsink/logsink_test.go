package logsink_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/logsink"
	. "github.com/onsi/gomega"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	out     bytes.Buffer
	release chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// Guards against a host that blocks on its log because the reader of the log has
// stopped reading.
func TestSinkNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	s := logsink.New(out)
	for range 5000 {
		n, err := s.Write([]byte("line\n"))
		g.Expect(n).To(Equal(5))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(s.Dropped()).To(BeNumerically(">", 2000))
	close(out.release)
	s.Close()
	g.Expect(strings.Count(out.out.String(), "line\n")).To(BeNumerically(">=", 2048))
	g.Expect(out.out.String()).To(ContainSubstring("log lines were dropped"))
}

// Guards against a host that panics while it ends, because one of its goroutines still logs.
func TestSinkTakesLinesAfterClose(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	s := logsink.New(&out)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 5000 {
				_, _ = s.Write([]byte("line\n"))
			}
		})
	}
	_, _ = s.Write([]byte("last line before the end\n"))
	s.Close()
	writers.Wait()
	n, err := s.Write([]byte("late\n"))
	g.Expect(n).To(Equal(5))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.String()).NotTo(ContainSubstring("late"))
}

// Guards against a host that does not end because the reader of its log has stalled.
func TestSinkCloseDoesNotWaitForAStalledReader(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	defer close(out.release)
	s := logsink.New(out)
	_, _ = s.Write([]byte("line\n"))
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		s.Close()
	}()
	g.Eventually(closed, time.Second).Should(BeClosed())
}
