package engine

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/notice"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// silentObserver ignores what it is told.
type silentObserver struct{}

func (silentObserver) Sent(string, *backend.Result, bool)      {}
func (silentObserver) Finished(string, *Answer, time.Duration) {}
func (silentObserver) Answered(*Answer)                        {}
func (silentObserver) Noticed(string, notice.Change)           {}

var _ = Describe("The notice of a target that leaves", func() {
	var e *Engine
	var state *catalog.Catalog
	revision := uint64(0)
	leaves := &backend.Result{Kind: backend.Success, Head: backend.Head{ID: "1", Notices: notice.Said{Leaving: true}}}
	publish := func(started int64, deleted bool) {
		revision++
		item := catalog.Item{Kind: catalog.KindTarget, Name: "t", Revision: revision, Deleted: deleted}
		if !deleted {
			item.Target = &catalog.Target{ID: "t", Service: "s", Place: "p", Address: "127.0.0.1:1", Started: started}
		}
		Expect(state.ApplyChanges(time.Now(), revision, []catalog.Item{item})).To(Succeed())
		e.SetView(state.View())
	}
	observe := func(t *target) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.observeNotices(t, leaves, time.Now())
	}
	BeforeEach(func() {
		e = New(Config{Place: "p", RetryWindow: 10 * time.Second, Fleet: fleetOf{roster.New("h", "p", time.Now())}, Log: hclog.NewNullLogger(), Observer: silentObserver{}})
		state, revision = catalog.New(), 0
		publish(1, false)
	})

	// Guards against an older state of the store or of a peer that brings the target back.
	It("holds after its entry has gone and returned", func() {
		observe(e.targets["t"])
		publish(1, true)
		publish(1, false)
		Expect(e.targets["t"].notices.IsLeaving()).To(BeTrue())
	})

	// Guards against a last answer that comes after the entry has gone.
	It("counts in an answer that arrives after its entry has gone, or has returned", func() {
		first := e.targets["t"]
		publish(1, true)
		observe(first)
		publish(1, false)
		Expect(e.targets["t"].notices.IsLeaving()).To(BeTrue())

		publish(2, false)
		second := e.targets["t"]
		publish(2, true)
		publish(2, false)
		observe(second)
		Expect(e.targets["t"].notices.IsLeaving()).To(BeTrue())
	})

	// Guards against a notice that outlives the process which gave it.
	It("does not hold for another process", func() {
		observe(e.targets["t"])
		publish(2, false)
		Expect(e.targets["t"].notices.IsLeaving()).To(BeFalse())
	})
})

var _ = Describe("Notices that targets give another host", func() {
	publish := func(e *Engine, started int64) {
		state := catalog.New()
		target := &catalog.Target{ID: "t", Service: "s", Place: "p", Address: "127.0.0.1:1", Started: started}
		Expect(state.ApplyChanges(time.Now(), uint64(started), []catalog.Item{{Kind: catalog.KindTarget, Name: "t", Revision: uint64(started), Target: target}})).To(Succeed())
		e.SetView(state.View())
	}
	newEngine := func() *Engine {
		e := New(Config{Place: "p", RetryWindow: 10 * time.Second, Fleet: fleetOf{roster.New("h", "p", time.Now())}, Log: hclog.NewNullLogger(), Observer: silentObserver{}})
		publish(e, 1)
		return e
	}
	heard := func(e *Engine) []notice.Kind { return e.targets["t"].notices.Heard(time.Now()) }

	// Guards against a notice that hosts take for one of the next process of the target.
	It("count for the process that gave them", func() {
		told, other, later := newEngine(), newEngine(), newEngine()
		publish(later, 2)
		Expect(told.NoticeReports()).To(BeEmpty())
		told.mu.Lock()
		told.observeNotices(told.targets["t"], &backend.Result{Kind: backend.Success, Head: backend.Head{ID: "1", Notices: notice.Said{Leaving: true}}}, time.Now())
		told.mu.Unlock()
		reports := told.NoticeReports()
		Expect(reports).To(HaveLen(1))
		other.ImportNotices(reports)
		Expect(heard(other)).To(Equal([]notice.Kind{notice.Leaving}))
		Expect(other.NoticeReports()).To(BeEmpty(), "it was not told by the target")
		other.mu.Lock()
		forecast := other.forecast(&catalog.Route{Service: "s"}, "s", other.view.Load(), time.Now())
		other.mu.Unlock()
		Expect(forecast.Targets[0].State).To(Equal(TargetAvoided))
		Expect(forecast.Choice).To(Equal("t"), "there is no other target")
		later.ImportNotices(reports)
		Expect(heard(later)).To(BeEmpty())

		publish(told, 2)
		Expect(told.NoticeReports()).To(BeEmpty())
	})
})
