package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

// ordinalSimulation simulates successive or overlapping processes of one ordinal,
// two other hosts, and links that lose and delay messages.
type ordinalSimulation struct {
	now       time.Time
	rng       *rand.Rand
	others    []*process
	processes []*process // of the ordinal, the newest last
	list      []membership.Peer
	inFlight  []delivery
	earlyUses int // ticks of use before TakeoverWait
}

type process struct {
	peer      membership.Peer
	view      *membership.View
	started   time.Time
	stopped   bool      // has announced its stop: uses nothing, but still sends
	usesUntil time.Time // naive process: uses the share until then although it announced its stop
	ended     bool
}

func (w *ordinalSimulation) start(name string, ordinal int) *process {
	p := &process{peer: membership.Peer{Name: name, OrdinalID: membership.OrdinalID{Place: "p", Ordinal: ordinal}}, started: w.now}
	p.view = membership.NewView(p.peer, uint64(w.now.UnixNano()), w.now, w.rng)
	p.view.SetPeers(w.list)
	return p
}

func (w *ordinalSimulation) all() []*process {
	return append(append([]*process{}, w.others...), w.processes...)
}

func (w *ordinalSimulation) publish(list ...membership.Peer) {
	w.list = append([]membership.Peer{w.others[0].peer, w.others[1].peer}, list...)
	for _, p := range w.all() {
		p.view.SetPeers(w.list)
	}
}

func (w *ordinalSimulation) tick(t *rapid.T, loss int) {
	w.now = w.now.Add(membership.TickInterval)
	pending := w.inFlight
	w.inFlight = nil
	for _, m := range pending {
		if m.at.After(w.now) {
			w.inFlight = append(w.inFlight, m)
			continue
		}
		m.run(w.now)
	}
	link := func() (time.Duration, bool) {
		return time.Duration(w.rng.IntN(500)) * time.Millisecond, w.rng.IntN(100) < loss
	}
	for _, from := range w.all() {
		if from.ended {
			continue
		}
		due, _ := from.view.Tick(w.now)
		for _, peer := range due {
			for _, to := range w.all() {
				delay, lost := link()
				if to.peer.Name != peer.Name || lost {
					continue
				}
				sent, hb := w.now, from.view.Heartbeat()
				w.inFlight = append(w.inFlight, delivery{at: w.now.Add(delay), run: func(now time.Time) {
					ackDelay, lost := link()
					if to.ended || lost {
						return
					}
					ack := to.view.Receive(now, hb, 1)
					w.inFlight = append(w.inFlight, delivery{at: now.Add(ackDelay), run: func(now time.Time) { from.view.Acked(now, sent, to.peer, ack) }})
				}})
			}
		}
	}
	users := 0
	for _, p := range w.processes {
		if !p.ended && (!p.stopped && p.view.MayUseShare(w.now, membership.ShareAssignment{}) || w.now.Before(p.usesUntil)) {
			users++
			if w.now.Sub(p.started) < membership.TakeoverWait && len(w.processes) > 1 {
				w.earlyUses++
			}
		}
	}
	if users > 1 {
		panic(sharedUse)
	}
}

const sharedUse = "two processes of an ordinal use its share"

// drawOrdinalHistory draws one history of an ordinal. It reports whether two
// processes used the share at once, and in how many ticks a replacement used the
// share before TakeoverWait.
func drawOrdinalHistory(t *rapid.T, naive bool) (shared bool, early int) {
	defer func() {
		if r := recover(); r == sharedUse {
			shared = true
		} else if r != nil {
			panic(r)
		}
	}()
	w := &ordinalSimulation{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
	w.others = []*process{w.start("x", 1), w.start("y", 2)}
	loss := rapid.SampledFrom([]int{0, 10, 30}).Draw(t, "loss")
	run := func(limit int) {
		for range rapid.IntRange(0, limit).Draw(t, "ticks") {
			w.tick(t, loss)
		}
	}
	for n := range rapid.IntRange(2, 5).Draw(t, "processes") {
		p := w.start(fmt.Sprint("s", n), 0)
		w.processes = append(w.processes, p)
		w.publish(p.peer)
		run(120)
		switch rapid.SampledFrom([]string{"stop", "stop", "crash", "overlap"}).Draw(t, "end") {
		case "stop":
			if p.view.AnnounceStop(w.now) {
				p.stopped = true
				if naive {
					p.usesUntil = w.now.Add(3 * time.Second)
				}
			}
			run(10) // sends the last heartbeats
			p.ended = !naive
		case "crash":
			p.ended = true
		}
		w.publish()
		run(20)
	}
	run(100)
	return false, w.earlyUses
}

// TestStoppedOrdinal guards against a replacement that uses the share of its
// ordinal while another process still does, and against a replacement that
// always waits although the other process has stopped.
func TestStoppedOrdinal(t *testing.T) {
	early := 0
	rapid.Check(t, func(t *rapid.T) {
		shared, n := drawOrdinalHistory(t, false)
		if early += n; shared {
			t.Fatal(sharedUse)
		}
	})
	if early == 0 {
		t.Fatal("no replacement used its share before the end of takeover_wait")
	}
}

// TestStoppedOrdinalFailsNaively shows that the same check fails if a process
// announces its stop while it still uses the share.
func TestStoppedOrdinalFailsNaively(t *testing.T) {
	failed := false
	rapid.Check(t, func(t *rapid.T) {
		shared, _ := drawOrdinalHistory(t, true)
		failed = failed || shared
	})
	if !failed {
		t.Fatal("found no history in which two processes use the share")
	}
}
