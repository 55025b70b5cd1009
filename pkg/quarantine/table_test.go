package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const keep = time.Minute

var (
	now = time.UnixMilli(1_700_000_000_000)
	fp  = quarantine.FingerprintOf("s", []string{"a"})
)

func death(group, replica int, canary bool) quarantine.Death {
	return quarantine.Death{Target: fmt.Sprintf("g%d-r%d", group, replica), Group: fmt.Sprintf("g%d", group), Canary: canary}
}

var _ = Describe("Table", func() {
	var table *quarantine.Table
	decide := func(at time.Time, fp quarantine.Fingerprint) quarantine.Verdict {
		return table.Decide(at, fp, settings.CanaryAuto)
	}
	BeforeEach(func() { table = quarantine.NewTable(4) })

	// Guards against one query that counts as several, and several as one.
	It("fingerprints the set of terms", func() {
		Expect(quarantine.FingerprintOf("s", []string{"b", "a", "b"})).To(Equal(quarantine.FingerprintOf("s", []string{"a", "b"})))
		Expect(quarantine.FingerprintOf("s", []string{"ab", "c"})).NotTo(Equal(quarantine.FingerprintOf("s", []string{"a", "bc"})))
		Expect(quarantine.FingerprintOf("s", []string{"a"})).NotTo(Equal(quarantine.FingerprintOf("t", []string{"a"})))
	})

	// Guards against convicting every query that ran while a place was lost.
	It("proves nothing by deaths without a canary", func() {
		for g := range 10 {
			table.RecordDeath(now, fp, death(g, 0, false), false, keep)
		}
		Expect(decide(now, fp)).To(Equal(quarantine.Canary))
	})

	// Guards against convicting a query for one bad target, or for one bad
	// shard where the service has several.
	It("needs two targets, of different groups where there are several", func() {
		table.RecordDeath(now, fp, death(0, 0, true), false, keep)
		table.RecordDeath(now, fp, death(0, 0, true), false, keep)
		table.RecordDeath(now, fp, death(0, 1, true), false, keep)
		Expect(decide(now, fp)).To(Equal(quarantine.Canary))
		table.RecordDeath(now, fp, death(1, 0, false), false, keep)
		Expect(decide(now, fp)).To(Equal(quarantine.Canary), "the second death was beside other queries")
		table.RecordDeath(now, fp, death(1, 0, true), false, keep)
		Expect(decide(now, fp)).To(Equal(quarantine.Refuse))
		Expect(decide(now.Add(keep), fp)).To(Equal(quarantine.Canary), "it starts again as a suspect")
		single := quarantine.FingerprintOf("single", nil)
		table.RecordDeath(now, single, death(0, 0, true), true, keep)
		table.RecordDeath(now, single, death(0, 1, true), true, keep)
		Expect(decide(now, single)).To(Equal(quarantine.Refuse))
	})

	// Guards against a second lost replica while the first one restarts.
	It("sends the canary to a target that died before", func() {
		table.RecordDeath(now, fp, death(0, 0, false), false, keep)
		hold := quarantine.Restriction{Targets: []string{"g0-r0"}, TargetsOnly: true}
		Expect(table.Plan(now, fp)).To(Equal(quarantine.Plan{Suspect: true, Prefer: []string{"g0-r0"}, PreferredOnly: true, Restricted: map[string]quarantine.Restriction{"g0": hold}}))
		Expect(table.Plan(now.Add(3*time.Second), fp).PreferredOnly).To(BeFalse())
		table.RecordDeath(now, fp, death(0, 0, true), false, keep)
		Expect(table.Plan(now, fp)).To(Equal(quarantine.Plan{Suspect: true, Avoid: []string{"g0"}, Restricted: map[string]quarantine.Restriction{"g0": hold}}))
	})

	// Guards against canaries for ever, and against a peer's old news undoing
	// a canary that succeeded.
	It("clears a suspect after a canary that succeeded", func() {
		table.RecordDeath(now, fp, death(0, 0, false), false, keep)
		old, _ := table.Entry(now, fp)
		table.RecordCanarySuccess(now, fp, "g0", keep)
		Expect(decide(now, fp)).To(Equal(quarantine.Run))
		Expect(table.Plan(now, fp)).To(Equal(quarantine.Plan{Answered: map[string]bool{"g0": true}}))
		Expect(table.Import(now, []quarantine.Entry{old}, keep)).To(BeEmpty())
		Expect(decide(now, fp)).To(Equal(quarantine.Run))
		table.RecordDeath(now, fp, death(0, 0, false), false, keep)
		Expect(decide(now, fp)).To(Equal(quarantine.Canary))
	})

	// Guards against convicting a query for two canaries that ran on failing
	// targets, although it was answered in between, on this host or another.
	It("convicts nothing by canaries that died before and after an answer", func() {
		other := quarantine.NewTable(4)
		tell := func() { other.Import(now, table.Export(now), keep) }
		table.RecordDeath(now, fp, death(0, 0, true), false, keep)
		tell()
		table.RecordCanarySuccess(now, fp, "g1", keep)
		tell()
		table.RecordDeath(now, fp, death(2, 0, true), false, keep)
		tell()
		Expect(decide(now, fp)).To(Equal(quarantine.Canary))
		Expect(other.Decide(now, fp, settings.CanaryAuto)).To(Equal(quarantine.Canary))
		other.RecordDeath(now, fp, death(3, 0, true), false, keep)
		Expect(other.Decide(now, fp, settings.CanaryAuto)).To(Equal(quarantine.Refuse))
	})

	// Guards against a suspicion that peers keep alive by repeating it: the
	// canary would wait for a target that does not come back.
	It("counts the time since a death from the death, not from its news", func() {
		table.RecordDeath(now, fp, death(0, 0, false), false, keep)
		entry, _ := table.Entry(now, fp)
		table.Import(now.Add(1900*time.Millisecond), []quarantine.Entry{entry}, keep)
		Expect(table.Plan(now.Add(2*time.Second), fp).PreferredOnly).To(BeFalse())
	})

	// Guards against a query that crashes one shard only, which a canary on
	// another shard let loose on all replicas of its own.
	It("holds a group back until it answered itself", func() {
		table.RecordDeath(now, fp, death(0, 0, false), false, keep)
		table.RecordDeath(now, fp, death(0, 0, true), false, keep)
		table.RecordCanarySuccess(now, fp, "g1", keep)
		Expect(decide(now, fp)).To(Equal(quarantine.Run))
		plan := table.Plan(now, fp)
		Expect(plan.Restricted).To(Equal(map[string]quarantine.Restriction{"g0": {Targets: []string{"g0-r0"}, TargetsOnly: true}}))
		Expect(plan.Answered).To(Equal(map[string]bool{"g1": true}), "no retry on a sister replica in g0")
		table.RecordDeath(now, fp, death(0, 0, true), false, keep)
		table.RecordCanarySuccess(now, fp, "g1", keep)
		Expect(table.Plan(now, fp).Restricted["g0"].Refuse).To(BeTrue())
		Expect(table.Plan(now.Add(keep), fp).Restricted["g0"].Refuse).To(BeFalse(), "it is tried again")
		table.RecordAnswer(now, fp, "g0")
		Expect(table.Plan(now, fp).Restricted).To(BeEmpty())
	})

	// Guards against holding back queries that ran beside a lost place: they
	// died in many groups, and each of those would have to answer alone.
	It("clears a query that died in several groups by an answer in one of them", func() {
		table.RecordDeath(now, fp, death(0, 0, false), false, keep)
		table.RecordDeath(now, fp, death(1, 0, false), false, keep)
		table.RecordCanarySuccess(now, fp, "g2", keep)
		Expect(table.Plan(now, fp).Restricted).To(HaveLen(2), "a query that crashes both is answered elsewhere as well")
		table.RecordCanarySuccess(now, fp, "g1", keep)
		Expect(table.Plan(now, fp).Restricted).To(BeEmpty())
	})

	// Guards against unknown killers during an attack, and against canaries in
	// calm times.
	It("is on alert for a while after a death", func() {
		unknown := quarantine.FingerprintOf("s", []string{"unknown"})
		Expect(decide(now, unknown)).To(Equal(quarantine.Run))
		table.RecordDeath(now, fp, death(0, 0, false), false, keep)
		Expect(decide(now, unknown)).To(Equal(quarantine.Canary))
		Expect(table.Decide(now, unknown, settings.CanaryNever)).To(Equal(quarantine.Run))
		Expect(decide(now.Add(10*time.Second), unknown)).To(Equal(quarantine.Run))
	})

	// Guards against a host that convicts alone while the others still run the query.
	It("hands its knowledge to another table", func() {
		table.RecordDeath(now, fp, death(0, 0, false), false, keep)
		other := quarantine.NewTable(4)
		Expect(other.Import(now, table.Export(now), keep)).To(HaveLen(1))
		Expect(other.Decide(now, fp, settings.CanaryAuto)).To(Equal(quarantine.Canary))
		table.RecordDeath(now, fp, death(0, 0, true), false, keep)
		table.RecordDeath(now, fp, death(1, 0, true), false, keep)
		Expect(other.Import(now, table.Export(now), keep)).To(HaveLen(1))
		Expect(other.Decide(now, fp, settings.CanaryAuto)).To(Equal(quarantine.Refuse))
		Expect(table.Export(now)).To(BeEmpty())
	})
})

// Guards against memory without bound and against forgetting a proven killer
// under a flood of other queries.
func TestBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := quarantine.NewTable(4)
		table.RecordDeath(now, fp, death(0, 0, true), false, keep)
		table.RecordDeath(now, fp, death(1, 0, true), false, keep)
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			other := quarantine.Fingerprint(rapid.Uint64Range(1, 12).Draw(t, "fp"))
			if rapid.Bool().Draw(t, "died") {
				table.RecordDeath(now, other, death(0, 0, false), false, keep)
			} else {
				table.RecordCanarySuccess(now, other, "g0", keep)
			}
		}
		if table.Len() > 4 || table.Decide(now, fp, settings.CanaryAuto) != quarantine.Refuse {
			t.Fatalf("%d fingerprints, verdict %d", table.Len(), table.Decide(now, fp, settings.CanaryAuto))
		}
	})
}
