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
	var first context.CancelFunc
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
		var held context.Context
		held, first = context.WithCancel(context.WithoutCancel(ctx))
		DeferCleanup(first)
		go func() { _ = lookup(held) }()
		Eventually(func() int64 { return s.Counts().Lookups.Load() }).Should(BeEquivalentTo(1))
	})

	// Guards against a load tool that misses a tier which exceeds its shares.
	It("count a request while all are in use", func(ctx context.Context) {
		Expect(lookup(ctx).Reason).To(Equal(outcome.Overload))
		Eventually(func() int64 { return s.Counts().OverSlots.Load() }).Should(BeEquivalentTo(1))
	}, NodeTimeout(time.Minute))

	// Guards against violations reported for a slot that its client had freed,
	// and against a cancellation that explains what came after it.
	It("do not count refusals before a cancellation that is noticed late", func() {
		s.countExcess(time.Now())
		s.countExcess(time.Now())
		s.explainExcess()
		s.countExcess(time.Now().Add(time.Nanosecond))
		Expect(s.Counts().SlotRaces.Load()).To(BeEquivalentTo(2))
		Eventually(func() int64 { return s.Counts().OverSlots.Load() }).Should(BeEquivalentTo(1))
		Consistently(func() int64 { return s.Counts().OverSlots.Load() }, 2*cancelLag).Should(BeEquivalentTo(1))
	})
})
