package logsink_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/lacewingyard/lacewingyard/internal/logsink"
	. "github.com/onsi/gomega"
)

// stuck is a writer that does not return until it is released.
type stuck struct {
	mu      sync.Mutex
	out     bytes.Buffer
	release chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// A reader of the log that stops reading must not stop the host.
func TestSinkNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := &stuck{release: make(chan struct{})}
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
