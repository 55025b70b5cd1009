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

const quarantineFor = time.Minute

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

	// Guards against counting one query as several, or several queries as one.
	It("fingerprints the service and the set of terms", func() {
		Expect(quarantine.FingerprintOf("s", []string{"b", "a", "b"})).To(Equal(quarantine.FingerprintOf("s", []string{"a", "b"})))
		Expect(quarantine.FingerprintOf("s", []string{"ab", "c"})).NotTo(Equal(quarantine.FingerprintOf("s", []string{"a", "bc"})))
		Expect(quarantine.FingerprintOf("s", []string{"a"})).NotTo(Equal(quarantine.FingerprintOf("t", []string{"a"})))
	})

	// Guards against refusing every query that ran while a place was lost.
	It("does not refuse a query for deaths outside canaries", func() {
		for g := range 10 {
			table.RecordDeath(now, fp, death(g, 0, false), false, quarantineFor)
		}
		Expect(decide(now, fp)).To(Equal(quarantine.Canary))
	})

	// Guards against refusing a query because of one faulty target, or of one
	// faulty shard where the service has several.
	It("refuses a query after deaths under canaries on two targets, of different groups where there are several", func() {
		table.RecordDeath(now, fp, death(0, 0, true), false, quarantineFor)
		table.RecordDeath(now, fp, death(0, 0, true), false, quarantineFor)
		table.RecordDeath(now, fp, death(0, 1, true), false, quarantineFor)
		Expect(decide(now, fp)).To(Equal(quarantine.Canary))
		table.RecordDeath(now, fp, death(1, 0, false), false, quarantineFor)
		Expect(decide(now, fp)).To(Equal(quarantine.Canary), "the query was no canary at the second death")
		table.RecordDeath(now, fp, death(1, 0, true), false, quarantineFor)
		Expect(decide(now, fp)).To(Equal(quarantine.Refuse))
		Expect(decide(now.Add(quarantineFor), fp)).To(Equal(quarantine.Canary), "the query is a suspect again after the refusal")
		single := quarantine.FingerprintOf("single", nil)
		table.RecordDeath(now, single, death(0, 0, true), true, quarantineFor)
		table.RecordDeath(now, single, death(0, 1, true), true, quarantineFor)
		Expect(decide(now, single)).To(Equal(quarantine.Refuse))
	})

	// Guards against the loss of a second replica while the first one restarts.
	It("prefers for the canary a target that died, and avoids a group in which a target died under a canary", func() {
		table.RecordDeath(now, fp, death(0, 0, false), false, quarantineFor)
		restriction := quarantine.Restriction{Targets: []string{"g0-r0"}, TargetsOnly: true}
		Expect(table.Plan(now, fp)).To(Equal(quarantine.Plan{Suspect: true, Prefer: []string{"g0-r0"}, PreferredOnly: true, Restricted: map[string]quarantine.Restriction{"g0": restriction}}))
		Expect(table.Plan(now.Add(3*time.Second), fp).PreferredOnly).To(BeFalse())
		table.RecordDeath(now, fp, death(0, 0, true), false, quarantineFor)
		Expect(table.Plan(now, fp)).To(Equal(quarantine.Plan{Suspect: true, Avoid: []string{"g0"}, Restricted: map[string]quarantine.Restriction{"g0": restriction}}))
	})

	// Guards against endless canaries, and against outdated entries of another host
	// that undo a successful canary.
	It("runs a suspect normally after a successful canary, until a target dies under it again", func() {
		table.RecordDeath(now, fp, death(0, 0, false), false, quarantineFor)
		old, _ := table.Entry(now, fp)
		table.RecordCanarySuccess(now, fp, "g0", quarantineFor)
		Expect(decide(now, fp)).To(Equal(quarantine.Run))
		Expect(table.Plan(now, fp)).To(Equal(quarantine.Plan{Answered: map[string]bool{"g0": true}}))
		Expect(table.Import(now, []quarantine.Entry{old}, quarantineFor)).To(BeEmpty())
		Expect(decide(now, fp)).To(Equal(quarantine.Run))
		table.RecordDeath(now, fp, death(0, 0, false), false, quarantineFor)
		Expect(decide(now, fp)).To(Equal(quarantine.Canary))
	})

	// Guards against refusing a query because two of its canaries ran on failing
	// targets, although it was answered in between on this host or another.
	It("does not refuse a query for deaths under canaries before and after an answer", func() {
		other := quarantine.NewTable(4)
		share := func() { other.Import(now, table.Export(now), quarantineFor) }
		table.RecordDeath(now, fp, death(0, 0, true), false, quarantineFor)
		share()
		table.RecordCanarySuccess(now, fp, "g1", quarantineFor)
		share()
		table.RecordDeath(now, fp, death(2, 0, true), false, quarantineFor)
		share()
		Expect(decide(now, fp)).To(Equal(quarantine.Canary))
		Expect(other.Decide(now, fp, settings.CanaryAuto)).To(Equal(quarantine.Canary))
		other.RecordDeath(now, fp, death(3, 0, true), false, quarantineFor)
		Expect(other.Decide(now, fp, settings.CanaryAuto)).To(Equal(quarantine.Refuse))
	})

	// Guards against canaries that wait ever longer for a target that does not
	// restart, because other hosts repeat the entry of its death.
	It("measures the time since a death from the death, not from later imports", func() {
		table.RecordDeath(now, fp, death(0, 0, false), false, quarantineFor)
		entry, _ := table.Entry(now, fp)
		table.Import(now.Add(1900*time.Millisecond), []quarantine.Entry{entry}, quarantineFor)
		Expect(table.Plan(now.Add(2*time.Second), fp).PreferredOnly).To(BeFalse())
	})

	// Guards against a query that crashes one shard only and, after a canary succeeds
	// on another shard, is sent to all replicas of the shard that it crashes.
	It("restricts a group in which a target died under the query until that group answers", func() {
		table.RecordDeath(now, fp, death(0, 0, false), false, quarantineFor)
		table.RecordDeath(now, fp, death(0, 0, true), false, quarantineFor)
		table.RecordCanarySuccess(now, fp, "g1", quarantineFor)
		Expect(decide(now, fp)).To(Equal(quarantine.Run))
		plan := table.Plan(now, fp)
		Expect(plan.Restricted).To(Equal(map[string]quarantine.Restriction{"g0": {Targets: []string{"g0-r0"}, TargetsOnly: true}}))
		Expect(plan.Answered).To(Equal(map[string]bool{"g1": true}), "g0 has not answered, so no retry on another replica there")
		table.RecordDeath(now, fp, death(0, 0, true), false, quarantineFor)
		table.RecordCanarySuccess(now, fp, "g1", quarantineFor)
		Expect(table.Plan(now, fp).Restricted["g0"].Refuse).To(BeTrue())
		Expect(table.Plan(now.Add(quarantineFor), fp).Restricted["g0"].Refuse).To(BeFalse(), "the group is tried again after quarantineFor")
		table.RecordAnswer(now, fp, "g0")
		Expect(table.Plan(now, fp).Restricted).To(BeEmpty())
	})

	// Guards against restricting queries that ran while a place was lost: targets of
	// many groups died under them, and each group would have to answer by itself.
	It("lifts the restrictions of all groups in which targets died under a query when one of them answers", func() {
		table.RecordDeath(now, fp, death(0, 0, false), false, quarantineFor)
		table.RecordDeath(now, fp, death(1, 0, false), false, quarantineFor)
		table.RecordCanarySuccess(now, fp, "g2", quarantineFor)
		Expect(table.Plan(now, fp).Restricted).To(HaveLen(2), "other groups also answer a query that crashes these two")
		table.RecordCanarySuccess(now, fp, "g1", quarantineFor)
		Expect(table.Plan(now, fp).Restricted).To(BeEmpty())
	})

	// Guards against unknown killer queries that follow another one, and against
	// needless canaries at other times.
	It("runs unknown queries as canaries for a limited time after a death", func() {
		unknown := quarantine.FingerprintOf("s", []string{"unknown"})
		Expect(decide(now, unknown)).To(Equal(quarantine.Run))
		table.RecordDeath(now, fp, death(0, 0, false), false, quarantineFor)
		Expect(decide(now, unknown)).To(Equal(quarantine.Canary))
		Expect(table.Decide(now, unknown, settings.CanaryNever)).To(Equal(quarantine.Run))
		Expect(decide(now.Add(10*time.Second), unknown)).To(Equal(quarantine.Run))
	})

	// Guards against a query that one host refuses while the others still run it.
	It("shares suspects and refusals by Export and Import", func() {
		table.RecordDeath(now, fp, death(0, 0, false), false, quarantineFor)
		other := quarantine.NewTable(4)
		Expect(other.Import(now, table.Export(now), quarantineFor)).To(HaveLen(1))
		Expect(other.Decide(now, fp, settings.CanaryAuto)).To(Equal(quarantine.Canary))
		table.RecordDeath(now, fp, death(0, 0, true), false, quarantineFor)
		table.RecordDeath(now, fp, death(1, 0, true), false, quarantineFor)
		Expect(other.Import(now, table.Export(now), quarantineFor)).To(HaveLen(1))
		Expect(other.Decide(now, fp, settings.CanaryAuto)).To(Equal(quarantine.Refuse))
		Expect(table.Export(now)).To(BeEmpty())
	})
})

// Guards against unbounded memory and against evicting a proven killer query under
// a flood of other queries.
func TestBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := quarantine.NewTable(4)
		table.RecordDeath(now, fp, death(0, 0, true), false, quarantineFor)
		table.RecordDeath(now, fp, death(1, 0, true), false, quarantineFor)
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			other := quarantine.Fingerprint(rapid.Uint64Range(1, 12).Draw(t, "fp"))
			if rapid.Bool().Draw(t, "died") {
				table.RecordDeath(now, other, death(0, 0, false), false, quarantineFor)
			} else {
				table.RecordCanarySuccess(now, other, "g0", quarantineFor)
			}
		}
		if table.Len() > 4 || table.Decide(now, fp, settings.CanaryAuto) != quarantine.Refuse {
			t.Fatalf("%d fingerprints, verdict %d", table.Len(), table.Decide(now, fp, settings.CanaryAuto))
		}
	})
}
