package engine

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against an older view replacing a newer one: the goroutines that read the store
// and the peers publish views in any order, and the older view would restore an old
// configuration or a target that has left.
var _ = Describe("SetView", func() {
	It("ignores a view that is older than the one in force", func() {
		now := time.Unix(1000, 0)
		e := New(Config{RetryWindow: time.Second, Fleet: fleetOf{roster.New("a", "p", now)}, Log: hclog.NewNullLogger()})
		published := catalog.New()
		published.ApplyChanges(now, 1, []catalog.Item{{Kind: catalog.KindTarget, Name: "t", Target: &catalog.Target{ID: "t", Service: "s"}}})
		older := published.View()
		published.ApplyChanges(now, 2, []catalog.Item{{Kind: catalog.KindTarget, Name: "t", Revision: 2, Deleted: true}})
		e.SetView(published.View())
		e.SetView(older)
		Expect(e.View().Revision).To(BeEquivalentTo(2))
		Expect(e.View().Usable("s")).To(BeEmpty())
	})
})
