package edge

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/edge/site"
	"github.com/lacewingyard/lacewingyard/internal/gossip"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// scriptedPeer answers pulls from a book and records what the host knew.
type scriptedPeer struct {
	book  *catalog.Catalog
	asked chan gossip.Position
}

func (p *scriptedPeer) Pull(_ context.Context, _ string, known gossip.Position) (gossip.Update, error) {
	s := gossip.Update{Revision: p.book.Revision()}
	var ok bool
	if s.Changes, ok = p.book.ChangesSince(known.Revision, known.ConfigVersion); !ok {
		s.View = p.book.View()
	}
	p.asked <- known
	return s, nil
}

var _ = Describe("follower", func() {
	target := func(id string, revision uint64) catalog.Item {
		return catalog.Item{Kind: catalog.KindTarget, Name: id, Revision: revision, Target: &catalog.Target{ID: id, Service: "s"}}
	}
	config := func(version, revision uint64) catalog.Item {
		return catalog.Item{Kind: catalog.KindConfig, Revision: revision, Config: &catalog.Config{Version: version,
			Routes: []catalog.Route{{Name: "r", Attempts: int(version)}}}}
	}
	var peer *scriptedPeer
	var f *follower
	var published chan *catalog.View
	heard := func(news *gossip.Update) {
		f.heard(context.Background(), roster.State{Name: "peer", Revision: peer.book.Revision()}, news)
	}
	newsSince := func(after, config uint64) *gossip.Update {
		items, ok := peer.book.ChangesSince(after, config)
		Expect(ok).To(BeTrue())
		return &gossip.Update{After: after, Revision: peer.book.Revision(), Changes: items}
	}
	BeforeEach(func() {
		now := time.Now()
		peer = &scriptedPeer{book: catalog.New(), asked: make(chan gossip.Position, 10)}
		published = make(chan *catalog.View, 10)
		f = newFollower(&site.Settings{}, nil, peer, hclog.NewNullLogger(), func(time.Time) bool { return false }, func(v *catalog.View) { published <- v })
		items := []catalog.Item{config(1, 4), target("a", 5)}
		peer.book.Replace(now, 5, items)
		f.take(func(now time.Time) { f.book.Replace(now, 5, items) }, true)
		Expect(published).To(Receive())
	})

	It("takes changes from a heartbeat without asking for them", func() {
		peer.book.ApplyChanges(time.Now(), 7, []catalog.Item{target("b", 6), config(2, 7)})
		heard(newsSince(5, 1))
		var v *catalog.View
		Expect(published).To(Receive(&v))
		Expect(v.Usable("s")).To(HaveLen(2))
		Expect(v.Config.Routes[0].Attempts).To(Equal(2))
		Consistently(peer.asked, 50*time.Millisecond).ShouldNot(Receive())
		Expect(f.news()[0].Changes).To(HaveLen(2), "it tells them on")
		heard(newsSince(5, 1))
		Expect(published).NotTo(Receive(), "they are not news twice")
	})

	// Changes that follow on a state which the host missed would leave a gap, for
	// example a target that is still used though it is gone.
	It("asks for what it missed if changes do not follow on its state", func() {
		peer.book.ApplyChanges(time.Now(), 7, []catalog.Item{{Kind: catalog.KindTarget, Name: "a", Revision: 6, Deleted: true}, target("b", 7)})
		heard(newsSince(6, 1))
		Eventually(peer.asked).Should(Receive(Equal(gossip.Position{Revision: 5, ConfigVersion: 1})))
		var v *catalog.View
		Eventually(published).Should(Receive(&v))
		Expect(v.Usable("s")).To(HaveLen(1))
		Expect(v.Usable("s")[0].ID).To(Equal("b"))
	})

	It("asks for the whole state if a change of the configuration does not fit its own", func() {
		f.book.ApplyChanges(time.Now(), 5, []catalog.Item{config(3, 0)})
		peer.book.ApplyChanges(time.Now(), 9, []catalog.Item{config(4, 9)})
		heard(newsSince(5, 1))
		Eventually(peer.asked).Should(Receive(Equal(gossip.Position{Revision: 5, ConfigVersion: 3})))
		var v *catalog.View
		Eventually(published).Should(Receive(&v))
		Expect(v.Config.Version).To(BeEquivalentTo(4))
	})

	// After a loss of all hosts nobody answers; waiting for peers and the way to a
	// second range of keys kept callers out for 100 of 220 ms.
	It("reads the store soon after its start unless a peer has the state", func() {
		blind := newFollower(&site.Settings{}, nil, peer, hclog.NewNullLogger(), func(time.Time) bool { return false }, func(*catalog.View) {})
		const roundTrip = 8 * time.Millisecond // between places
		Expect(blind.due(blind.began.Add(roundTrip))).To(BeFalse())
		Expect(blind.due(blind.began.Add(4 * roundTrip))).To(BeTrue())
		blind.pulling = true
		Expect(blind.due(blind.began.Add(4 * roundTrip))).To(BeFalse())
		Expect(blind.due(blind.began.Add(time.Second))).To(BeTrue(), "a peer that does not answer")

		first := newFollower(&site.Settings{FirstStart: true}, nil, peer, hclog.NewNullLogger(), func(time.Time) bool { return false }, func(*catalog.View) {})
		Expect(first.due(first.began.Add(4*roundTrip))).To(BeFalse(), "no callers yet")
	})
})
