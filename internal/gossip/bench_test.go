package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

// BenchmarkHeartbeat measures one heartbeat, made and taken, for docs/CAPACITY.md.
func BenchmarkHeartbeat(b *testing.B) {
	start := time.Unix(1000, 0)
	for _, size := range []struct{ hosts, places int }{{7, 3}, {60, 3}, {300, 3}, {1300, 23}} {
		r := roster.New("frontend-place-0-0", "place-0", start)
		for i := 1; i < size.hosts; i++ {
			r.Observe(start, fleetMember(i, size.places, start))
		}
		g := &Gossip{roster: r, rng: rand.New(rand.NewPCG(1, 1))}
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			bytes, receivers := 0, 0
			for b.Loop() {
				g.beats++
				receivers = len(g.roster.Receivers(start, g.beats, g.rng))
				m := message{Self: fleetMember(0, size.places, start)}
				m.Others, m.Pulses = g.passedOn(start, packet-stateBytes)
				data, err := cbor.Marshal(m)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
				var read message
				if err := cbor.Unmarshal(data, &read); err != nil {
					b.Fatal(err)
				}
				g.takeAt(start, read)
			}
			pace := r.HeartbeatParams()
			b.ReportMetric(float64(bytes), "B/datagram")
			perBeat := float64(receivers)
			if pace.NearFanout > 0 {
				perBeat = float64(pace.NearFanout) + float64(pace.FarFanout)/float64(pace.FarEvery)
			}
			b.ReportMetric(perBeat*float64(bytes)/pace.Interval.Seconds(), "B/s")
		})
	}
}

// BenchmarkState measures what a host hands on after a change, for
// docs/CAPACITY.md.
func BenchmarkState(b *testing.B) {
	now := time.Unix(1000, 0)
	const targets, routes = 6800, 2000
	target := func(i int, revision uint64) catalog.Item {
		id := fmt.Sprintf("i-%010x", i)
		return catalog.Item{Kind: catalog.KindTarget, Name: id, Revision: revision, Target: &catalog.Target{
			ID: id, Service: fmt.Sprint("svc", i%1300), Address: "10.111.111.111:8241", Place: "place-1", Slots: 4, Started: 1789446290053,
		}}
	}
	config := func(version, revision uint64) catalog.Item {
		c := &catalog.Config{Version: version, Services: map[string]catalog.Service{}}
		for i := range routes {
			c.Routes = append(c.Routes, catalog.Route{Name: fmt.Sprint("route", i), Hostname: "leno12.example", Prefix: fmt.Sprintf("/p%d/", i),
				Timeout: time.Second, Objective: 200 * time.Millisecond, Attempts: 2, Service: fmt.Sprint("svc", i%1300)})
		}
		c.Routes[0].Attempts = int(version)
		return catalog.Item{Kind: catalog.KindConfig, Revision: revision, Config: c}
	}
	book := catalog.New()
	items := []catalog.Item{config(1, 1)}
	for i := range targets {
		items = append(items, target(i, uint64(i+2)))
	}
	book.Replace(now, 10000, items)
	measure := func(name string, state func() Update) {
		b.Run(name, func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				s := state()
				data, err := s.encode(now)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := decodeState(data, now); err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes), "B")
		})
	}
	since := func(after, version uint64) func() Update {
		return func() Update {
			changes, ok := book.ChangesSince(after, version)
			if !ok {
				b.Fatal("not known since ", after)
			}
			return Update{After: after, Revision: book.Revision(), Changes: changes}
		}
	}
	measure("whole", func() Update { return Update{Revision: book.Revision(), View: book.View()} })
	if err := book.ApplyChanges(now, 10001, []catalog.Item{target(7, 10001)}); err != nil {
		b.Fatal(err)
	}
	measure("target", since(10000, 1))
	if err := book.ApplyChanges(now, 10002, []catalog.Item{config(2, 10002)}); err != nil {
		b.Fatal(err)
	}
	measure("route", since(10001, 1))
}
