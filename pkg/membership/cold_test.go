package membership_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

// coldSimulation simulates the two owners of a cold target, links that lose and
// delay messages, and host-list reads that return any published version.
type coldSimulation struct {
	now      time.Time
	lists    [][]membership.Peer
	hosts    [2]*coldHost
	inFlight []delivery
	useTicks [2]int // ticks in which each rank might use the allowance
}

type coldHost struct {
	peer          membership.Peer
	view          *membership.View
	pausedUntil   time.Time
	lastTick      time.Time
	listVersion   int       // index of the adopted host list
	listReadAt    time.Time // when a host list was last read
	lastHeartbeat time.Time // when this host last received a heartbeat of rank 0; for the naive rule
	ackedSentAt   time.Time // when the last acknowledged heartbeat was sent; for the naive rule
}

// delivery is a message in flight.
type delivery struct {
	at  time.Time
	to  int
	run func(now time.Time)
}

func newColdSimulation() *coldSimulation {
	w := &coldSimulation{now: time.Unix(1000, 0)}
	for rank := range w.hosts {
		w.hosts[rank] = &coldHost{peer: membership.Peer{Name: "h" + strconv.Itoa(rank), OrdinalID: membership.OrdinalID{Place: "p", Ordinal: rank}}}
	}
	w.lists = [][]membership.Peer{{w.hosts[0].peer, w.hosts[1].peer}}
	w.restart(0)
	w.restart(1)
	return w
}

func (w *coldSimulation) restart(rank int) {
	h := w.hosts[rank]
	h.view = membership.NewView(h.peer, uint64(w.now.UnixNano()), w.now, rand.New(rand.NewPCG(1, 1)))
	h.lastTick, h.lastHeartbeat, h.ackedSentAt, h.pausedUntil = w.now, w.now, time.Time{}, time.Time{}
	h.view.SetConfigInForce(w.now, 1)
	w.readList(rank, len(w.lists)-1)
}

func (w *coldSimulation) readList(rank, version int) {
	h := w.hosts[rank]
	if version >= h.listVersion {
		h.listVersion = version
		h.view.SetPeers(w.lists[version])
	}
	h.listReadAt = w.now
	h.view.PlatformRead(w.now, w.now)
}

// advance runs the simulation for a duration, tick by tick, and draws which
// messages are lost.
func (w *coldSimulation) advance(t *rapid.T, d time.Duration, loss int, delay time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(membership.TickInterval)
		pending := w.inFlight
		w.inFlight = nil
		for _, m := range pending {
			if m.at.After(w.now) || w.now.Before(w.hosts[m.to].pausedUntil) {
				w.inFlight = append(w.inFlight, m)
				continue
			}
			m.run(w.now)
		}
		for rank, h := range w.hosts {
			if w.now.Before(h.pausedUntil) {
				continue
			}
			due, _ := h.view.Tick(w.now)
			for range due {
				w.send(t, rank, loss, delay)
			}
		}
	}
}

func (w *coldSimulation) send(t *rapid.T, rank, loss int, delay time.Duration) {
	from, to := w.hosts[rank], w.hosts[1-rank]
	sent, view, target := w.now, from.view, to.view
	hb := view.Heartbeat()
	lost := func() bool { return rapid.IntRange(1, 100).Draw(t, "loss of a message") <= loss }
	if lost() {
		return
	}
	w.inFlight = append(w.inFlight, delivery{w.now.Add(delay), 1 - rank, func(now time.Time) {
		if to.view != target {
			return // the connection ended with the process
		}
		ack := target.Receive(now, hb, 1)
		if rank == 0 {
			to.lastHeartbeat = now
		}
		if lost() {
			return
		}
		w.inFlight = append(w.inFlight, delivery{now.Add(delay), rank, func(now time.Time) {
			if from.view == view {
				view.Acked(now, sent, to.peer, ack)
				from.ackedSentAt = sent
			}
		}})
	}})
}

// coldRule decides whether the owner of a rank may use the cold allowance.
type coldRule func(w *coldSimulation, rank int) bool

func promiseRule(w *coldSimulation, rank int) bool {
	return w.hosts[rank].view.MayUseColdAllowance(w.now, rank, &w.hosts[1-rank].peer.OrdinalID)
}

// listRule is the naive rule: a recent read of the host list also permits the use,
// and each owner relies on the version that it read.
func listRule(w *coldSimulation, rank int) bool {
	h := w.hosts[rank]
	fresh := w.now.Sub(h.listReadAt) <= membership.IsolationLimit
	named := len(w.lists[h.listVersion]) == 2
	if rank == 0 {
		return fresh && named || !h.ackedSentAt.IsZero() && w.now.Sub(h.ackedSentAt) <= membership.IsolationLimit
	}
	return fresh && !named && w.now.Sub(h.lastHeartbeat) >= membership.TakeoverWait
}

// step draws an event and up to 80 ticks, and reports whether both owners may use
// the allowance in the same tick.
func (w *coldSimulation) step(t *rapid.T, rule coldRule) (both bool) {
	rank := rapid.IntRange(0, 1).Draw(t, "rank")
	switch rapid.SampledFrom([]string{"run", "run", "run", "pause", "restart", "publish", "read", "read"}).Draw(t, "event") {
	case "pause":
		w.hosts[rank].pausedUntil = w.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "pause")) * 100 * time.Millisecond)
	case "restart":
		w.restart(rank)
	case "publish": // adds or removes rank 0
		list := []membership.Peer{w.hosts[1].peer}
		if len(w.lists[len(w.lists)-1]) == 1 {
			list = append(list, w.hosts[0].peer)
		}
		w.lists = append(w.lists, list)
	case "read": // any published version, also an old one
		if !w.now.Before(w.hosts[rank].pausedUntil) {
			w.readList(rank, rapid.IntRange(0, len(w.lists)-1).Draw(t, "version"))
		}
	}
	loss := rapid.SampledFrom([]int{0, 30, 100}).Draw(t, "loss")
	delay := time.Duration(rapid.IntRange(0, 30).Draw(t, "delay")) * 100 * time.Millisecond
	for range rapid.IntRange(1, 80).Draw(t, "ticks") {
		w.advance(t, membership.TickInterval, loss, delay)
		users := 0
		for r, h := range w.hosts {
			if !w.now.Before(h.pausedUntil) && rule(w, r) {
				users++
				w.useTicks[r]++
			}
		}
		if users == 2 {
			return true
		}
	}
	return false
}

// TestColdBearableOneUser guards against both owners of a cold target using its
// allowance at once, under loss, delay, pauses, restarts and stale host lists.
func TestColdBearableOneUser(t *testing.T) {
	var seen [2]int
	rapid.Check(t, func(t *rapid.T) {
		w := newColdSimulation()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			if w.step(t, promiseRule) {
				t.Fatalf("both owners use the allowance at %v", w.now.Sub(time.Unix(1000, 0)))
			}
		}
		seen[0] += w.useTicks[0]
		seen[1] += w.useTicks[1]
	})
	if seen[0] == 0 || seen[1] == 0 {
		t.Fatalf("the allowance was used in %d ticks by rank 0 and in %d ticks by rank 1; the check needs uses by both", seen[0], seen[1])
	}
}

// TestColdBearableHostListAlone shows that the same check fails if a recent read
// of the host list permits the use, as an earlier version of the rule did.
func TestColdBearableHostListAlone(t *testing.T) {
	failed := false
	rapid.Check(t, func(t *rapid.T) {
		w := newColdSimulation()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			failed = failed || w.step(t, listRule)
		}
	})
	if !failed {
		t.Fatal("found no history in which both owners use the allowance")
	}
}
