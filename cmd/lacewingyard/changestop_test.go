package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Guards against configurations that cut requests in progress on a stopping host: with shorter
// times, with targets in another place, or without the services.
func TestGracefulShutdownBesideChanges(t *testing.T) {
	for name, change := range map[string]func(*settings.Document){
		"shorter times": func(d *settings.Document) {
			d.Fleet.Settings["drain_grace"] = json.RawMessage(`"0s"`)
			d.Fleet.Settings["deadline_default"] = json.RawMessage(`"400ms"`)
			d.Fleet.Settings["deadline_max"] = json.RawMessage(`"500ms"`)
		},
		"targets moved": func(d *settings.Document) {
			for _, service := range []string{"cards", "orders"} {
				d.Services[service].Groups[0].Targets[0].Place = "north"
			}
		},
		"services removed": func(d *settings.Document) {
			delete(d.Services, "cards")
			delete(d.Services, "orders")
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, north, south := startPlaces(t, nil)
			open := []<-chan error{
				north.lookups("orders", north.ticket(g), 1), south.lookups("orders", south.ticket(g), 1),
				north.lookups("cards", "", 1), south.lookups("cards", "", 1),
			}
			awaitLookups(g, f, "orders-0", 2)
			awaitLookups(g, f, "cards-0", 2)
			g.Expect(south.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
			time.Sleep(50 * time.Millisecond)
			g.Expect(f.PublishConfig(change)).To(Succeed())
			for i, errs := range open {
				g.Expect(<-errs).NotTo(HaveOccurred(), "request %d", i)
			}
			g.Expect(south.cmd.Wait()).To(Succeed(), south.log.String())
		})
	}
}

// partialRequest is a request of which a host has read the header and not yet the body.
type partialRequest struct {
	conn net.Conn
	rest string
}

// begin sends a request without the end of its body.
func (p *hostProcess) begin(g Gomega, path, requestID, body string) *partialRequest {
	c, err := net.Dial("tcp", p.settings.Listen.Callers)
	g.Expect(err).NotTo(HaveOccurred())
	if requestID != "" {
		requestID = api.HeaderRequestID + ": " + requestID + "\r\n"
	}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: test\r\n%sContent-Length: %d\r\n\r\n%s", path, requestID, len(body), body[:2])
	g.Expect(err).NotTo(HaveOccurred())
	return &partialRequest{c, body[2:]}
}

// answer returns the status and the error of the answer.
func (r *partialRequest) answer(g Gomega) (int, api.Error) {
	defer r.conn.Close()
	g.Expect(r.conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(r.conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var failed api.Error
	g.Expect(json.NewDecoder(resp.Body).Decode(&failed)).To(Succeed())
	return resp.StatusCode, failed
}

// Guards against a service that is removed while a host reads the body of a request to it.
func TestServiceRemovedDuringRequest(t *testing.T) {
	g := NewWithT(t)
	f, north, _ := startPlaces(t, nil)
	requests := map[string]*partialRequest{
		"tags":   north.begin(g, "/v1/services/tags/search", "", `{"terms": ["red"]}`),
		"cards":  north.begin(g, "/v1/services/cards/lookup", "", `{"id": "cards-000001"}`),
		"orders": north.begin(g, "/v1/services/orders/lookup", north.ticket(g)+"a", `{"id": "orders-000001"}`),
	}
	time.Sleep(100 * time.Millisecond)
	g.Expect(f.PublishConfig(func(d *settings.Document) {
		d.Services = map[string]settings.Service{"other": d.Services["cards"]}
		d.Services["other"].Groups[0].Targets[0].ID = "other-0"
	})).To(Succeed())
	g.Eventually(func() string { return north.lookup("cards", "").Error() }, "5s", "50ms").Should(ContainSubstring("does not exist"))
	for service, r := range requests {
		_, err := r.conn.Write([]byte(r.rest))
		g.Expect(err).NotTo(HaveOccurred())
		status, failed := r.answer(g)
		g.Expect(status).To(Equal(http.StatusBadRequest), service)
		g.Expect(failed.Outcome).To(Equal(outcome.NotRun), service)
		g.Expect(failed.Message).To(ContainSubstring("does not exist any more"), service)
	}
	g.Expect(north.checkHealth()).To(Succeed())
}

// Guards against callers that do not finish their requests and so keep a stopping host until the
// end of its grace period, which then cuts them off.
func TestGracefulShutdownUnfinishedRequests(t *testing.T) {
	g := NewWithT(t)
	_, north, _ := startPlaces(t, shortGrace)
	requests := map[string]*partialRequest{
		"tags":   north.begin(g, "/v1/services/tags/search", "", `{"terms": ["red"]}`),
		"cards":  north.begin(g, "/v1/services/cards/lookup", "", `{"id": "cards-000001"}`),
		"orders": north.begin(g, "/v1/services/orders/lookup", north.ticket(g)+"a", `{"id": "orders-000001"}`),
	}
	time.Sleep(100 * time.Millisecond)
	g.Expect(north.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	for service, r := range requests {
		status, failed := r.answer(g)
		g.Expect(status).To(Equal(http.StatusServiceUnavailable), service)
		g.Expect(failed.Outcome).To(Equal(outcome.NotRun), service)
		g.Expect(failed.Reason).To(Equal(outcome.Draining), service)
	}
	g.Expect(north.cmd.Wait()).To(Succeed(), north.log.String())
}
