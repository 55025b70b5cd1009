package catalog_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("ChangesSince", func() {
	now := time.Unix(1000, 0)
	target := func(id string, revision uint64) catalog.Item {
		return catalog.Item{Kind: catalog.KindTarget, Name: id, Revision: revision, Target: &catalog.Target{ID: id, Service: "s"}}
	}
	deleted := func(id string, revision uint64) catalog.Item {
		return catalog.Item{Kind: catalog.KindTarget, Name: id, Revision: revision, Deleted: true}
	}

	// Without these changes a peer would use deleted targets and avoid a place for ever.
	It("returns deletions and the ends of evacuations", func() {
		c, peer := catalog.New(), catalog.New()
		items := []catalog.Item{target("x", 3), {Kind: catalog.KindEvacuation, Name: "p", Revision: 4}}
		c.Replace(now, 5, items)
		peer.Replace(now, 5, items)
		c.ApplyChanges(now, 8, []catalog.Item{deleted("x", 7), {Kind: catalog.KindEvacuation, Name: "p", Revision: 8, Deleted: true}})
		changes, ok := c.ChangesSince(5, 0)
		Expect(ok).To(BeTrue())
		Expect(peer.ApplyChanges(now, c.Revision(), changes)).To(Succeed())
		Expect(peer.View().Usable("s")).To(BeEmpty())
		Expect(peer.View().Evacuated).To(BeEmpty())
	})

	// A target created and deleted between two full reads is unknown to the host that
	// read, while a peer may still use the target.
	It("returns false for a revision before the last full read or after the catalog's own revision", func() {
		c, peer := catalog.New(), catalog.New()
		c.Replace(now, 5, nil)
		peer.ApplyChanges(now, 7, []catalog.Item{target("x", 7)})
		c.Replace(now, 9, nil)
		_, ok := c.ChangesSince(7, 0)
		Expect(ok).To(BeFalse())
		_, ok = c.ChangesSince(9, 0)
		Expect(ok).To(BeTrue())
		_, ok = c.ChangesSince(10, 0)
		Expect(ok).To(BeFalse(), "the peer has a later revision")
	})

	// Otherwise peers would drop all targets whose entries expired in the outage, or
	// keep those that never return.
	It("returns which targets are retained after a store outage, and their later removal", func() {
		c, peer, late := catalog.New(), catalog.New(), catalog.New()
		for _, each := range []*catalog.Catalog{c, peer, late} {
			each.Replace(now, 5, []catalog.Item{target("x", 3)})
		}
		c.StoreRecovered(now)
		c.ApplyChanges(now, 7, []catalog.Item{deleted("x", 7)})
		changes, _ := c.ChangesSince(5, 0)
		Expect(peer.ApplyChanges(now, 7, changes)).To(Succeed())
		Expect(peer.View().Usable("s")).To(HaveLen(1))
		end := now.Add(catalog.MissingTargetRetention)
		Expect(peer.Expire(end)).To(BeTrue())
		Expect(peer.View().Usable("s")).To(BeEmpty())

		Expect(c.Expire(end)).To(BeTrue())
		changes, _ = c.ChangesSince(5, 0)
		Expect(late.ApplyChanges(end, 7, changes)).To(Succeed())
		Expect(late.View().Usable("s")).To(BeEmpty())
	})

	// Without a bound, tombstones would accumulate in a fleet that replaces its targets
	// throughout the day.
	It("drops the oldest tombstones and returns false for revisions before them", func() {
		c := catalog.New()
		const count = 5000
		for i := range uint64(count) {
			c.ApplyChanges(now, i+1, []catalog.Item{deleted(fmt.Sprint("t", i), i+1)})
		}
		_, ok := c.ChangesSince(1, 0)
		Expect(ok).To(BeFalse())
		changes, ok := c.ChangesSince(count-100, 0)
		Expect(ok).To(BeTrue())
		Expect(changes).To(HaveLen(100))
	})

	// A patch applied to another version than its base gives a configuration that was
	// never published.
	It("returns the whole configuration for a version that the catalog never had, and rejects a patch of another version", func() {
		config := func(version uint64) catalog.Item {
			return catalog.Item{Kind: catalog.KindConfig, Revision: version, Config: &catalog.Config{Version: version,
				Routes: []catalog.Route{{Name: "r", Attempts: int(version)}}}}
		}
		c, peer := catalog.New(), catalog.New()
		c.ApplyChanges(now, 2, []catalog.Item{config(2)})
		c.ApplyChanges(now, 6, []catalog.Item{config(6)})
		peer.ApplyChanges(now, 4, []catalog.Item{config(4)})
		changes, _ := c.ChangesSince(4, 4)
		Expect(changes[0].Config.Version).To(BeEquivalentTo(6))
		changes, _ = c.ChangesSince(2, 2)
		Expect(changes[0].Patch).NotTo(BeNil())
		Expect(peer.ApplyChanges(now, 6, changes)).NotTo(Succeed())
		Expect(peer.Revision()).To(BeEquivalentTo(4), "no change was applied")
	})

	It("returns a patch from any configuration to any other", func() {
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 3))
			draw := func(version uint64) *catalog.Config {
				config := &catalog.Config{Version: version, Services: map[string]catalog.Service{}, Limits: catalog.Limits{HeaderBytes: rng.IntN(3)}}
				for i := range 8 {
					if rng.IntN(2) == 0 {
						config.Routes = append(config.Routes, catalog.Route{Name: fmt.Sprint("r", i), Attempts: rng.IntN(2), Shards: []string{"a", "b"}[:rng.IntN(3)]})
					}
					if rng.IntN(2) == 0 {
						name := fmt.Sprint("s", i)
						config.Services[name] = catalog.Service{Name: name, MaxConnections: rng.IntN(2)}
					}
				}
				return config
			}
			c, peer := catalog.New(), catalog.New()
			old, current := draw(1), draw(2)
			for _, each := range []*catalog.Catalog{c, peer} {
				each.ApplyChanges(now, 1, []catalog.Item{{Kind: catalog.KindConfig, Revision: 1, Config: old}})
			}
			c.ApplyChanges(now, 2, []catalog.Item{{Kind: catalog.KindConfig, Revision: 2, Config: current}})
			changes, ok := c.ChangesSince(1, 1)
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
