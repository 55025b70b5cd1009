package engine

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The store's answer and a peer's state are published by two goroutines. The older
// view, published last, would bring an old configuration or a target that left back.
var _ = Describe("SetView", func() {
	It("ignores a view that is older than the one in force", func() {
		now := time.Unix(1000, 0)
		e := New(Config{RetryWindow: time.Second, Fleet: fleetOf{roster.New("a", "p", now)}, Log: hclog.NewNullLogger()})
		book := catalog.New()
		book.ApplyChanges(now, 1, []catalog.Item{{Kind: catalog.KindTarget, Name: "t", Target: &catalog.Target{ID: "t", Service: "s"}}})
		older := book.View()
		book.ApplyChanges(now, 2, []catalog.Item{{Kind: catalog.KindTarget, Name: "t", Revision: 2, Deleted: true}})
		e.SetView(book.View())
		e.SetView(older)
		Expect(e.View().Revision).To(BeEquivalentTo(2))
		Expect(e.View().Usable("s")).To(BeEmpty())
	})
})
