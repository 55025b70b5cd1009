package atmostonce_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/atmostonce"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// Guards against a store that, at any time after a home closed, answers "not run" for
// a request that ran at that home, or loses an answer that the store accepted, and
// against a home that begins a request after the home closed.
func TestHandoverStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		home, now := newHome(), start
		store := atmostonce.NewHandoverStore[string](limits)
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
			if rapid.Bool().Draw(t, "finished") {
				home.Finish(now, id(n), outcome.Outcome{Kind: kind}, id(n).String())
				if rapid.Bool().Draw(t, "cached") {
					store.CacheAnswer(now, id(n), 1, outcome.Outcome{Kind: kind}, id(n).String())
				}
			} else {
				kinds[id(n).String()] = outcome.Unknown
			}
		}
		step()
		handover := home.Close(now)
		if home.Begin(now, id(9), 1, 0).Action == atmostonce.Run {
			t.Fatal("a closed home runs a request")
		}
		accepted := rapid.Bool().Draw(t, "handed over") && store.Accept(now, handover, limits.MaxDeadline)
		closedAt := now
		for range 8 {
			if now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "later")) * time.Second); now.After(closedAt.Add(limits.MaxDeadline)) {
				accepted = false
			}
			n := rapid.IntRange(0, 6).Draw(t, "request")
			key := id(n).String()
			d, known := store.Decide(now, id(n), 1)
			kind, began := kinds[key]
			switch {
			case d.Outcome.DidNotRun() && began && kind != outcome.NotRun:
				t.Fatalf("%s is answered as not run, but its outcome was %v", key, kind)
			case d.Action == atmostonce.Run || d.Action == atmostonce.Join:
				t.Fatalf("the store lets %s run", key)
			case known && d.Outcome.Kind == outcome.Answered && d.Answer != key:
				t.Fatalf("%s has the answer %q", key, d.Answer)
			case accepted && now.Before(closedAt.Add(limits.MaxDeadline)) && id(n).Ticket.Expiry.After(closedAt) && d.Outcome.Kind != kind && began:
				t.Fatalf("the outcome of %s was %v, the store decides %v", key, kind, d)
			case accepted && now.Before(closedAt.Add(limits.MaxDeadline)) && id(n).Ticket.Expiry.After(closedAt) && !began && !d.Outcome.DidNotRun():
				t.Fatalf("%s never began, the store decides %v", key, d)
			}
		}
	})
}

// Guards against a request that stays unknown because its home closed while it ran, although the
// host that ran it has the answer since, and against an answer to another body.
func TestHandoverStoreAnswersAfterUnknown(t *testing.T) {
	home := newHome()
	id := request(home, "a")
	home.Begin(start, id, 1, 0)
	for digest, want := range map[uint64]outcome.Kind{1: outcome.Answered, 2: outcome.Unknown} {
		store := atmostonce.NewHandoverStore[string](limits)
		store.Accept(start, home.Close(start), limits.MaxDeadline)
		if d, known := store.Decide(start, id, 1); !known || d.Outcome.Kind != outcome.Unknown {
			t.Fatalf("the store decides %v for a request that ran when its home closed", d)
		}
		store.CacheAnswer(start, id, digest, outcome.OK(), "answer")
		if d, known := store.Decide(start, id, 1); !known || d.Outcome.Kind != want {
			t.Fatalf("answer to body %d: the store decides %v", digest, d)
		}
	}
}
