package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	. "github.com/onsi/gomega"
)

// Guards against requests that get no answer because they cross the close of a kept connection
// that was idle just before.
func TestGracefulShutdownEndsKeptConnectionsWithAnAnswer(t *testing.T) {
	g := NewWithT(t)
	d := smallDeployment()
	d.Document.Fleet.Settings["entries_ttl"] = json.RawMessage(`"1s"`)
	f, err := fleet.StartStandins(d, hclog.NewNullLogger())
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	north := startProcess(t, f, "north", 0)
	g.Eventually(north.checkHealth, "15s", "20ms").Should(Succeed())
	kept, err := net.Dial("tcp", north.settings.Listen.Callers)
	g.Expect(err).NotTo(HaveOccurred())
	defer kept.Close()
	g.Expect(kept.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	in := bufio.NewReader(kept)
	g.Expect(north.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	for ended := false; !ended; time.Sleep(100 * time.Millisecond) {
		_, err := io.WriteString(kept, "GET /v1/entries HTTP/1.1\r\nHost: test\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(in, nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		ended = resp.Close
	}
	g.Expect(north.cmd.Wait()).To(Succeed(), north.log.String())
}
