package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// southernServices adds a lookup service and a command service to a deployment. Each has one
// target, in place south, that works on a request for 2 s.
func southernServices(d *fleet.Deployment) {
	for name, kind := range map[string]settings.ServiceKind{"cards": settings.KindLookup, "orders": settings.KindCommand} {
		d.Document.Services[name] = settings.Service{Kind: kind, PartitionEpoch: 1, Groups: []settings.Group{
			{ID: name, Range: keyspace.Split(1)[0], Targets: []settings.Target{
				{ID: name + "-0", Place: "south", Address: "127.0.0.1:1", Slots: 2, Connections: 8},
			}},
		}}
		d.Model.Services[name] = standin.ServiceModel{Records: 10, MedianMS: 2000, Noun: name}
	}
}

// startPlaces starts a host in each place of smallDeployment with southernServices.
func startPlaces(t *testing.T, overrides settings.Overrides) (f *fleet.Fleet, north, south *hostProcess) {
	d := smallDeployment()
	southernServices(d)
	f, hosts := startDeployment(t, d, overrides, "north", "south")
	return f, hosts[0], hosts[1]
}

// startThreePlaces is startPlaces with shortGrace and a third place, which has no targets.
func startThreePlaces(t *testing.T) (f *fleet.Fleet, north, south, west *hostProcess) {
	d := smallDeployment()
	southernServices(d)
	d.Document.Places["west"] = settings.Place{State: settings.PlaceIn, Hosts: 1}
	f, hosts := startDeployment(t, d, shortGrace, "north", "south", "west")
	return f, hosts[0], hosts[1], hosts[2]
}

// startDeployment starts a host in each of the places, with overrides of the settings.
func startDeployment(t *testing.T, d *fleet.Deployment, overrides settings.Overrides, places ...string) (f *fleet.Fleet, hosts []*hostProcess) {
	g := NewWithT(t)
	d.Document.Fleet.Settings["deadline_default"] = json.RawMessage(`"8s"`) // a lookup that is silent for 3/8 of it is sent again
	maps.Copy(d.Document.Fleet.Settings, overrides)
	f, err := fleet.StartStandins(d, hclog.NewNullLogger())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.Close)
	for _, place := range places {
		hosts = append(hosts, startProcess(t, f, place, 0))
	}
	for _, p := range hosts {
		g.Eventually(p.checkHealth, "15s", "20ms").Should(Succeed())
	}
	return f, hosts
}

// ticket returns the prefix of request identifiers whose home is this host.
func (p *hostProcess) ticket(g Gomega) string {
	var ticket api.TicketResponse
	g.Expect(callHost(context.Background(), http.MethodPost, p.settings.Listen.Callers, "/v1/tickets", nil, nil, &ticket)).To(Succeed())
	return ticket.TicketPrefix
}

// lookup reads a record of a service through this host.
func (p *hostProcess) lookup(service, requestID string) error {
	body, _ := json.Marshal(api.LookupRequest{ID: service + "-000001"})
	header := http.Header{}
	if requestID != "" {
		header.Set(api.HeaderRequestID, requestID)
	}
	return callHost(context.Background(), http.MethodPost, p.settings.Listen.Callers, "/v1/services/"+service+"/lookup", header, bytes.NewReader(body), new(api.LookupResponse))
}

// lookups starts n lookups of a service and returns the channel of their errors. The identifiers
// of a command service's requests begin with prefix.
func (p *hostProcess) lookups(service, prefix string, n int) <-chan error {
	errs := make(chan error, n)
	for i := range n {
		go func() {
			id := prefix
			if prefix != "" {
				id = fmt.Sprint(prefix, i)
			}
			errs <- p.lookup(service, id)
		}()
	}
	return errs
}

// awaitLookups waits until a target works on n lookups.
func awaitLookups(g Gomega, f *fleet.Fleet, target string, n int) {
	g.Eventually(func() int64 { return f.Searchers[target].Counts().Lookups.Load() }, "5s", "5ms").Should(BeNumerically(">=", n))
}

// Guards against a stopping host that cuts what its targets work on for hosts of other places.
func TestGracefulShutdownBranch(t *testing.T) {
	g := NewWithT(t)
	f, north, south := startPlaces(t, nil)
	orders := north.lookups("orders", north.ticket(g), 2)
	cards := north.lookups("cards", "", 2)
	awaitLookups(g, f, "orders-0", 2)
	awaitLookups(g, f, "cards-0", 2)
	g.Expect(south.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	for range 2 {
		g.Expect(<-orders).NotTo(HaveOccurred())
		g.Expect(<-cards).NotTo(HaveOccurred())
	}
	g.Expect(south.cmd.Wait()).To(Succeed(), south.log.String())
}

// Guards against a stop that lasts as long as other hosts go on sending, and against their
// answers lacking more than the targets of the stopped host.
func TestGracefulShutdownBranchUnderLoad(t *testing.T) {
	g := NewWithT(t)
	_, north, south := startPlaces(t, nil)
	var stopped atomic.Bool
	var wg sync.WaitGroup
	failed := make(chan error, 1)
	for range 4 {
		wg.Go(func() {
			for !stopped.Load() {
				body, _ := json.Marshal(api.SearchRequest{Terms: []string{"red"}})
				var answer api.SearchResponse
				err := callHost(context.Background(), http.MethodPost, north.settings.Listen.Callers, "/v1/services/tags/search", nil, bytes.NewReader(body), &answer)
				if err == nil && answer.Coverage < 0.5 {
					err = fmt.Errorf("coverage %g", answer.Coverage)
				}
				if err != nil {
					select {
					case failed <- err:
					default:
					}
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	g.Expect(south.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Expect(south.cmd.Wait()).To(Succeed(), south.log.String())
	took := time.Since(began)
	stopped.Store(true)
	wg.Wait()
	g.Expect(failed).NotTo(Receive())
	g.Expect(took).To(BeNumerically("<", 3*time.Second), "the grace period is 30 s")
	t.Logf("stopped after %s", took)
}
