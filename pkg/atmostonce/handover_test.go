package atmostonce_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/atmostonce"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// Guards against a successor that says "not run" for a request that ran at the
// home, at any time after the home stopped, or that loses an answer it holds,
// and against a home that begins a request after it stopped.
func TestHandoverStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		home, now := newHome(), start
		next := atmostonce.NewHandoverStore[string](limits)
		step := func() { now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second) }
		kinds := map[string]outcome.Kind{}
		id := func(n int) atmostonce.ID {
			return atmostonce.ID{Ticket: atmostonce.Ticket{Host: "h", Incarnation: 7, Expiry: start.Add(time.Duration(n%3+1) * time.Minute)}, Suffix: fmt.Sprint(n)}
		}
		for n := range rapid.IntRange(0, 6).Draw(t, "requests") {
			step()
			if home.Begin(now, id(n), 1, 0).Action != atmostonce.Run {
				continue
			}
			kind := rapid.SampledFrom([]outcome.Kind{outcome.Answered, outcome.Unknown, outcome.NotRun}).Draw(t, "kind")
			kinds[id(n).String()] = kind
			if rapid.Bool().Draw(t, "ends") {
				home.Finish(now, id(n), outcome.Outcome{Kind: kind}, id(n).String())
				if rapid.Bool().Draw(t, "noted") {
					next.CacheAnswer(now, id(n), 1, outcome.Outcome{Kind: kind}, id(n).String())
				}
			} else {
				kinds[id(n).String()] = outcome.Unknown
			}
		}
		step()
		handed := home.Close(now)
		if home.Begin(now, id(9), 1, 0).Action == atmostonce.Run {
			t.Fatal("a stopped home runs a request")
		}
		held := rapid.Bool().Draw(t, "told") && next.Accept(now, handed, limits.MaxDeadline)
		stopped := now
		for range 8 {
			if now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "later")) * time.Second); now.After(stopped.Add(limits.MaxDeadline)) {
				held = false
			}
			n := rapid.IntRange(0, 6).Draw(t, "asked")
			key := id(n).String()
			d, known := next.Decide(now, id(n), 1)
			kind, began := kinds[key]
			switch {
			case d.Outcome.DidNotRun() && began && kind != outcome.NotRun:
				t.Fatalf("%s is said not to have run, it was %v", key, kind)
			case d.Action == atmostonce.Run || d.Action == atmostonce.Join:
				t.Fatalf("a successor runs %s", key)
			case known && d.Outcome.Kind == outcome.Answered && d.Answer != key:
				t.Fatalf("%s has the answer %q", key, d.Answer)
			case held && now.Before(stopped.Add(limits.MaxDeadline)) && id(n).Ticket.Expiry.After(stopped) && d.Outcome.Kind != kind && began:
				t.Fatalf("%s was %v, the successor says %v", key, kind, d)
			case held && now.Before(stopped.Add(limits.MaxDeadline)) && id(n).Ticket.Expiry.After(stopped) && !began && !d.Outcome.DidNotRun():
				t.Fatalf("%s never began, the successor says %v", key, d)
			}
		}
	})
}
