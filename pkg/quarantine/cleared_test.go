package quarantine_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

var _ = Describe("Cleared queries", func() {
	var table *quarantine.Table
	decide := func() quarantine.Verdict { return table.Decide(now, fp, settings.CanaryAuto) }
	BeforeEach(func() {
		table = quarantine.NewTable(4)
		table.MarkCleared(now, fp, 7)
	})
	died := func(group, replica int, version uint64) {
		d := death(group, replica, false)
		d.Version = version
		table.RecordDeath(now, fp, d, false, quarantineFor)
	}

	// Guards against treating ordinary queries as suspects after the loss of a
	// place, on this host or on one that has not cleared them.
	It("do not become suspects when one target of each group dies", func() {
		for g := range 10 {
			died(g, 0, 7)
		}
		Expect(decide()).To(Equal(quarantine.Run))
		other := quarantine.NewTable(4)
		other.RecordDeath(now, fp, death(0, 0, false), false, quarantineFor)
		Expect(other.Import(now, table.Export(now), quarantineFor)).To(HaveLen(1))
		Expect(other.Decide(now, fp, settings.CanaryAuto)).To(Equal(quarantine.Run))
	})

	// Guards against a query that begins to crash targets after they answered it
	// and is never suspected because of these answers.
	It("become suspects when a second target of a group dies, or one on a newer version", func() {
		died(0, 0, 7)
		died(0, 1, 7)
		Expect(decide()).To(Equal(quarantine.Canary))
		Expect(table.IsCleared(fp, 7)).To(BeFalse())
		table.MarkCleared(now, fp, 7)
		died(1, 0, 8)
		Expect(decide()).To(Equal(quarantine.Canary))
	})

	// Guards against unbounded memory and against evicting queries in use.
	It("are evicted oldest first", func() {
		for i := range quarantine.Fingerprint(100_000) {
			table.MarkCleared(now, i, 7)
			table.MarkCleared(now, fp, 7)
		}
		Expect(table.IsCleared(1, 7)).To(BeFalse())
		Expect(table.IsCleared(99_999, 7)).To(BeTrue())
		Expect(table.IsCleared(fp, 7)).To(BeTrue())
	})
})
