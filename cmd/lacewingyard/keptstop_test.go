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

	"github.com/lacewingyard/lacewingyard/pkg/settings"
	. "github.com/onsi/gomega"
)

// Guards against requests that get no answer because they cross the close of a kept connection
// that was idle just before.
func TestGracefulShutdownEndsKeptConnectionsWithAnAnswer(t *testing.T) {
	g := NewWithT(t)
	_, north, _ := startPlaces(t, settings.Overrides{"entries_ttl": json.RawMessage(`"1s"`)})
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
