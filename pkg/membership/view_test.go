package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

var _ = Describe("View", func() {
	var (
		now   time.Time
		view  *membership.View
		fleet []membership.Peer
	)
	setup := func(hosts int) {
		now, fleet = time.Unix(1000, 0), nil
		for i := range hosts {
			fleet = append(fleet, membership.Peer{
				Name: fmt.Sprint("h", i), OrdinalID: membership.OrdinalID{Place: fmt.Sprint("p", i%4), Ordinal: i / 4}})
		}
		view = membership.NewView(fleet[0], 10, now, rand.New(rand.NewPCG(1, 2)))
		view.SetPeers(fleet)
		view.SetConfigInForce(now, 1)
	}
	confirmed := membership.Ack{Incarnation: 1, Confirmed: true, Config: 1}
	// run ticks for a time and returns the heartbeats sent.
	run := func(d time.Duration, each func(membership.Peer)) (sent int) {
		for end := now.Add(d); now.Before(end); now = now.Add(membership.TickInterval) {
			due, _ := view.Tick(now)
			for _, p := range due {
				sent++
				each(p)
			}
		}
		view.Tick(now)
		return sent
	}

	// Guards against heartbeats that cost more per host in a larger fleet.
	DescribeTable("sends a bounded number of heartbeats", func(hosts, perSecond int) {
		setup(hosts)
		view.Pin([]string{"h1", "h2", "h3", "h4", "h5"})
		met := map[string]bool{}
		sent := run(100*time.Second, func(p membership.Peer) { met[p.Name] = true })
		Expect(sent).To(BeNumerically("~", 100*perSecond, 4))
		Expect(len(met)).To(BeNumerically(">=", perSecond))
	}, Entry("8 hosts", 8, 7), Entry("16 hosts", 16, 15), Entry("1300 hosts", 1300, 4))

	// Guards against contacts that never change: a partition of the graph of
	// contacts would be permanent.
	It("exchanges a random contact now and then in a large fleet", func() {
		setup(1300)
		met := map[string]bool{}
		run(5*time.Minute, func(p membership.Peer) { met[p.Name] = true; view.Acked(now, now, p, confirmed) })
		Expect(len(met)).To(BeNumerically("~", 13, 2))
	})

	// Guards against a host that stays cut off because its few contacts were
	// lost together, while the host list still names them.
	It("replaces contacts that do not acknowledge", func() {
		setup(1300)
		run(10*time.Second, func(p membership.Peer) { view.Acked(now, now, p, confirmed) })
		lost := view.Contacts()
		run(15*time.Second, func(p membership.Peer) {
			if !slices.Contains(lost, p) {
				view.Acked(now, now, p, confirmed)
			}
		})
		for _, p := range view.Contacts() {
			Expect(lost).NotTo(ContainElement(p))
		}
	})

	// Guards against a peer that is only heard being taken for reachable.
	It("notices a path that works in one direction", func() {
		setup(2)
		run(5*time.Second, func(p membership.Peer) { view.Receive(now, membership.Heartbeat{From: p, Incarnation: 1}, 1) })
		Expect(view.Reachable(now, "h1")).To(BeFalse())
		Expect(view.OneWayContacts(now)).To(ConsistOf("h1"))
		view.Acked(now, now, fleet[1], confirmed)
		Expect(view.OneWayContacts(now)).To(BeEmpty())
	})

	// Guards against two processes of one ordinal both doing work.
	It("stops the older incarnation, whether it hears of the newer one itself or from a peer", func() {
		setup(4)
		ack := view.Receive(now, membership.Heartbeat{From: fleet[1], Incarnation: 9}, 1)
		Expect(ack.HigherIncarnation).To(BeZero())
		view.Receive(now, membership.Heartbeat{From: fleet[1], Incarnation: 12}, 1)
		Expect(view.Receive(now, membership.Heartbeat{From: fleet[1], Incarnation: 9}, 1).HigherIncarnation).To(Equal(uint64(12)))
		run(time.Second, func(p membership.Peer) { view.Acked(now, now, p, confirmed) })
		Expect(view.Ready(now)).To(BeTrue())
		view.Acked(now, now, fleet[2], membership.Ack{HigherIncarnation: 11, Confirmed: true})
		Expect(view.Superseded()).To(BeTrue())
		Expect(view.Ready(now)).To(BeFalse())
		Expect(view.Heartbeat().State.Leaving).To(BeTrue(), "callers must not be sent to it")
		setup(4)
		self := fleet[0]
		self.Name = "replacement"
		view.Receive(now, membership.Heartbeat{From: self, Incarnation: 11}, 1)
		Expect(view.Superseded()).To(BeTrue())
	})

	// Guards against a woken host working on what it knew before the pause.
	It("is not ready after a pause until its state is confirmed", func() {
		setup(4)
		run(time.Second, func(p membership.Peer) { view.Acked(now, now, p, confirmed) })
		Expect(view.Ready(now)).To(BeTrue())
		before := now
		now = now.Add(membership.TickInterval + membership.PauseLimit + 1)
		Expect(view.Ready(now)).To(BeFalse(), "before the first tick after the pause")
		view.Acked(now, before, fleet[1], confirmed) // sent before the pause
		_, paused := view.Tick(now)
		Expect(paused).To(BeTrue())
		view.Acked(now, before, fleet[1], confirmed)
		Expect(view.Ready(now)).To(BeFalse())
		view.Acked(now, now, fleet[1], confirmed)
		Expect(view.Ready(now)).To(BeTrue())
	})

	// Guards against a fleet that was paused as a whole never resuming, and
	// against a host that hears from nobody resuming.
	It("accepts an unconfirmed peer after the limit, for ordinary work only", func() {
		setup(4)
		run(3*time.Second, func(membership.Peer) {})
		Expect(view.Ready(now)).To(BeFalse(), "heard from nobody")
		view.Acked(now, now, fleet[1], membership.Ack{Incarnation: 1, Config: 1})
		Expect(view.Ready(now)).To(BeTrue())
		Expect(view.Confirmed(now)).To(BeFalse())
	})

	// Guards against a stale service confirming what peers know to be old.
	It("waits for peers before it goes by the platform alone", func() {
		setup(4)
		view.Tick(now)
		view.PlatformRead(now, now)
		Expect(view.Ready(now)).To(BeFalse())
		run(membership.ConfirmLimit, func(membership.Peer) {})
		Expect(view.Ready(now)).To(BeTrue())
	})

	// Guards against a new owner using a share that the earlier one still uses.
	It("lets a share be used after the earlier owner has stopped", func() {
		setup(4)
		Expect(view.MayUseShare(now, membership.ShareAssignment{})).To(BeFalse())
		now = now.Add(membership.TakeoverWait)
		Expect(view.MayUseShare(now, membership.ShareAssignment{})).To(BeTrue())
		Expect(view.MayUseShare(now.Add(10*time.Second), membership.ShareAssignment{Since: now})).To(BeFalse())
		Expect(view.MayUseShare(now.Add(11*time.Second), membership.ShareAssignment{Since: now})).To(BeTrue())
	})
})

var _ = Describe("The first process of a seat", func() {
	now := time.Unix(1000, 0)
	seat := membership.OrdinalID{Place: "p", Ordinal: 0}
	a := membership.Peer{Name: "a", OrdinalID: seat}
	b := membership.Peer{Name: "b", OrdinalID: membership.OrdinalID{Place: "p", Ordinal: 1}}
	start := func(self membership.Peer, incarnation uint64, list ...membership.Peer) *membership.View {
		v := membership.NewView(self, incarnation, now, rand.New(rand.NewPCG(1, 2)))
		v.SetPeers(list)
		return v
	}
	tell := func(from, to *membership.View, peer membership.Peer) {
		from.Acked(now, now, peer, to.Receive(now, from.Heartbeat(), 1))
	}

	// Guards against a fleet whose first start waits for processes that never
	// were, and against a share that two processes use at the same time.
	DescribeTable("uses its share at once only if no other process is known",
		func(build func() *membership.View, want bool) {
			Expect(build().MayUseShare(now, membership.ShareAssignment{})).To(Equal(want))
		},
		Entry("alone in the list", func() *membership.View { return start(a, 2, a) }, true),
		Entry("not in the list yet", func() *membership.View { return start(a, 2, b) }, false),
		Entry("a peer has not answered", func() *membership.View { return start(a, 2, a, b) }, false),
		Entry("every peer knows of no other", func() *membership.View {
			v := start(a, 2, a, b)
			tell(v, start(b, 1, a, b), b)
			return v
		}, true),
		Entry("the list still names an earlier host", func() *membership.View {
			old := membership.Peer{Name: "old", OrdinalID: seat}
			return start(a, 2, a, old)
		}, false),
		Entry("a peer's list named an earlier host", func() *membership.View {
			v, peer := start(a, 2, a, b), start(b, 1, membership.Peer{Name: "old", OrdinalID: seat}, b)
			peer.SetPeers([]membership.Peer{a, b})
			tell(v, peer, b)
			return v
		}, false),
		Entry("a peer has heard an earlier process of the same name", func() *membership.View {
			v, peer := start(a, 2, a, b), start(b, 1, a, b)
			tell(start(a, 1, a, b), peer, b)
			tell(v, peer, b)
			return v
		}, false),
		Entry("a large fleet", func() *membership.View {
			list := []membership.Peer{a}
			for i := range membership.FullMeshHosts {
				list = append(list, membership.Peer{Name: fmt.Sprint("x", i), OrdinalID: membership.OrdinalID{Place: "q", Ordinal: i}})
			}
			v := start(a, 2, list...)
			for _, p := range list[1:] {
				tell(v, start(p, 1, list...), p)
			}
			return v
		}, false),
	)
})

var _ = Describe("The state of a peer", func() {
	// Guards against a host that shuts down and is named to callers again,
	// because an older message of it arrives late or it falls silent while the
	// host list still names it.
	It("stays leaving for the same process until the list drops it", func() {
		now := time.Unix(1000, 0)
		me := membership.Peer{Name: "me", OrdinalID: membership.OrdinalID{Place: "p"}}
		other := membership.Peer{Name: "other", OrdinalID: membership.OrdinalID{Place: "p", Ordinal: 1}}
		view := membership.NewView(me, 1, now, rand.New(rand.NewPCG(1, 2)))
		view.SetPeers([]membership.Peer{me, other})
		hear := func(incarnation uint64, state membership.State) membership.State {
			view.Receive(now, membership.Heartbeat{From: other, Incarnation: incarnation, State: state}, 1)
			got, _ := view.PeerState(now, "other")
			return got
		}
		Expect(hear(1, membership.State{Load: 128})).To(Equal(membership.State{Load: 128}))
		Expect(hear(1, membership.State{Leaving: true}).Leaving).To(BeTrue())
		Expect(hear(1, membership.State{}).Leaving).To(BeTrue())
		now = now.Add(time.Minute)
		view.Tick(now)
		view.SetPeers([]membership.Peer{me, other})
		state, silent := view.PeerState(now, "other")
		Expect(state.Leaving && silent).To(BeTrue())
		Expect(hear(2, membership.State{}).Leaving).To(BeFalse(), "a new process")
		hear(2, membership.State{Leaving: true})
		view.SetPeers([]membership.Peer{me})
		state, silent = view.PeerState(now, "other")
		Expect(state.Leaving || silent).To(BeFalse(), "not listed")
	})

	// Guards against work for a host whose heartbeats still arrive although this
	// host's do not reach it.
	It("is silent if it no longer acknowledges", func() {
		now := time.Unix(1000, 0)
		me, other := membership.Peer{Name: "me"}, membership.Peer{Name: "other", OrdinalID: membership.OrdinalID{Ordinal: 1}}
		view := membership.NewView(me, 1, now, rand.New(rand.NewPCG(1, 2)))
		view.SetPeers([]membership.Peer{me, other})
		silent := func() bool {
			view.Receive(now, membership.Heartbeat{From: other, Incarnation: 1}, 1)
			_, silent := view.PeerState(now, "other")
			return silent
		}
		Expect(silent()).To(BeFalse(), "it was not asked yet")
		view.Acked(now, now, other, membership.Ack{Incarnation: 1})
		now = now.Add(membership.ReachabilityTimeout)
		Expect(silent()).To(BeFalse())
		now = now.Add(time.Millisecond)
		Expect(silent()).To(BeTrue())
	})
})
