package membership_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

// coldWorld is two owners of a target with links that lose and delay messages,
// and readers that get any published version of the host list.
type coldWorld struct {
	now    time.Time
	lists  [][]membership.Peer
	hosts  [2]*coldHost
	flight []delivery
	seen   [2]int // how often each rank held the allowance
}

type coldHost struct {
	peer   membership.Peer
	view   *membership.View
	paused time.Time // until then
	tick   time.Time
	list   int       // version of the host list held
	read   time.Time // when the list was read
	lent   time.Time // last acknowledgement of rank 0's heartbeats; for the naive rule
	acked  time.Time // when the last acknowledged heartbeat was sent; for the naive rule
}

type delivery struct {
	at  time.Time
	to  int
	run func(now time.Time)
}

func newColdWorld() *coldWorld {
	w := &coldWorld{now: time.Unix(1000, 0)}
	for rank := range w.hosts {
		w.hosts[rank] = &coldHost{peer: membership.Peer{Name: "h" + strconv.Itoa(rank), OrdinalID: membership.OrdinalID{Place: "p", Ordinal: rank}}}
	}
	w.lists = [][]membership.Peer{{w.hosts[0].peer, w.hosts[1].peer}}
	w.restart(0)
	w.restart(1)
	return w
}

func (w *coldWorld) restart(rank int) {
	h := w.hosts[rank]
	h.view = membership.NewView(h.peer, uint64(w.now.UnixNano()), w.now, rand.New(rand.NewPCG(1, 1)))
	h.tick, h.lent, h.acked, h.paused = w.now, w.now, time.Time{}, time.Time{}
	h.view.SetConfigInForce(w.now, 1)
	w.read(rank, len(w.lists)-1)
}

func (w *coldWorld) read(rank, version int) {
	h := w.hosts[rank]
	if version >= h.list {
		h.list = version
		h.view.SetPeers(w.lists[version])
	}
	h.read = w.now
	h.view.PlatformRead(w.now, w.now)
}

// advance runs the world to a time in steps, drawing the fate of each message.
func (w *coldWorld) advance(t *rapid.T, d time.Duration, loss int, delay time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(membership.TickInterval)
		pending := w.flight
		w.flight = nil
		for _, m := range pending {
			if m.at.After(w.now) || w.now.Before(w.hosts[m.to].paused) {
				w.flight = append(w.flight, m)
				continue
			}
			m.run(w.now)
		}
		for rank, h := range w.hosts {
			if w.now.Before(h.paused) {
				continue
			}
			due, _ := h.view.Tick(w.now)
			for range due {
				w.send(t, rank, loss, delay)
			}
		}
	}
}

func (w *coldWorld) send(t *rapid.T, rank, loss int, delay time.Duration) {
	from, to := w.hosts[rank], w.hosts[1-rank]
	sent, view, target := w.now, from.view, to.view
	hb := view.Heartbeat()
	lost := func() bool { return rapid.IntRange(1, 100).Draw(t, "fate") <= loss }
	if lost() {
		return
	}
	w.flight = append(w.flight, delivery{w.now.Add(delay), 1 - rank, func(now time.Time) {
		if to.view != target {
			return // the connection ended with the process
		}
		ack := target.Receive(now, hb, 1)
		if rank == 0 {
			to.lent = now
		}
		if lost() {
			return
		}
		w.flight = append(w.flight, delivery{now.Add(delay), rank, func(now time.Time) {
			if from.view == view {
				view.Acked(now, sent, to.peer, ack)
				from.acked = sent
			}
		}})
	}})
}

type coldRule func(w *coldWorld, rank int) bool

func leaseRule(w *coldWorld, rank int) bool {
	return w.hosts[rank].view.MayUseColdAllowance(w.now, rank, &w.hosts[1-rank].peer.OrdinalID)
}

// listRule also takes a recent read of the host list as a permission: each
// owner goes by the version it read.
func listRule(w *coldWorld, rank int) bool {
	h := w.hosts[rank]
	fresh := w.now.Sub(h.read) <= membership.IsolationLimit
	named := len(w.lists[h.list]) == 2
	if rank == 0 {
		return fresh && named || !h.acked.IsZero() && w.now.Sub(h.acked) <= membership.IsolationLimit
	}
	return fresh && !named && w.now.Sub(h.lent) >= membership.TakeoverWait
}

func (w *coldWorld) step(t *rapid.T, rule coldRule) (both bool) {
	rank := rapid.IntRange(0, 1).Draw(t, "rank")
	switch rapid.SampledFrom([]string{"run", "run", "run", "pause", "restart", "publish", "read", "read"}).Draw(t, "event") {
	case "pause":
		w.hosts[rank].paused = w.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "pause")) * 100 * time.Millisecond)
	case "restart":
		w.restart(rank)
	case "publish": // rank 0 is listed or not
		list := []membership.Peer{w.hosts[1].peer}
		if len(w.lists[len(w.lists)-1]) == 1 {
			list = append(list, w.hosts[0].peer)
		}
		w.lists = append(w.lists, list)
	case "read": // any version that was ever published
		if !w.now.Before(w.hosts[rank].paused) {
			w.read(rank, rapid.IntRange(0, len(w.lists)-1).Draw(t, "version"))
		}
	}
	loss := rapid.SampledFrom([]int{0, 30, 100}).Draw(t, "loss")
	delay := time.Duration(rapid.IntRange(0, 30).Draw(t, "delay")) * 100 * time.Millisecond
	for range rapid.IntRange(1, 80).Draw(t, "ticks") {
		w.advance(t, membership.TickInterval, loss, delay)
		held := 0
		for r, h := range w.hosts {
			if !w.now.Before(h.paused) && rule(w, r) {
				held++
				w.seen[r]++
			}
		}
		if held == 2 {
			return true
		}
	}
	return false
}

// TestColdBearableOneUser guards against both owners of a cold target using
// its allowance, under loss, delay, pauses, restarts and stale host lists.
func TestColdBearableOneUser(t *testing.T) {
	var seen [2]int
	rapid.Check(t, func(t *rapid.T) {
		w := newColdWorld()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			if w.step(t, leaseRule) {
				t.Fatalf("both owners hold the allowance at %v", w.now.Sub(time.Unix(1000, 0)))
			}
		}
		seen[0] += w.seen[0]
		seen[1] += w.seen[1]
	})
	if seen[0] == 0 || seen[1] == 0 {
		t.Fatalf("the allowance was used %d times by rank 0 and %d times by rank 1; the run shows nothing", seen[0], seen[1])
	}
}

// TestColdBearableHostListAlone shows that the same check fails when a recent
// read of the host list permits the use, as the first form of the rule did.
func TestColdBearableHostListAlone(t *testing.T) {
	failed := false
	rapid.Check(t, func(t *rapid.T) {
		w := newColdWorld()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			failed = failed || w.step(t, listRule)
		}
	})
	if !failed {
		t.Fatal("no case in which both owners hold the allowance was found")
	}
}
