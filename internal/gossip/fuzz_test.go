package gossip

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

// FuzzState guards against a peer's state that ends the process when it is taken,
// or that makes a host forget what it knew.
func FuzzState(f *testing.F) {
	now := time.Unix(1000, 0)
	config := func(version uint64) catalog.Item {
		return catalog.Item{Kind: catalog.KindConfig, Revision: version, Config: &catalog.Config{Version: version,
			Routes: []catalog.Route{{Name: "r", Hostname: "h", Prefix: "/", Shards: []string{"a", "b"}}, {Name: "q", Prefix: "/q/"}}}}
	}
	target := catalog.Item{Kind: catalog.KindTarget, Name: "t", Revision: 3, Target: &catalog.Target{ID: "t", Service: "a", Cold: time.Second}}
	book := catalog.New()
	book.Replace(now, 3, []catalog.Item{config(1), target})
	whole := Update{View: book.View(), Revision: 3}
	if err := book.ApplyChanges(now, 6, []catalog.Item{config(5), {Kind: catalog.KindTarget, Name: "t", Revision: 6, Deleted: true}}); err != nil {
		f.Fatal(err)
	}
	changes, _ := book.ChangesSince(3, 1)
	for _, s := range []Update{whole, {Changes: changes, After: 3, Revision: 6}} {
		data, err := s.encode(now)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decodeState(data, now)
		if err != nil {
			return
		}
		mine := catalog.New()
		mine.Replace(now, 3, []catalog.Item{config(1), target})
		if s.View != nil {
			mine.Adopt(now, s.View)
		} else if err := mine.ApplyChanges(now, s.Revision, s.Changes); err != nil && mine.Revision() != 3 {
			t.Fatal("changes that were refused were applied")
		}
		if mine.Revision() < 3 || mine.ConfigVersion() < 1 {
			t.Fatal("the host knows less than before")
		}
		mine.View().Config.Route("h", "/x")
		if _, err := (&Update{View: mine.View(), Revision: mine.Revision()}).encode(now); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzHeartbeat guards against a datagram that ends the process or makes a host
// count more hosts than it was told of.
func FuzzHeartbeat(f *testing.F) {
	now := time.Unix(1000, 0)
	r := roster.New("frontend-place-0-0", "place-0", now)
	for i := 1; i < 30; i++ {
		r.Observe(now, fleetMember(i, 3, now))
	}
	states, pulses := r.Sample(now, 4, 10, 10, rand.New(rand.NewPCG(1, 1)))
	data, err := cbor.Marshal(message{Self: fleetMember(1, 3, now), Others: states, Pulses: pulses})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		g := Gossip{roster: roster.New("me", "place-0", now), rng: rand.New(rand.NewPCG(2, 2))}
		g.takeAt(now, m)
		if all := len(g.roster.Known()); all > 1+len(m.Others) {
			t.Fatalf("%d hosts of %d told", all, 1+len(m.Others))
		}
		g.roster.Receivers(now, 1, g.rng)
		g.passedOn(now, packet)
	})
}
