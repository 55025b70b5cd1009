package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const (
	// maxDeaths bounds the deaths kept per fingerprint; two deaths under canaries
	// are enough to prove that a query is a killer query.
	maxDeaths = 16
	// alertDuration is how long after a death unknown queries run as canaries with
	// `canary: auto`: long enough for the same client to send its next query.
	alertDuration = 5 * time.Second
	// restartGrace is how long a canary waits for a target that died under the
	// query to restart before the canary may go to another target.
	restartGrace = 2 * time.Second
)

// Verdict says how a query may run.
type Verdict uint8

// Verdicts.
const (
	Run    Verdict = iota // on all groups at once
	Canary                // on one target, and on all groups after that target answered
	Refuse                // not at all
)

// Death is the loss of a target's connections while the target ran a query. One Death
// stands for all such losses of one target; a later loss updates the Death.
type Death struct {
	Target string `cbor:"1,keyasint"`
	Group  string `cbor:"2,keyasint"`
	// Canary is true if the query ran as a canary, no other suspect's canary was
	// on the target, and the query has not been answered anywhere since.
	Canary bool `cbor:"3,keyasint,omitempty"`
	// CanaryDeaths counts the deaths of the target under a canary of the query since
	// the group last answered. The table sets CanaryDeaths, Seq and Answered.
	CanaryDeaths uint8 `cbor:"4,keyasint,omitempty"`
	// Seq increases with each death that adds information. Of two reports about a
	// target, the one with the higher Seq is the newer.
	Seq uint32 `cbor:"5,keyasint,omitempty"`
	// Answered states where the query was answered since the death.
	Answered AnswerScope `cbor:"6,keyasint,omitempty"`
	// Version is the index version that the query asked for; 0 if none was known.
	Version uint64 `cbor:"7,keyasint,omitempty"`

	discounted bool // attributed to another cause, because this host had cleared the query
}

// AnswerScope says where a query was answered after a death, and so what the
// answer refutes. Higher values replace lower ones.
type AnswerScope uint8

// Scopes of an answer.
const (
	NotAnswered       AnswerScope = iota // refutes nothing
	AnsweredElsewhere                    // refutes that the query crashes every shard
	AnsweredInGroup                      // also refutes that the query crashes the shard whose target died
)

// Entry is the state of a fingerprint that one host shares with another.
type Entry struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	RefusedFor  time.Duration `cbor:"2,keyasint,omitempty"` // how much longer the query is refused; 0 if it is not
	Deaths      []Death       `cbor:"3,keyasint,omitempty"`
	SingleGroup bool          `cbor:"4,keyasint,omitempty"` // the service has a single group
}

// Plan says where a query may run.
type Plan struct {
	Prefer        []string // targets that died under the query, but not under its canary
	PreferredOnly bool     // no target outside Prefer may be used yet
	Avoid         []string // groups in which a target died under a canary
	Suspect       bool     // a target died under the query, which has not been answered since
	// Restricted holds the groups in which a target died under the query and that
	// have not answered since. Each of them runs the query as a canary, even after
	// another group answered.
	Restricted map[string]Restriction
	// Answered holds the groups that answered the query since a target of theirs
	// last died under it. If a target of such a group dies under the query, the
	// query may be retried on another replica.
	Answered map[string]bool
}

// Restriction says how a query may run in a group in which a target died under
// it.
type Restriction struct {
	Targets     []string // the targets that died, in the order of their first deaths
	TargetsOnly bool     // no target outside Targets may be used yet
	Refuse      bool     // targets of the group died under two canaries: the query may not run there
}

// Table holds the quarantine state of the fingerprints that a host knows.
type Table struct {
	capacity   int
	records    map[Fingerprint]*record
	alertUntil time.Time // until then, unknown queries run as canaries
	pending    map[Fingerprint]bool
	cleared    clearedSet
}

// NewTable returns an empty table of at most capacity fingerprints.
func NewTable(capacity int) *Table {
	return &Table{capacity: capacity, records: map[Fingerprint]*record{}, pending: map[Fingerprint]bool{}}
}

// Decide says how a query may run now.
func (t *Table) Decide(now time.Time, fp Fingerprint, mode settings.CanaryMode) Verdict {
	rec := t.get(now, fp)
	switch {
	case rec != nil && now.Before(rec.refusedUntil):
		return Refuse
	case mode == settings.CanaryNever:
		return Run
	case mode == settings.CanaryAlways:
		return Canary
	case rec != nil && rec.isSuspect():
		return Canary
	case rec == nil && now.Before(t.alertUntil):
		return Canary
	default:
		return Run
	}
}

// Plan returns where a query may run now. Targets that already died under the
// query are preferred, so that it does not take down a second replica.
func (t *Table) Plan(now time.Time, fp Fingerprint) Plan {
	rec := t.get(now, fp)
	if rec == nil {
		return Plan{}
	}
	plan := Plan{Suspect: rec.isSuspect(), Restricted: rec.restrictions(now), Answered: maps.Clone(rec.answered)}
	if !plan.Suspect {
		return plan
	}
	for _, d := range rec.deaths {
		if d.Answered < AnsweredInGroup && d.CanaryDeaths > 0 && !rec.singleGroup {
			plan.Avoid = append(plan.Avoid, d.Group)
		}
	}
	for _, d := range rec.deaths {
		if d.Answered < AnsweredInGroup && d.CanaryDeaths == 0 && !slices.Contains(plan.Avoid, d.Group) {
			plan.Prefer = append(plan.Prefer, d.Target)
		}
	}
	plan.PreferredOnly = len(plan.Prefer) > 0 && now.Before(rec.lastDeath.Add(restartGrace))
	return plan
}

// RecordDeath records that a target died under a query. quarantineFor is how long
// the query is refused if this death proves that it is a killer query.
// RecordDeath returns true if the table changed in a way that other hosts should
// know of.
func (t *Table) RecordDeath(now time.Time, fp Fingerprint, d Death, singleGroup bool, quarantineFor time.Duration) bool {
	t.alertUntil = now.Add(alertDuration)
	return t.apply(now, fp, []Death{d}, singleGroup, quarantineFor, (*record).recordDeath)
}

// RecordCanarySuccess records that a target of a group answered a query that ran
// on this target alone. The query is remembered for at least quarantineFor.
func (t *Table) RecordCanarySuccess(now time.Time, fp Fingerprint, group string, quarantineFor time.Duration) {
	if rec := t.get(now, fp); rec != nil && now.Before(rec.refusedUntil) {
		return
	}
	rec := t.getOrCreate(now, fp)
	if rec == nil {
		return
	}
	if until := now.Add(quarantineFor); rec.expiresAt.Before(until) {
		rec.expiresAt = until
	}
	// A query that crashes one shard ends targets of one group only. If targets of
	// several groups died under the query beside other queries, and one of these
	// groups then answers it, the query was not the cause.
	var deathGroups []string
	for _, d := range rec.deaths {
		if d.Answered < AnsweredInGroup && !slices.Contains(deathGroups, d.Group) {
			deathGroups = append(deathGroups, d.Group)
		}
	}
	coincidental := len(deathGroups) > 1 && slices.Contains(deathGroups, group)
	t.refute(fp, rec, func(d Death) AnswerScope {
		if d.Group == group || coincidental && d.CanaryDeaths == 0 {
			return AnsweredInGroup
		}
		return AnsweredElsewhere
	})
	rec.markAnswered(group)
}

// RecordAnswer records that a group answered a query that ran on several groups.
func (t *Table) RecordAnswer(now time.Time, fp Fingerprint, group string) {
	rec := t.get(now, fp)
	if rec == nil || now.Before(rec.refusedUntil) {
		return
	}
	t.refute(fp, rec, func(d Death) AnswerScope {
		if d.Group == group {
			return AnsweredInGroup
		}
		return NotAnswered
	})
	rec.markAnswered(group)
}

// refute records the scope of an answer in each of the query's deaths. The deaths
// are kept, so that a host that still reports them does not make the query a
// suspect again, and so that other hosts learn of the answer.
func (t *Table) refute(fp Fingerprint, rec *record, answered func(Death) AnswerScope) {
	for i, d := range rec.deaths {
		if a := answered(d); a > d.Answered {
			rec.deaths[i].Answered = a
			t.pending[fp] = true
		}
	}
}

// Export returns the entries that changed since the last call, ordered by
// fingerprint.
func (t *Table) Export(now time.Time) []Entry {
	entries := make([]Entry, 0, len(t.pending))
	for fp := range t.pending {
		if rec := t.get(now, fp); rec != nil {
			entries = append(entries, rec.entry(now, fp))
		}
	}
	clear(t.pending)
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return entries
}

// Entry returns the state of a fingerprint that is refused or under which a target
// died, and false if there is none.
func (t *Table) Entry(now time.Time, fp Fingerprint) (Entry, bool) {
	rec := t.get(now, fp)
	if rec == nil || len(rec.deaths) == 0 && !now.Before(rec.refusedUntil) {
		return Entry{}, false
	}
	return rec.entry(now, fp), true
}

// Unresolved reports whether the query is refused, or a group in which a
// target died under the query has not answered since.
func (e Entry) Unresolved() bool {
	return e.RefusedFor > 0 || slices.ContainsFunc(e.Deaths, func(d Death) bool { return d.Answered < AnsweredInGroup })
}

// Entries returns all unresolved entries, ordered by fingerprint.
func (t *Table) Entries(now time.Time) []Entry {
	var entries []Entry
	for fp := range t.records {
		if e, known := t.Entry(now, fp); known && e.Unresolved() {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// Import merges entries of another host and returns those that changed the table.
// quarantineFor is how long a query is refused that these entries prove to be a
// killer query, and the longest time for which a refusal is taken over.
func (t *Table) Import(now time.Time, entries []Entry, quarantineFor time.Duration) []Entry {
	var accepted []Entry
	for _, e := range entries {
		rec := t.get(now, e.Fingerprint)
		if rec == nil && !e.Unresolved() {
			continue
		}
		adoptRefusal := e.RefusedFor > 0 && (rec == nil || !now.Before(rec.refusedUntil))
		changed := t.apply(now, e.Fingerprint, e.Deaths, e.SingleGroup, quarantineFor, (*record).mergeDeath)
		if rec = t.get(now, e.Fingerprint); adoptRefusal && rec != nil {
			rec.refusedUntil, changed = now.Add(min(e.RefusedFor, quarantineFor)), true
		}
		if changed {
			if e.Unresolved() {
				t.alertUntil = now.Add(alertDuration)
			}
			accepted = append(accepted, e)
		}
	}
	return accepted
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int { return len(t.records) }

func (t *Table) apply(now time.Time, fp Fingerprint, deaths []Death, singleGroup bool, quarantineFor time.Duration, update func(*record, Death) (changed, isNew bool)) bool {
	rec := t.getOrCreate(now, fp)
	if rec == nil {
		return false
	}
	changed, died := false, false
	for _, d := range deaths {
		c, isNew := update(rec, d)
		isNew = isNew && !t.discount(fp, rec, d)
		changed, died = changed || c, died || isNew
	}
	rec.singleGroup = rec.singleGroup || singleGroup
	if died {
		rec.lastDeath, rec.restrictedUntil = now, now.Add(quarantineFor)
	}
	if changed || rec.isSuspect() || rec.expiresAt.IsZero() {
		// The record outlives the refusal of a killer query, so that the query runs
		// as a canary afterwards.
		rec.expiresAt = now.Add(2 * quarantineFor)
	}
	if changed && !now.Before(rec.refusedUntil) && rec.isProvenKiller() {
		rec.refusedUntil = now.Add(quarantineFor)
	}
	if changed {
		t.pending[fp] = true
	}
	return changed
}

// get returns the record of a fingerprint, or nil if there is none or it has
// expired.
func (t *Table) get(now time.Time, fp Fingerprint) *record {
	rec, ok := t.records[fp]
	if !ok {
		return nil
	}
	if now.After(rec.expiresAt) {
		delete(t.records, fp)
		delete(t.pending, fp)
		return nil
	}
	return rec
}

// getOrCreate returns the record of a fingerprint and creates it if necessary. It
// returns nil if there is no room.
func (t *Table) getOrCreate(now time.Time, fp Fingerprint) *record {
	if rec := t.get(now, fp); rec != nil {
		return rec
	}
	if len(t.records) >= t.capacity && !t.makeRoom(now) {
		return nil
	}
	rec := &record{}
	t.records[fp] = rec
	return rec
}

// makeRoom evicts expired fingerprints, or else one that is neither suspect nor
// restricted, or else the suspect that expires first. Refused fingerprints are
// kept. It returns false if there is still no room.
func (t *Table) makeRoom(now time.Time) bool {
	var least *record
	var victim Fingerprint
	for fp, rec := range t.records {
		if now.After(rec.expiresAt) {
			delete(t.records, fp)
			delete(t.pending, fp)
			continue
		}
		if !rec.isSuspect() && !now.Before(rec.refusedUntil) && len(rec.restrictions(now)) == 0 {
			delete(t.records, fp) // losing the record costs at most a canary
			delete(t.pending, fp)
			return true
		}
		if !now.Before(rec.refusedUntil) && (least == nil || rec.expiresAt.Before(least.expiresAt)) {
			least, victim = rec, fp
		}
	}
	if len(t.records) < t.capacity {
		return true
	}
	if least == nil {
		return false
	}
	delete(t.records, victim)
	delete(t.pending, victim)
	return true
}
