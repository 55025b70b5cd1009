package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

// seatWorld is the processes of one seat, one after the other or overlapping, and
// two other hosts, with links that lose and delay messages.
type seatWorld struct {
	now    time.Time
	rng    *rand.Rand
	others []*seatProcess
	seat   []*seatProcess // the newest last
	list   []membership.Peer
	flight []delivery
	early  int // ticks of use before TakeoverWait
}

type seatProcess struct {
	peer    membership.Peer
	view    *membership.View
	started time.Time
	stopped bool      // gracefully: it uses nothing, but still sends
	uses    time.Time // naive: until then it uses the share although it said that it stopped
	gone    bool
}

func (w *seatWorld) start(name string, ordinal int) *seatProcess {
	p := &seatProcess{peer: membership.Peer{Name: name, OrdinalID: membership.OrdinalID{Place: "p", Ordinal: ordinal}}, started: w.now}
	p.view = membership.NewView(p.peer, uint64(w.now.UnixNano()), w.now, w.rng)
	p.view.SetPeers(w.list)
	return p
}

func (w *seatWorld) all() []*seatProcess {
	return append(append([]*seatProcess{}, w.others...), w.seat...)
}

func (w *seatWorld) publish(list ...membership.Peer) {
	w.list = append([]membership.Peer{w.others[0].peer, w.others[1].peer}, list...)
	for _, p := range w.all() {
		p.view.SetPeers(w.list)
	}
}

func (w *seatWorld) tick(t *rapid.T, loss int) {
	w.now = w.now.Add(membership.TickInterval)
	pending := w.flight
	w.flight = nil
	for _, m := range pending {
		if m.at.After(w.now) {
			w.flight = append(w.flight, m)
			continue
		}
		m.run(w.now)
	}
	fate := func() (time.Duration, bool) {
		return time.Duration(w.rng.IntN(500)) * time.Millisecond, w.rng.IntN(100) < loss
	}
	for _, from := range w.all() {
		if from.gone {
			continue
		}
		due, _ := from.view.Tick(w.now)
		for _, peer := range due {
			for _, to := range w.all() {
				delay, lost := fate()
				if to.peer.Name != peer.Name || lost {
					continue
				}
				sent, hb := w.now, from.view.Heartbeat()
				w.flight = append(w.flight, delivery{at: w.now.Add(delay), run: func(now time.Time) {
					back, lost := fate()
					if to.gone || lost {
						return
					}
					ack := to.view.Receive(now, hb, 1)
					w.flight = append(w.flight, delivery{at: now.Add(back), run: func(now time.Time) { from.view.Acked(now, sent, to.peer, ack) }})
				}})
			}
		}
	}
	users := 0
	for _, p := range w.seat {
		if !p.gone && (!p.stopped && p.view.MayUseShare(w.now, membership.ShareAssignment{}) || w.now.Before(p.uses)) {
			users++
			if w.now.Sub(p.started) < membership.TakeoverWait && len(w.seat) > 1 {
				w.early++
			}
		}
	}
	if users > 1 {
		panic(sharedSeat)
	}
}

const sharedSeat = "two processes of a seat use its share"

// drawSeat draws one history of a seat. It reports a share used twice, and for
// how many ticks a share was used before TakeoverWait.
func drawSeat(t *rapid.T, naive bool) (shared bool, early int) {
	defer func() {
		if r := recover(); r == sharedSeat {
			shared = true
		} else if r != nil {
			panic(r)
		}
	}()
	w := &seatWorld{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
	w.others = []*seatProcess{w.start("x", 1), w.start("y", 2)}
	loss := rapid.SampledFrom([]int{0, 10, 30}).Draw(t, "loss")
	run := func(limit int) {
		for range rapid.IntRange(0, limit).Draw(t, "ticks") {
			w.tick(t, loss)
		}
	}
	for n := range rapid.IntRange(2, 5).Draw(t, "processes") {
		p := w.start(fmt.Sprint("s", n), 0)
		w.seat = append(w.seat, p)
		w.publish(p.peer)
		run(120)
		switch rapid.SampledFrom([]string{"stop", "stop", "crash", "overlap"}).Draw(t, "end") {
		case "stop":
			if p.view.AnnounceStop(w.now) {
				p.stopped = true
				if naive {
					p.uses = w.now.Add(3 * time.Second)
				}
			}
			run(10) // the last heartbeats
			p.gone = !naive
		case "crash":
			p.gone = true
		}
		w.publish()
		run(20)
	}
	run(100)
	return false, w.early
}

// Guards against a replacement that uses the share of its seat while an earlier
// process does, and against one that waits although the earlier has stopped.
func TestVacantSeat(t *testing.T) {
	early := 0
	rapid.Check(t, func(t *rapid.T) {
		shared, n := drawSeat(t, false)
		if early += n; shared {
			t.Fatal(sharedSeat)
		}
	})
	if early == 0 {
		t.Fatal("no replacement used its share before takeover_wait")
	}
}

// TestVacantSeatFailsNaively shows that the check finds a process that says too
// early that it has stopped.
func TestVacantSeatFailsNaively(t *testing.T) {
	failed := false
	rapid.Check(t, func(t *rapid.T) {
		shared, _ := drawSeat(t, true)
		failed = failed || shared
	})
	if !failed {
		t.Fatal("no share was used twice")
	}
}
