package balance_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/balance"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Preconnect", func() {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	const tick, idleTimeout = 0.5, 9.0 // seconds

	// play has requests to all of 90 shards at the given times, on a host whose targets
	// close connections that are idle. It returns the connections that each request had
	// to open, and those that were opened ahead.
	play := func(requests []float64, until float64, limit int) (opened []int, ahead int) {
		var p balance.Preconnect
		used, connected := map[string]time.Time{}, map[string]time.Time{}
		next := 0
		for now := 0.0; now < until; now += tick {
			for ; next < len(requests) && requests[next] <= now; next++ {
				n := 0
				for i := range 90 {
					s := fmt.Sprint(i)
					if last, ok := connected[s]; !ok || at(requests[next]).Sub(last).Seconds() >= idleTimeout {
						n++
					}
					used[s], connected[s] = at(requests[next]), at(requests[next])
				}
				opened = append(opened, n)
			}
			var services []balance.ServiceConnections
			for i := range 90 {
				s := fmt.Sprint(i)
				last, ok := connected[s]
				services = append(services, balance.ServiceConnections{Service: s, LastUsed: used[s], Connected: ok && at(now).Sub(last).Seconds() < idleTimeout})
			}
			chosen := p.Next(at(now), services, limit)
			Expect(len(chosen)).To(BeNumerically("<=", limit))
			for _, s := range chosen {
				connected[s] = at(now)
				ahead++
			}
		}
		return opened, ahead
	}

	// Guards against fan-outs that open a connection to each shard: the first request, and
	// each one that comes after the targets closed idle connections.
	It("leaves few connections to requests that come once in a while", func() {
		opened, _ := play([]float64{5, 17, 40}, 45, 25)
		Expect(opened).To(HaveLen(3))
		for _, n := range opened {
			Expect(n).To(BeNumerically("<=", 25))
		}
	})

	// Guards against connections for callers that do not come: each holds a slot of a
	// target while it is opened.
	It("connects once for a service without requests, and stops after the last request", func() {
		_, ahead := play(nil, 120, 25)
		Expect(ahead).To(Equal(90))
		_, ahead = play([]float64{5}, 300, 25)
		Expect(ahead).To(BeNumerically("<=", 90*5))
	})

	// Guards against an attempt in each round for a service without a reachable target.
	It("waits between attempts, tries those first that it tried longest ago, and forgets services that left", func() {
		var p balance.Preconnect
		services := []balance.ServiceConnections{{Service: "a", LastUsed: start}, {Service: "b", LastUsed: start}, {Service: "c", LastUsed: start, Connected: true}}
		Expect(p.Next(at(0), services, 1)).To(Equal([]string{"a"}))
		Expect(p.Next(at(0.5), services, 2)).To(Equal([]string{"b"}))
		Expect(p.Next(at(1), services, 2)).To(BeEmpty())
		Expect(p.Next(at(3), services, 1)).To(Equal([]string{"a"}))
		Expect(p.Next(at(3.5), services[1:], 2)).To(Equal([]string{"b"}))
		Expect(p.Next(at(3.6), []balance.ServiceConnections{{Service: "a"}}, 2)).To(Equal([]string{"a"}), "it is new again")
	})
})
