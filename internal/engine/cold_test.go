package engine

import (
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/notice"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fleetOf implements Fleet by the roster of one host.
type fleetOf struct{ *roster.Roster }

func (fleetOf) Hosts() (all, here int) { return 60, 20 }
func (fleetOf) ExtraShare() float64    { return 1.0 / 60 }
func (fleetOf) LimitPosition(_, _ string) notice.Position {
	return notice.Position{Hosts: 60, Group: 20, Local: true}
}
func (fleetOf) Shares() (fleet, place float64) { return 1.0 / 60, 1.0 / 20 }

var _ = Describe("A cold target", func() {
	start := time.Unix(1000, 0)

	// Guards against the failure of a target that has just started: a small load from
	// each of sixty hosts adds up to far more than the target's warm-up rate.
	It("gets at most 1.5 times its warm-up rate plus five requests in a second from all hosts together, even if their rosters differ", func() {
		const hosts, rate = 60, 4.0
		entry := &catalog.Target{ID: "t", Service: "s", Place: "p0", Cold: 5 * time.Second, SeenAt: start}
		config := catalog.New()
		config.ApplyChanges(start, 1, []catalog.Item{
			{Kind: catalog.KindConfig, Config: &catalog.Config{Version: 1, Services: map[string]catalog.Service{"s": {Name: "s", WarmupRate: rate}}}},
			{Kind: catalog.KindTarget, Name: "t", Target: entry},
		})
		var engines []*Engine
		for i := range hosts {
			r := roster.New(fmt.Sprint(i), fmt.Sprint("p", i%3), start)
			for j := range hosts {
				if (i+j)%10 > 0 { // each roster lacks a tenth of the hosts
					r.Observe(start, roster.State{Name: fmt.Sprint(j), Incarnation: 1, Place: fmt.Sprint("p", j%3)})
				}
			}
			e := New(Config{Place: fmt.Sprint("p", i%3), RetryWindow: 10 * time.Second, Fleet: fleetOf{r}, Log: hclog.NewNullLogger()})
			e.SetView(config.View())
			engines = append(engines, e)
		}
		var sent []time.Duration
		for at := time.Duration(0); at < 5*time.Second; at += 10 * time.Millisecond {
			for _, e := range engines {
				if t := e.targets["t"]; e.coldSendAllowed(t, start.Add(at)) {
					t.lastColdSend = start.Add(at)
					sent = append(sent, at)
				}
			}
		}
		Expect(sent).NotTo(BeEmpty(), "some host sends to the cold target")
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at < from+time.Second {
					n++
				}
			}
			// The rate is a mean. Each owner sends every 0.75 s, so twice in a second that
			// begins with a send, and rosters that differ may select more than two owners.
			Expect(float64(n)).To(BeNumerically("<=", rate*1.5+5), "in the second from %v", from)
		}
		Expect(engines[1].coldSendAllowed(engines[1].targets["t"], start.Add(5*time.Second))).To(BeTrue(), "every host may send once the target is warm")
	})
})
