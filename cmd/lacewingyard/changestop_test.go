package main

import (
	"encoding/json"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
