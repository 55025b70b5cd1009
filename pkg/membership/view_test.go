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
	// run ticks for a duration and returns the number of heartbeats sent.
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

	// Guards against a cost of heartbeats per host that grows with the fleet.
	DescribeTable("sends a bounded number of heartbeats per second", func(hosts, perSecond int) {
		setup(hosts)
		view.Pin([]string{"h1", "h2", "h3", "h4", "h5"})
		contacted := map[string]bool{}
		sent := run(100*time.Second, func(p membership.Peer) { contacted[p.Name] = true })
		Expect(sent).To(BeNumerically("~", 100*perSecond, 4))
		Expect(len(contacted)).To(BeNumerically(">=", perSecond))
	}, Entry("8 hosts", 8, 7), Entry("16 hosts", 16, 15), Entry("1300 hosts", 1300, 4))

	// Guards against fixed contacts, with which a partition of the graph of
	// contacts would be permanent.
	It("replaces a random contact every RotateInterval in a large fleet", func() {
		setup(1300)
		contacted := map[string]bool{}
		run(5*time.Minute, func(p membership.Peer) { contacted[p.Name] = true; view.Acked(now, now, p, confirmed) })
		// MaxContacts at the start, and 9 replacements before the end of the run.
		Expect(len(contacted)).To(BeNumerically("~", 13, 2))
	})

	// Guards against a host that stays cut off after the loss of all its few
	// contacts, which the host list still names.
	It("replaces contacts that do not acknowledge heartbeats", func() {
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

	// Guards against a peer that is counted as reachable because its heartbeats
	// arrive, although this host's heartbeats do not reach it.
	It("detects a path that works in one direction only", func() {
		setup(2)
		run(5*time.Second, func(p membership.Peer) { view.Receive(now, membership.Heartbeat{From: p, Incarnation: 1}, 1) })
		Expect(view.Reachable(now, "h1")).To(BeFalse())
		Expect(view.OneWayContacts(now)).To(ConsistOf("h1"))
		view.Acked(now, now, fleet[1], confirmed)
		Expect(view.OneWayContacts(now)).To(BeEmpty())
	})

	// Guards against two processes of one ordinal that both work.
	It("tells an older process of the newer one, and is superseded once an acknowledgement or a heartbeat shows a newer one", func() {
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
		Expect(view.Heartbeat().State.Leaving).To(BeTrue(), "callers must not get its address")
		setup(4)
		self := fleet[0]
		self.Name = "replacement"
		view.Receive(now, membership.Heartbeat{From: self, Incarnation: 11}, 1)
		Expect(view.Superseded()).To(BeTrue())
	})

	// Guards against a host that resumes after a pause and works on outdated state.
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

	// Guards against a fleet that never resumes after all its hosts were paused,
	// and against a host that resumes without an answer of any peer.
	It("is ready after ConfirmLimit if an unconfirmed peer acknowledges, but not confirmed", func() {
		setup(4)
		run(3*time.Second, func(membership.Peer) {})
		Expect(view.Ready(now)).To(BeFalse(), "no peer has answered")
		view.Acked(now, now, fleet[1], membership.Ack{Incarnation: 1, Config: 1})
		Expect(view.Ready(now)).To(BeTrue())
		Expect(view.Confirmed(now)).To(BeFalse())
	})

	// Guards against a stale host list of the platform that confirms a state
	// which peers know to be outdated.
	It("waits for peers until ConfirmLimit before it relies on the platform alone", func() {
		setup(4)
		view.Tick(now)
		view.PlatformRead(now, now)
		Expect(view.Ready(now)).To(BeFalse())
		run(membership.ConfirmLimit, func(membership.Peer) {})
		Expect(view.Ready(now)).To(BeTrue())
	})

	// Guards against a new owner that uses a share while the earlier owner still
	// uses it.
	It("permits the use of a share once the earlier owner must have stopped", func() {
		setup(4)
		Expect(view.MayUseShare(now, membership.ShareAssignment{})).To(BeFalse())
		now = now.Add(membership.TakeoverWait)
		Expect(view.MayUseShare(now, membership.ShareAssignment{})).To(BeTrue())
		// A new owner waits for TakeoverWait plus PropagationLimit: 5 s + 6 s.
		Expect(view.MayUseShare(now.Add(10*time.Second), membership.ShareAssignment{Since: now})).To(BeFalse())
		Expect(view.MayUseShare(now.Add(11*time.Second), membership.ShareAssignment{Since: now})).To(BeTrue())
	})
})

var _ = Describe("The first process of an ordinal", func() {
	now := time.Unix(1000, 0)
	id := membership.OrdinalID{Place: "p", Ordinal: 0}
	a := membership.Peer{Name: "a", OrdinalID: id}
	b := membership.Peer{Name: "b", OrdinalID: membership.OrdinalID{Place: "p", Ordinal: 1}}
	start := func(self membership.Peer, incarnation uint64, list ...membership.Peer) *membership.View {
		v := membership.NewView(self, incarnation, now, rand.New(rand.NewPCG(1, 2)))
		v.SetPeers(list)
		return v
	}
	tell := func(from, to *membership.View, peer membership.Peer) {
		from.Acked(now, now, peer, to.Receive(now, from.Heartbeat(), 1))
	}

	// Guards against a first start of a fleet that waits for processes that never
	// existed, and against two processes that use one share at the same time.
	DescribeTable("uses its share at once only if no other process is known",
		func(build func() *membership.View, want bool) {
			Expect(build().MayUseShare(now, membership.ShareAssignment{})).To(Equal(want))
		},
		Entry("the list names this host only", func() *membership.View { return start(a, 2, a) }, true),
		Entry("the list does not name this host yet", func() *membership.View { return start(a, 2, b) }, false),
		Entry("a peer has not answered", func() *membership.View { return start(a, 2, a, b) }, false),
		Entry("every peer knows of no other", func() *membership.View {
			v := start(a, 2, a, b)
			tell(v, start(b, 1, a, b), b)
			return v
		}, true),
		Entry("the list still names an earlier host", func() *membership.View {
			old := membership.Peer{Name: "old", OrdinalID: id}
			return start(a, 2, a, old)
		}, false),
		Entry("a peer's list named an earlier host", func() *membership.View {
			v, peer := start(a, 2, a, b), start(b, 1, membership.Peer{Name: "old", OrdinalID: id}, b)
			peer.SetPeers([]membership.Peer{a, b})
			tell(v, peer, b)
			return v
		}, false),
		Entry("a peer has received a heartbeat of another process of the same name", func() *membership.View {
			v, peer := start(a, 2, a, b), start(b, 1, a, b)
			tell(start(a, 1, a, b), peer, b)
			tell(v, peer, b)
			return v
		}, false),
		Entry("the fleet has more than FullMeshHosts hosts", func() *membership.View {
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
	// Guards against callers that get the address of a host that is shutting down,
	// because an older message of the host arrives late or the host becomes silent
	// while the host list still names it.
	It("stays leaving for the same process until the list no longer names the host", func() {
		now := time.Unix(1000, 0)
		me := membership.Peer{Name: "me", OrdinalID: membership.OrdinalID{Place: "p"}}
		other := membership.Peer{Name: "other", OrdinalID: membership.OrdinalID{Place: "p", Ordinal: 1}}
		view := membership.NewView(me, 1, now, rand.New(rand.NewPCG(1, 2)))
		view.SetPeers([]membership.Peer{me, other})
		receive := func(incarnation uint64, state membership.State) membership.State {
			view.Receive(now, membership.Heartbeat{From: other, Incarnation: incarnation, State: state}, 1)
			got, _ := view.PeerState(now, "other")
			return got
		}
		Expect(receive(1, membership.State{Load: 128})).To(Equal(membership.State{Load: 128}))
		Expect(receive(1, membership.State{Leaving: true}).Leaving).To(BeTrue())
		Expect(receive(1, membership.State{}).Leaving).To(BeTrue())
		now = now.Add(time.Minute)
		view.Tick(now)
		view.SetPeers([]membership.Peer{me, other})
		state, silent := view.PeerState(now, "other")
		Expect(state.Leaving && silent).To(BeTrue())
		Expect(receive(2, membership.State{}).Leaving).To(BeFalse(), "a new process")
		receive(2, membership.State{Leaving: true})
		view.SetPeers([]membership.Peer{me})
		state, silent = view.PeerState(now, "other")
		Expect(state.Leaving || silent).To(BeFalse(), "not listed")
	})

	// Guards against work sent to a host whose heartbeats still arrive although this
	// host's heartbeats do not reach it.
	It("is silent if the peer no longer acknowledges heartbeats", func() {
		now := time.Unix(1000, 0)
		me, other := membership.Peer{Name: "me"}, membership.Peer{Name: "other", OrdinalID: membership.OrdinalID{Ordinal: 1}}
		view := membership.NewView(me, 1, now, rand.New(rand.NewPCG(1, 2)))
		view.SetPeers([]membership.Peer{me, other})
		silent := func() bool {
			view.Receive(now, membership.Heartbeat{From: other, Incarnation: 1}, 1)
			_, silent := view.PeerState(now, "other")
			return silent
		}
		Expect(silent()).To(BeFalse(), "no heartbeat was sent yet")
		view.Acked(now, now, other, membership.Ack{Incarnation: 1})
		now = now.Add(membership.ReachabilityTimeout)
		Expect(silent()).To(BeFalse())
		now = now.Add(time.Millisecond)
		Expect(silent()).To(BeTrue())
	})
})
