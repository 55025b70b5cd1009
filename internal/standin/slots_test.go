package standin

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/target"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

var _ = Describe("Searcher slots", func() {
	var s *Searcher
	var client *target.Client
	var cancelOpen context.CancelFunc
	lookup := func(ctx context.Context) outcome.Outcome {
		_, _, o := client.Lookup(ctx, target.Request{ID: "x", Timeout: time.Minute}, target.LookupBody{ID: "tag-000001"})
		return o
	}
	BeforeEach(func(ctx context.Context) {
		data := NewDataset("tag", 10, 1)
		var err error
		s, err = NewSearcher(settings.Target{ID: "t", Slots: 1, Connections: 10}, "s",
			ServiceModel{MedianMS: 30000}, data, keyspace.Full(), 1, 1)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Kill)
		client = target.NewClient(s.Address(), 0, nil)
		var openCtx context.Context
		openCtx, cancelOpen = context.WithCancel(context.WithoutCancel(ctx))
		DeferCleanup(cancelOpen)
		go func() { _ = lookup(openCtx) }()
		Eventually(func() int64 { return s.Counts().Lookups.Load() }).Should(BeEquivalentTo(1))
	})

	// Guards against a load tool that does not detect hosts which use more slots than their
	// shares.
	It("count a request that is refused while all slots are in use", func(ctx context.Context) {
		Expect(lookup(ctx).Reason).To(Equal(outcome.Overload))
		Eventually(func() int64 { return s.Counts().OverSlots.Load() }).Should(BeEquivalentTo(1))
	}, NodeTimeout(time.Minute))

	// Guards against a violation reported for a slot that its client had already freed,
	// and against a cancellation that accounts for requests which arrived after it.
	It("count requests refused before a cancellation was detected as slot races", func() {
		s.countRefusal(time.Now())
		s.countRefusal(time.Now())
		s.attributeRefusals()
		s.countRefusal(time.Now().Add(time.Nanosecond))
		Expect(s.Counts().SlotRaces.Load()).To(BeEquivalentTo(2))
		Eventually(func() int64 { return s.Counts().OverSlots.Load() }).Should(BeEquivalentTo(1))
		Consistently(func() int64 { return s.Counts().OverSlots.Load() }, 2*maxCancelDelay).Should(BeEquivalentTo(1))
	})
})
