package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// halfClose sends a request, ends the caller's side of the connection once open returns, and
// returns an error if what it then reads is a success without the records or the true coverage.
func (p *hostProcess) halfClose(path, requestID, body string, open func()) error {
	c, err := net.Dial("tcp", p.settings.Listen.Callers)
	if err != nil {
		return err
	}
	defer c.Close()
	if requestID != "" {
		requestID = api.HeaderRequestID + ": " + requestID + "\r\n"
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: test\r\n%sContent-Length: %d\r\n\r\n%s", path, requestID, len(body), body)
	open()
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		return nil // the end of the connection claims nothing
	}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var answer struct {
		Outcome  outcome.Kind `json:"outcome"`
		Coverage *float64     `json:"coverage"`
		Message  string       `json:"message"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	switch {
	case resp.StatusCode >= 400 && answer.Message != "" && answer.Outcome != outcome.Answered:
		return nil
	case resp.StatusCode == http.StatusOK && answer.Outcome == outcome.Partial && answer.Coverage != nil && *answer.Coverage < 1:
		return nil
	default:
		return fmt.Errorf("status %d: %+v", resp.StatusCode, answer)
	}
}

// Guards against an empty success for a caller that ends its side of the connection and reads on,
// while the host serves or stops.
func TestHalfClosedCallers(t *testing.T) {
	g := NewWithT(t)
	f, north, _ := startPlaces(t, nil)
	ticket := north.ticket(g)
	g.Expect(north.lookup("cards", "")).To(Succeed())
	for _, s := range f.Searchers {
		s.SetFaults(standin.Faults{Stuck: true})
	}
	requests := map[string]string{"tags": `{"terms": ["red"]}`, "cards": `{"id": "cards-000001"}`, "orders": `{"id": "orders-000001"}`}
	open := func(phase string, wait time.Duration) {
		for service, body := range requests {
			path, id := "/v1/services/"+service+"/lookup", ""
			switch service {
			case "tags":
				path = strings.Replace(path, "lookup", "search", 1)
			case "orders":
				id = ticket + phase
			}
			g.Expect(north.halfClose(path, id, body, func() { time.Sleep(wait) })).To(Succeed(), "%s, %s", service, phase)
		}
	}
	open("with-the-request", 0)
	open("serving", 200*time.Millisecond)
	g.Expect(north.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	open("stopping", 50*time.Millisecond)
	g.Expect(north.cmd.Wait()).To(Succeed(), north.log.String())
}
