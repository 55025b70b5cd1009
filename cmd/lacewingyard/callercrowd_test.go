package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The crowd is fixed: a change of the product does not change it.
const (
	crowdSize      = 600
	crowdBodyBytes = 256 << 10 // max_body_bytes of the platform's limits
	// crowdByteBodyBytes is the length of a body sent in chunks of one byte.
	crowdByteBodyBytes = 32 << 10
	crowdHeadBytes     = 12 << 10 // of a half-sent head; max_header_bytes is 16 KB
	crowdUnread        = 300      // requests of a caller that reads no answer
	// crowdSendTimeout bounds the writes of one caller; the server need not read them all.
	crowdSendTimeout = 5 * time.Second
	// filesKept is the part of the descriptor limit that the platform keeps for files.
	filesKept = 200
)

// crowdHost is a process before a crowd of callers, with the limits in its settings.
type crowdHost struct {
	pid         int
	callers     string                 // address
	head        func(id string) string // head of a POST request, without its last empty line
	memoryBytes int64
	maxFDs      int
	ordinary    func() error // one ordinary request
	log         func() string
}

// crowd is what each caller of a crowd writes; the connection then stays open.
type crowd func(h *crowdHost, id string, w io.Writer)

func announcing(h *crowdHost, id string, length int) string {
	return h.head(id) + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

func chunked(body, size int) crowd {
	return func(h *crowdHost, id string, w io.Writer) {
		_, _ = io.WriteString(w, h.head(id)+"Transfer-Encoding: chunked\r\n\r\n")
		chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
		batch := strings.Repeat(chunk, max(1, 4096/size))
		for sent := 0; sent < body; sent += size * max(1, 4096/size) {
			if _, err := io.WriteString(w, batch); err != nil {
				return
			}
		}
	}
}

// The crowds that send bodies.
var bodyCrowds = map[string]crowd{
	"whole bodies": func(h *crowdHost, id string, w io.Writer) {
		_, _ = io.WriteString(w, announcing(h, id, crowdBodyBytes)+strings.Repeat("x", crowdBodyBytes))
	},
	"all but the last byte": func(h *crowdHost, id string, w io.Writer) {
		_, _ = io.WriteString(w, announcing(h, id, crowdBodyBytes)+strings.Repeat("x", crowdBodyBytes-1))
	},
	"chunks of 16 KB":    chunked(crowdBodyBytes, 16<<10),
	"chunks of one byte": chunked(crowdByteBodyBytes, 1),
}

// The crowds that hold connections.
var connectionCrowds = map[string]crowd{
	"half-sent heads": func(h *crowdHost, id string, w io.Writer) {
		head := h.head(id)
		for i := 0; len(head) < crowdHeadBytes; i++ {
			head += fmt.Sprintf("X%d: y\r\n", i)
		}
		_, _ = io.WriteString(w, head)
	},
	"answers nobody reads": func(h *crowdHost, id string, w io.Writer) {
		request := "GET /none/" + strings.Repeat("x", 8<<10) + " HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + id + "\r\n\r\n"
		_, _ = io.WriteString(w, strings.Repeat(request, crowdUnread))
	},
	"idle": func(*crowdHost, string, io.Writer) {},
}

// meet sends a crowd to the host. While its connections are still open, an ordinary request is
// answered; the process lives and stayed within its limits.
func (h *crowdHost) meet(t *testing.T, c crowd) {
	g := NewWithT(t)
	var peakFDs atomic.Int64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.pid))
			peakFDs.Store(max(peakFDs.Load(), int64(len(entries))))
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	conns := make([]net.Conn, crowdSize)
	var sent sync.WaitGroup
	for i := range conns {
		sent.Go(func() {
			conn, err := net.DialTimeout("tcp", h.callers, crowdSendTimeout)
			if err != nil {
				return // a refused caller holds nothing
			}
			conns[i] = conn
			_ = conn.(*net.TCPConn).SetReadBuffer(4096)
			_ = conn.SetDeadline(time.Now().Add(crowdSendTimeout))
			c(h, fmt.Sprintf("crowd-%d", i), conn)
		})
	}
	sent.Wait()
	defer func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}()
	g.Eventually(h.ordinary, "20s", "200ms").Should(Succeed())
	close(stop)
	<-stopped
	peak := peakMemory(g, h.pid)
	t.Logf("peak resident %.1f MB of %d, peak descriptors %d of %d", float64(peak)/(1<<20), h.memoryBytes>>20, peakFDs.Load(), h.maxFDs-filesKept)
	g.Expect(peak).To(BeNumerically("<=", h.memoryBytes), "peak resident bytes")
	g.Expect(peakFDs.Load()).To(BeNumerically("<=", h.maxFDs-filesKept), "open descriptors")
}

// peakMemory returns the peak resident size of a running process in bytes.
func peakMemory(g Gomega, pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	g.Expect(err).NotTo(HaveOccurred())
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	g.Expect(found).To(BeTrue(), "the process has ended")
	kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	g.Expect(err).NotTo(HaveOccurred())
	return kb << 10
}

// buildPlain builds the command without the race detector, whose memory would count several
// times that of the process against the limits, and returns its path.
func buildPlain(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "lacewingyard")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(output))
	return program
}

// runCrowds meets each crowd with a new process, one at a time.
func runCrowds(t *testing.T, crowds map[string]crowd, start func(t *testing.T) *crowdHost) {
	t.Setenv(programVariable, buildPlain(t))
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) {
			var h *crowdHost
			// Registered before the start, so that it runs after the end of the process.
			t.Cleanup(func() {
				if t.Failed() && h != nil {
					t.Log(h.log())
				}
			})
			h = start(t)
			h.meet(t, c)
		})
	}
}
