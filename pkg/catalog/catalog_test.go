package catalog_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Catalog", func() {
	now := time.Unix(1000, 0)
	config := func(version, revision uint64) catalog.Item {
		return catalog.Item{Kind: catalog.KindConfig, Revision: revision, Config: &catalog.Config{Version: version}}
	}
	target := func(id string, revision uint64, draining bool) catalog.Item {
		return catalog.Item{Kind: catalog.KindTarget, Name: id, Revision: revision,
			Target: &catalog.Target{ID: id, Service: "s", Place: "a", Draining: draining}}
	}
	deleted := func(id string, revision uint64) catalog.Item {
		return catalog.Item{Kind: catalog.KindTarget, Name: id, Revision: revision, Deleted: true}
	}
	usable := func(c *catalog.Catalog) (ids []string) {
		for _, t := range c.View().Usable("s") {
			ids = append(ids, t.ID)
		}
		return ids
	}

	// A late read, change or peer must not revert the configuration.
	It("never replaces the configuration by an older one, whatever its source", func() {
		c := catalog.New()
		c.ApplyChanges(now, 10, []catalog.Item{config(7, 10)})
		c.ApplyChanges(now, 11, []catalog.Item{config(5, 11)})
		Expect(c.View().Config.Version).To(BeEquivalentTo(7))
		c.Adopt(now, &catalog.View{Revision: 20, Config: &catalog.Config{Version: 6}})
		Expect(c.View().Config.Version).To(BeEquivalentTo(7))
		c.Replace(now, 5, []catalog.Item{config(9, 4)})
		Expect(c.Revision()).To(BeEquivalentTo(20), "an older read is ignored")
	})

	It("stops using a target that drains, was deleted, or has an entry that cannot be decoded", func() {
		c := catalog.New()
		c.Replace(now, 10, []catalog.Item{target("x", 3, false), target("y", 4, false), target("z", 5, false)})
		Expect(usable(c)).To(ConsistOf("x", "y", "z"))
		c.ApplyChanges(now, 13, []catalog.Item{target("x", 11, true), deleted("y", 12), {Kind: catalog.KindTarget, Name: "z", Revision: 13}})
		Expect(usable(c)).To(BeEmpty())
		c.ApplyChanges(now, 14, []catalog.Item{target("x", 9, false)})
		Expect(usable(c)).To(BeEmpty(), "a late change to an older state has no effect")
	})

	// Changes are lost while a watch of the store is interrupted; only a full read
	// shows which items were deleted meanwhile.
	It("removes items that were deleted during a gap in the changes", func() {
		c := catalog.New()
		c.Replace(now, 10, []catalog.Item{target("x", 3, false), {Kind: catalog.KindEvacuation, Name: "b", Revision: 5}})
		c.Replace(now, 30, []catalog.Item{target("y", 25, false)})
		Expect(usable(c)).To(ConsistOf("y"))
		Expect(c.View().Evacuated).To(BeEmpty())
	})

	It("has no usable target in an evacuated place until the evacuation ends", func() {
		c := catalog.New()
		c.Replace(now, 10, []catalog.Item{target("x", 3, false)})
		c.ApplyChanges(now, 11, []catalog.Item{{Kind: catalog.KindEvacuation, Name: "a", Revision: 11}})
		Expect(usable(c)).To(BeEmpty())
		c.ApplyChanges(now, 12, []catalog.Item{{Kind: catalog.KindEvacuation, Name: "a", Revision: 12, Deleted: true}})
		Expect(usable(c)).To(ConsistOf("x"))
	})

	// Entries of running targets expire during a store outage and are renewed within
	// two seconds after the outage. Without the retention all targets would be dropped.
	It("retains targets whose entries expired during a store outage until the retention ends", func() {
		c := catalog.New()
		c.Replace(now, 10, []catalog.Item{target("x", 3, false), target("y", 4, false)})
		c.StoreRecovered(now)
		c.ApplyChanges(now, 12, []catalog.Item{deleted("x", 11), deleted("y", 12)})
		Expect(usable(c)).To(ConsistOf("x", "y"))

		peer := catalog.New()
		peer.Adopt(now, c.View())
		c.ApplyChanges(now, 13, []catalog.Item{target("x", 13, false)})
		later := now.Add(catalog.MissingTargetRetention)
		Expect(c.Expire(later)).To(BeTrue())
		Expect(usable(c)).To(ConsistOf("x"))
		Expect(peer.Expire(later)).To(BeTrue())
		Expect(usable(peer)).To(BeEmpty(), "a host that adopted a peer's view removes them too")
	})

	// A watch that is delayed while a peer's newer state is adopted returns changes
	// that the state includes. One of them restored a target that was deleted since.
	It("ignores changes that it has already", func() {
		c, peer := catalog.New(), catalog.New()
		c.Replace(now, 10, nil)
		peer.ApplyChanges(now, 12, []catalog.Item{target("x", 11, false), deleted("x", 12)})
		c.Adopt(now, peer.View())
		c.ApplyChanges(now, 11, []catalog.Item{target("x", 11, false)})
		Expect(usable(c)).To(BeEmpty())
		Expect(c.Revision()).To(BeEquivalentTo(12))
	})

	It("has the same usable targets as after a full read, whatever the order of reads, watches and peers", func() {
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 1))
			var changes []catalog.Item
			at := func(revision uint64) (items []catalog.Item) { // the store's content
				last := map[string]catalog.Item{}
				for _, it := range changes[:revision] {
					last[it.Name] = it
				}
				for _, it := range last {
					if !it.Deleted {
						items = append(items, it)
					}
				}
				return items
			}
			for i := range 60 {
				revision := uint64(i + 1)
				id := fmt.Sprint(rng.IntN(6))
				if rng.IntN(3) == 0 {
					changes = append(changes, deleted(id, revision))
				} else {
					changes = append(changes, target(id, revision, rng.IntN(4) == 0))
				}
			}
			c, peer := catalog.New(), catalog.New()
			for c.Revision() < 60 {
				next := min(60, c.Revision()+uint64(1+rng.IntN(9)))
				switch rng.IntN(4) {
				case 0:
					c.Replace(now, next, at(next))
				case 1:
					from := c.Revision() - min(c.Revision(), uint64(rng.IntN(5))) // a watch from an earlier revision
					c.ApplyChanges(now, next, changes[from:next])
				case 2:
					if peer.Revision() < next {
						peer.ApplyChanges(now, next, changes[peer.Revision():next])
					}
					c.Adopt(now, peer.View())
				default:
					switch {
					case peer.Revision() >= next:
					case rng.IntN(2) == 0:
						peer.Replace(now, next, at(next))
					default:
						peer.ApplyChanges(now, next, changes[peer.Revision():next])
					}
					if items, ok := peer.ChangesSince(c.Revision(), c.ConfigVersion()); ok {
						Expect(c.ApplyChanges(now, peer.Revision(), items)).To(Succeed())
					} else {
						c.Adopt(now, peer.View())
					}
				}
			}
			want := catalog.New()
			want.Replace(now, 60, at(60))
			Expect(usable(c)).To(ConsistOf(usable(want)), "seed %d", seed)
		}
	})
})

var _ = Describe("Config", func() {
	It("routes by host name and longest prefix", func() {
		c := catalog.New()
		c.ApplyChanges(time.Now(), 1, []catalog.Item{{Kind: catalog.KindConfig, Config: &catalog.Config{Version: 1, Routes: []catalog.Route{
			{Name: "short", Hostname: "H", Prefix: "/a/"}, {Name: "long", Hostname: "h", Prefix: "/a/b/"},
		}}}})
		config := c.View().Config
		Expect(config.Route("h", "/a/b/c").Name).To(Equal("long"))
		Expect(config.Route("h:80", "/a/c").Name).To(Equal("short"))
		Expect(config.Route("h", "/a")).To(BeNil())
		Expect(config.Route("other", "/a/b/c")).To(BeNil())
	})
})
