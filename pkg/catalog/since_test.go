package catalog_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Since", func() {
	now := time.Unix(1000, 0)
	target := func(id string, revision uint64) catalog.Item {
		return catalog.Item{Kind: catalog.KindTarget, Name: id, Revision: revision, Target: &catalog.Target{ID: id, Service: "s"}}
	}
	gone := func(id string, revision uint64) catalog.Item {
		return catalog.Item{Kind: catalog.KindTarget, Name: id, Revision: revision, Deleted: true}
	}

	It("tells deletions and the end of evacuations", func() {
		b, peer := catalog.New(), catalog.New()
		items := []catalog.Item{target("x", 3), {Kind: catalog.KindEvacuation, Name: "p", Revision: 4}}
		b.Replace(now, 5, items)
		peer.Replace(now, 5, items)
		b.ApplyChanges(now, 8, []catalog.Item{gone("x", 7), {Kind: catalog.KindEvacuation, Name: "p", Revision: 8, Deleted: true}})
		changes, ok := b.ChangesSince(5, 0)
		Expect(ok).To(BeTrue())
		Expect(peer.ApplyChanges(now, b.Revision(), changes)).To(Succeed())
		Expect(peer.View().Usable("s")).To(BeEmpty())
		Expect(peer.View().Evacuated).To(BeEmpty())
	})

	// A target that lived and left between two complete reads is unknown to the host
	// that read, but a peer may use it.
	It("does not answer for what was deleted unseen before a complete read", func() {
		b, peer := catalog.New(), catalog.New()
		b.Replace(now, 5, nil)
		peer.ApplyChanges(now, 7, []catalog.Item{target("x", 7)})
		b.Replace(now, 9, nil)
		_, ok := b.ChangesSince(7, 0)
		Expect(ok).To(BeFalse())
		_, ok = b.ChangesSince(9, 0)
		Expect(ok).To(BeTrue())
		_, ok = b.ChangesSince(10, 0)
		Expect(ok).To(BeFalse(), "the peer knows more")
	})

	It("tells which targets are held since the store was away, and that they were dropped", func() {
		b, peer, late := catalog.New(), catalog.New(), catalog.New()
		for _, k := range []*catalog.Catalog{b, peer, late} {
			k.Replace(now, 5, []catalog.Item{target("x", 3)})
		}
		b.StoreRecovered(now)
		b.ApplyChanges(now, 7, []catalog.Item{gone("x", 7)})
		changes, _ := b.ChangesSince(5, 0)
		Expect(peer.ApplyChanges(now, 7, changes)).To(Succeed())
		Expect(peer.View().Usable("s")).To(HaveLen(1))
		end := now.Add(catalog.MissingTargetRetention)
		Expect(peer.Expire(end)).To(BeTrue())
		Expect(peer.View().Usable("s")).To(BeEmpty())

		Expect(b.Expire(end)).To(BeTrue())
		changes, _ = b.ChangesSince(5, 0)
		Expect(late.ApplyChanges(end, 7, changes)).To(Succeed())
		Expect(late.View().Usable("s")).To(BeEmpty())
	})

	// Without a bound, a fleet that replaces its targets all day would remember each.
	It("forgets the oldest deletions and answers only for what it remembers", func() {
		b := catalog.New()
		const deleted = 5000
		for i := range uint64(deleted) {
			b.ApplyChanges(now, i+1, []catalog.Item{gone(fmt.Sprint("t", i), i+1)})
		}
		_, ok := b.ChangesSince(1, 0)
		Expect(ok).To(BeFalse())
		changes, ok := b.ChangesSince(deleted-100, 0)
		Expect(ok).To(BeTrue())
		Expect(changes).To(HaveLen(100))
	})

	It("tells the whole configuration to a host with a version that it never had, and refuses a patch for another", func() {
		config := func(version uint64) catalog.Item {
			return catalog.Item{Kind: catalog.KindConfig, Revision: version, Config: &catalog.Config{Version: version,
				Routes: []catalog.Route{{Name: "r", Attempts: int(version)}}}}
		}
		b, peer := catalog.New(), catalog.New()
		b.ApplyChanges(now, 2, []catalog.Item{config(2)})
		b.ApplyChanges(now, 6, []catalog.Item{config(6)})
		peer.ApplyChanges(now, 4, []catalog.Item{config(4)})
		changes, _ := b.ChangesSince(4, 4)
		Expect(changes[0].Config.Version).To(BeEquivalentTo(6))
		changes, _ = b.ChangesSince(2, 2)
		Expect(changes[0].Patch).NotTo(BeNil())
		Expect(peer.ApplyChanges(now, 6, changes)).NotTo(Succeed())
		Expect(peer.Revision()).To(BeEquivalentTo(4), "nothing of it was applied")
	})

	It("patches any configuration into any other", func() {
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 3))
			draw := func(version uint64) *catalog.Config {
				c := &catalog.Config{Version: version, Services: map[string]catalog.Service{}, Limits: catalog.Limits{HeaderBytes: rng.IntN(3)}}
				for i := range 8 {
					if rng.IntN(2) == 0 {
						c.Routes = append(c.Routes, catalog.Route{Name: fmt.Sprint("r", i), Attempts: rng.IntN(2), Shards: []string{"a", "b"}[:rng.IntN(3)]})
					}
					if rng.IntN(2) == 0 {
						name := fmt.Sprint("s", i)
						c.Services[name] = catalog.Service{Name: name, MaxConnections: rng.IntN(2)}
					}
				}
				return c
			}
			b, peer := catalog.New(), catalog.New()
			old, current := draw(1), draw(2)
			for _, k := range []*catalog.Catalog{b, peer} {
				k.ApplyChanges(now, 1, []catalog.Item{{Kind: catalog.KindConfig, Revision: 1, Config: old}})
			}
			b.ApplyChanges(now, 2, []catalog.Item{{Kind: catalog.KindConfig, Revision: 2, Config: current}})
			changes, ok := b.ChangesSince(1, 1)
			Expect(ok).To(BeTrue())
			Expect(changes[0].Patch).NotTo(BeNil())
			Expect(peer.ApplyChanges(now, 2, changes)).To(Succeed())
			got := peer.View().Config
			Expect(got.Routes).To(ConsistOf(current.Routes), "seed %d", seed)
			Expect(got.Services).To(Equal(current.Services))
			Expect(got.Limits).To(Equal(current.Limits))
		}
	})
})
