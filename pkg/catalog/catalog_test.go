package catalog_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Book", func() {
	now := time.Unix(1000, 0)
	config := func(version, revision uint64) catalog.Item {
		return catalog.Item{Kind: catalog.KindConfig, Revision: revision, Config: &catalog.Config{Version: version}}
	}
	target := func(id string, revision uint64, draining bool) catalog.Item {
		return catalog.Item{Kind: catalog.KindTarget, Name: id, Revision: revision,
			Target: &catalog.Target{ID: id, Service: "s", Place: "a", Draining: draining}}
	}
	gone := func(id string, revision uint64) catalog.Item {
		return catalog.Item{Kind: catalog.KindTarget, Name: id, Revision: revision, Deleted: true}
	}
	usable := func(b *catalog.Catalog) (ids []string) {
		for _, t := range b.View().Usable("s") {
			ids = append(ids, t.ID)
		}
		return ids
	}

	It("never goes back to an older configuration, whoever brings it", func() {
		b := catalog.New()
		b.ApplyChanges(now, 10, []catalog.Item{config(7, 10)})
		b.ApplyChanges(now, 11, []catalog.Item{config(5, 11)})
		Expect(b.View().Config.Version).To(BeEquivalentTo(7))
		b.Adopt(now, &catalog.View{Revision: 20, Config: &catalog.Config{Version: 6}})
		Expect(b.View().Config.Version).To(BeEquivalentTo(7))
		b.Replace(now, 5, []catalog.Item{config(9, 4)})
		Expect(b.Revision()).To(BeEquivalentTo(20), "an older read is ignored")
	})

	It("stops using a target that drains, is gone, or cannot be read any more", func() {
		b := catalog.New()
		b.Replace(now, 10, []catalog.Item{target("x", 3, false), target("y", 4, false), target("z", 5, false)})
		Expect(usable(b)).To(ConsistOf("x", "y", "z"))
		b.ApplyChanges(now, 13, []catalog.Item{target("x", 11, true), gone("y", 12), {Kind: catalog.KindTarget, Name: "z", Revision: 13}})
		Expect(usable(b)).To(BeEmpty())
		b.ApplyChanges(now, 14, []catalog.Item{target("x", 9, false)})
		Expect(usable(b)).To(BeEmpty(), "a late notice of an older state changes nothing")
	})

	It("finds what was deleted during a gap in the history", func() {
		b := catalog.New()
		b.Replace(now, 10, []catalog.Item{target("x", 3, false), {Kind: catalog.KindEvacuation, Name: "b", Revision: 5}})
		b.Replace(now, 30, []catalog.Item{target("y", 25, false)})
		Expect(usable(b)).To(ConsistOf("y"))
		Expect(b.View().Evacuated).To(BeEmpty())
	})

	It("sends nothing to an evacuated place until it is taken back", func() {
		b := catalog.New()
		b.Replace(now, 10, []catalog.Item{target("x", 3, false)})
		b.ApplyChanges(now, 11, []catalog.Item{{Kind: catalog.KindEvacuation, Name: "a", Revision: 11}})
		Expect(usable(b)).To(BeEmpty())
		b.ApplyChanges(now, 12, []catalog.Item{{Kind: catalog.KindEvacuation, Name: "a", Revision: 12, Deleted: true}})
		Expect(usable(b)).To(ConsistOf("x"))
	})

	// Entries lapse while the store is down and are back two seconds later.
	It("keeps targets that lapsed while the store was away, for a while", func() {
		b := catalog.New()
		b.Replace(now, 10, []catalog.Item{target("x", 3, false), target("y", 4, false)})
		b.StoreRecovered(now)
		b.ApplyChanges(now, 12, []catalog.Item{gone("x", 11), gone("y", 12)})
		Expect(usable(b)).To(ConsistOf("x", "y"))

		peer := catalog.New()
		peer.Adopt(now, b.View())
		b.ApplyChanges(now, 13, []catalog.Item{target("x", 13, false)})
		later := now.Add(catalog.MissingTargetRetention)
		Expect(b.Expire(later)).To(BeTrue())
		Expect(usable(b)).To(ConsistOf("x"))
		Expect(peer.Expire(later)).To(BeTrue())
		Expect(usable(peer)).To(BeEmpty(), "a host that learned from a peer forgets them too")
	})

	// A watch that waits while a peer's newer state is adopted brings notices that
	// the state already holds; one of a target that is gone since brought it back.
	It("ignores notices of changes that it knows already", func() {
		b, peer := catalog.New(), catalog.New()
		b.Replace(now, 10, nil)
		peer.ApplyChanges(now, 12, []catalog.Item{target("x", 11, false), gone("x", 12)})
		b.Adopt(now, peer.View())
		b.ApplyChanges(now, 11, []catalog.Item{target("x", 11, false)})
		Expect(usable(b)).To(BeEmpty())
		Expect(b.Revision()).To(BeEquivalentTo(12))
	})

	It("agrees with a plain replay of all changes, whatever the order of reads, watches and peers", func() {
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 1))
			var history []catalog.Item
			at := func(revision uint64) (items []catalog.Item) { // the store's content
				last := map[string]catalog.Item{}
				for _, it := range history[:revision] {
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
					history = append(history, gone(id, revision))
				} else {
					history = append(history, target(id, revision, rng.IntN(4) == 0))
				}
			}
			b, peer := catalog.New(), catalog.New()
			for b.Revision() < 60 {
				next := min(60, b.Revision()+uint64(1+rng.IntN(9)))
				switch rng.IntN(4) {
				case 0:
					b.Replace(now, next, at(next))
				case 1:
					from := b.Revision() - min(b.Revision(), uint64(rng.IntN(5))) // a watch that began earlier
					b.ApplyChanges(now, next, history[from:next])
				case 2:
					if peer.Revision() < next {
						peer.ApplyChanges(now, next, history[peer.Revision():next])
					}
					b.Adopt(now, peer.View())
				default:
					switch {
					case peer.Revision() >= next:
					case rng.IntN(2) == 0:
						peer.Replace(now, next, at(next))
					default:
						peer.ApplyChanges(now, next, history[peer.Revision():next])
					}
					if items, ok := peer.ChangesSince(b.Revision(), b.ConfigVersion()); ok {
						Expect(b.ApplyChanges(now, peer.Revision(), items)).To(Succeed())
					} else {
						b.Adopt(now, peer.View())
					}
				}
			}
			want := catalog.New()
			want.Replace(now, 60, at(60))
			Expect(usable(b)).To(ConsistOf(usable(want)), "seed %d", seed)
		}
	})
})

var _ = Describe("Config", func() {
	It("routes by host name and longest prefix", func() {
		b := catalog.New()
		b.ApplyChanges(time.Now(), 1, []catalog.Item{{Kind: catalog.KindConfig, Config: &catalog.Config{Version: 1, Routes: []catalog.Route{
			{Name: "short", Hostname: "H", Prefix: "/a/"}, {Name: "long", Hostname: "h", Prefix: "/a/b/"},
		}}}})
		c := b.View().Config
		Expect(c.Route("h", "/a/b/c").Name).To(Equal("long"))
		Expect(c.Route("h:80", "/a/c").Name).To(Equal("short"))
		Expect(c.Route("h", "/a")).To(BeNil())
		Expect(c.Route("other", "/a/b/c")).To(BeNil())
	})
})
