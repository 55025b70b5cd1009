package soak

import (
	"net"
	"net/http/httptest"
	"os"
	"strconv"
	"testing"

	"github.com/lacewingyard/lacewingyard/internal/edge"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/gomega"
)

// Guards against a host whose memory grows unseen in one of the builds.
func TestMemoryUseCountsTheHeap(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(edge.NewMetrics().Handler())
	defer server.Close()
	ip, port, err := net.SplitHostPort(server.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	h := &host{HostSettings: platformtest.HostSettings{Name: "host-0", IP: ip}}
	h.Ports.Operators, err = strconv.Atoi(port)
	g.Expect(err).NotTo(HaveOccurred())
	h.pid.Store(int64(os.Getpid()))
	executable, err := os.Executable()
	g.Expect(err).NotTo(HaveOccurred())
	detector, err := hasRaceDetector(executable)
	g.Expect(err).NotTo(HaveOccurred())
	resident := &testFleet{client: server.Client()}
	obtained := &testFleet{client: server.Client(), raceDetector: true}
	if !detector {
		g.Expect(obtained.memoryUse(t.Context(), h)).To(BeNumerically(">=", resident.memoryUse(t.Context(), h)))
	}

	const size = maxMemoryFraction * platformtest.MemoryLimitBytes
	heap := make([]byte, size)
	for i := range heap {
		heap[i] = 1
	}
	for _, s := range []*testFleet{resident, obtained} {
		g.Expect(s.memoryUse(t.Context(), h)).To(BeNumerically(">", len(heap)), "race detector: %t", s.raceDetector)
	}
	clear(heap[:1]) // the heap is in use until here
	server.Close()
	g.Expect(obtained.memoryUse(t.Context(), h)).To(BeZero(), "metrics that cannot be read")
}
