package main

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	. "github.com/onsi/gomega"
)

// stalledPipe returns the writing end of a pipe that nobody reads, and a function that fills it.
func stalledPipe(t *testing.T) (w *os.File, fill func()) {
	g := NewWithT(t)
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _, _ = r.Close(), w.Close() })
	return w, func() {
		fd := int(w.Fd())
		g.Expect(syscall.SetNonblock(fd, true)).To(Succeed())
		for b := make([]byte, 1); ; {
			if _, err := syscall.Write(fd, b); errors.Is(err, syscall.EAGAIN) {
				break
			}
		}
		g.Expect(syscall.SetNonblock(fd, false)).To(Succeed())
	}
}

// awaitExit waits for the end of a process with status 0.
func awaitExit(g Gomega, cmd *exec.Cmd, within time.Duration) {
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	var err error
	g.Eventually(exited, within).Should(Receive(&err), "the process ends by itself")
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a stop that waits for the reader of the log, and so never answers the requests
// in progress.
func TestGracefulShutdownStalledLog(t *testing.T) {
	g := NewWithT(t)
	d := smallDeployment()
	d.Document.Fleet.Settings["drain_grace"] = json.RawMessage(`"1s"`)
	d.Document.Fleet.Settings["deadline_default"] = json.RawMessage(`"8s"`)
	f, err := fleet.StartStandins(d, hclog.NewNullLogger())
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	log, fill := stalledPipe(t)
	north := startProcessLogging(t, f, "north", 0, log)
	g.Eventually(north.checkHealth, "15s", "20ms").Should(Succeed())
	fill()
	open := openSearch(g, f, north)
	g.Expect(north.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Eventually(open, 3*time.Second).Should(Receive(BeNil()), "it ends with the host, with no coverage")
	awaitExit(g, north.cmd, 2*time.Second)
}

// Guards against a host that has answered all requests and is killed because nobody reads its log.
func TestEdgeEndsWithStalledLog(t *testing.T) {
	g := NewWithT(t)
	log, fill := stalledPipe(t)
	p := startEdge(t, log)
	fill()
	reply := p.callDuring(t, 1500*time.Millisecond, func() { g.Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed()) })
	g.Expect(reply.Err).NotTo(HaveOccurred())
	g.Expect(reply.Status).To(Equal(200))
	awaitExit(g, p.cmd, edgeGrace)
}
