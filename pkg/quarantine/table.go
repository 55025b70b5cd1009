package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const (
	// maxDeaths bounds what is kept per fingerprint; two canaries prove it.
	maxDeaths = 16
	// alertFor is how long after a death unknown queries run as canaries with
	// `canary: auto`: long enough for the same client to send its next query.
	alertFor = 5 * time.Second
	// restartGrace is how long a canary waits for a target that died under the
	// query to come back before it may take down another one.
	restartGrace = 2 * time.Second
)

// Verdict says how a query may run.
type Verdict uint8

// Verdicts.
const (
	Run    Verdict = iota // on every group at once
	Canary                // on one target, and on the rest after it answered
	Refuse                // not at all
)

// Death is a target whose connections died under a query.
type Death struct {
	Target string `cbor:"1,keyasint"`
	Group  string `cbor:"2,keyasint"`
	// Canary says that the query ran as a canary, that no other suspect's
	// canary was on the target, and that the query was answered nowhere since.
	Canary bool `cbor:"3,keyasint,omitempty"`
	// CanaryDeaths counts the canaries that died since the group last answered. The
	// table sets this field and those that follow.
	CanaryDeaths uint8 `cbor:"4,keyasint,omitempty"`
	// Seq grows with each death that says something new; of two statements
	// about a target the one with the higher number is the newer.
	Seq uint32 `cbor:"5,keyasint,omitempty"`
	// Answered is where the query was answered since.
	Answered AnswerScope `cbor:"6,keyasint,omitempty"`
	// Version is the index version that the query asked for; 0 if none was known.
	Version uint64 `cbor:"7,keyasint,omitempty"`

	excused bool // the query was cleared before, on this host
}

// AnswerScope says what an answer after a death refutes. Higher values replace
// lower ones.
type AnswerScope uint8

// Values of Answered.
const (
	NotAnswered       AnswerScope = iota // nothing
	AnsweredElsewhere                    // that the query crashes every shard
	AnsweredInGroup                      // also that it crashes the shard on which it died
)

// Entry is what one host tells another about a fingerprint.
type Entry struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	RefusedFor  time.Duration `cbor:"2,keyasint,omitempty"` // time left for which it is refused
	Deaths      []Death       `cbor:"3,keyasint,omitempty"`
	SingleGroup bool          `cbor:"4,keyasint,omitempty"` // the service has a single group
}

// Plan says where a canary may run.
type Plan struct {
	Prefer        []string // targets on which the query died, but not as a canary
	PreferredOnly bool     // no other target may be used yet
	Avoid         []string // groups in which a canary died already
	Suspect       bool     // the query died and was not answered since
	// Restricted holds the groups in which the query died and that have not answered
	// since. Each of them runs the query as a canary, even after another group
	// answered.
	Restricted map[string]Restriction
	// Answered holds the groups that answered the query since it last died
	// there. If it dies in one of them, it may be sent to a sister replica.
	Answered map[string]bool
}

// Restriction says how a query may run in a group in which it died.
type Restriction struct {
	Targets     []string // the targets that died, in the order of their deaths
	TargetsOnly bool     // no other target may be used yet
	Refuse      bool     // two canaries died in the group: the query may not run there
}

// Table holds the fingerprints that a host knows.
type Table struct {
	capacity int
	records  map[Fingerprint]*record
	alert    time.Time // unknown queries run as canaries until then
	fresh    map[Fingerprint]bool
	cleared  cleared
}

// NewTable returns a table of at most capacity fingerprints.
func NewTable(capacity int) *Table {
	return &Table{capacity: capacity, records: map[Fingerprint]*record{}, fresh: map[Fingerprint]bool{}}
}

// Decide says how a query may run now.
func (t *Table) Decide(now time.Time, fp Fingerprint, mode settings.CanaryMode) Verdict {
	rec := t.get(now, fp)
	switch {
	case rec != nil && now.Before(rec.proven):
		return Refuse
	case mode == settings.CanaryNever:
		return Run
	case mode == settings.CanaryAlways:
		return Canary
	case rec != nil && rec.suspect():
		return Canary
	case rec == nil && now.Before(t.alert):
		return Canary
	default:
		return Run
	}
}

// Plan says where a query may run. A target that died under the query before
// is taken again, so that no second replica is lost to it.
func (t *Table) Plan(now time.Time, fp Fingerprint) Plan {
	rec := t.get(now, fp)
	if rec == nil {
		return Plan{}
	}
	plan := Plan{Suspect: rec.suspect(), Restricted: rec.held(now), Answered: maps.Clone(rec.answered)}
	if !plan.Suspect {
		return plan
	}
	for _, d := range rec.deaths {
		if d.Answered < AnsweredInGroup && d.CanaryDeaths > 0 && !rec.oneGroup {
			plan.Avoid = append(plan.Avoid, d.Group)
		}
	}
	for _, d := range rec.deaths {
		if d.Answered < AnsweredInGroup && d.CanaryDeaths == 0 && !slices.Contains(plan.Avoid, d.Group) {
			plan.Prefer = append(plan.Prefer, d.Target)
		}
	}
	plan.PreferredOnly = len(plan.Prefer) > 0 && now.Before(rec.diedAt.Add(restartGrace))
	return plan
}

// RecordDeath records that a connection died under a query. keep is how long the
// query is refused if this proves it. It returns true if the table has learned
// something that other hosts should know.
func (t *Table) RecordDeath(now time.Time, fp Fingerprint, d Death, oneGroup bool, keep time.Duration) bool {
	t.alert = now.Add(alertFor)
	return t.learn(now, fp, []Death{d}, oneGroup, keep, (*record).died)
}

// RecordCanarySuccess records that a query was answered by a target of a group alone.
func (t *Table) RecordCanarySuccess(now time.Time, fp Fingerprint, group string, keep time.Duration) {
	if rec := t.get(now, fp); rec != nil && now.Before(rec.proven) {
		return
	}
	rec := t.put(now, fp)
	if rec == nil {
		return
	}
	if until := now.Add(keep); rec.expires.Before(until) {
		rec.expires = until
	}
	// A query that crashes one shard dies in one group only. One that died in
	// several groups beside others and is answered in one of them only ran
	// beside the cause.
	var diedIn []string
	for _, d := range rec.deaths {
		if d.Answered < AnsweredInGroup && !slices.Contains(diedIn, d.Group) {
			diedIn = append(diedIn, d.Group)
		}
	}
	beside := len(diedIn) > 1 && slices.Contains(diedIn, group)
	t.refute(fp, rec, func(d Death) AnswerScope {
		if d.Group == group || beside && d.CanaryDeaths == 0 {
			return AnsweredInGroup
		}
		return AnsweredElsewhere
	})
	rec.answer(group)
}

// RecordAnswer records that a group answered a query that ran on several groups.
func (t *Table) RecordAnswer(now time.Time, fp Fingerprint, group string) {
	rec := t.get(now, fp)
	if rec == nil || now.Before(rec.proven) {
		return
	}
	t.refute(fp, rec, func(d Death) AnswerScope {
		if d.Group == group {
			return AnsweredInGroup
		}
		return NotAnswered
	})
	rec.answer(group)
}

// refute records the answer to a query for each of its deaths. The deaths stay,
// so that a peer that still reports them does not make the query a suspect
// again, and so that peers learn of the answer.
func (t *Table) refute(fp Fingerprint, rec *record, answered func(Death) AnswerScope) {
	for i, d := range rec.deaths {
		if a := answered(d); a > d.Answered {
			rec.deaths[i].Answered = a
			t.fresh[fp] = true
		}
	}
}

// Export returns what was learned since the last call.
func (t *Table) Export(now time.Time) []Entry {
	entries := make([]Entry, 0, len(t.fresh))
	for fp := range t.fresh {
		if rec := t.get(now, fp); rec != nil {
			entries = append(entries, rec.entry(now, fp))
		}
	}
	clear(t.fresh)
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return entries
}

// Entry returns what is known of a fingerprint that died.
func (t *Table) Entry(now time.Time, fp Fingerprint) (Entry, bool) {
	rec := t.get(now, fp)
	if rec == nil || len(rec.deaths) == 0 && !now.Before(rec.proven) {
		return Entry{}, false
	}
	return rec.entry(now, fp), true
}

// Unresolved reports whether the query is refused, or a group in which it died has
// not answered since.
func (e Entry) Unresolved() bool {
	return e.RefusedFor > 0 || slices.ContainsFunc(e.Deaths, func(d Death) bool { return d.Answered < AnsweredInGroup })
}

// Entries returns what is known of all suspect and proven fingerprints, in
// their order.
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

// Import takes entries of another host and returns those that were new.
func (t *Table) Import(now time.Time, entries []Entry, keep time.Duration) []Entry {
	var learned []Entry
	for _, e := range entries {
		rec := t.get(now, e.Fingerprint)
		if rec == nil && !e.Unresolved() {
			continue
		}
		proven := e.RefusedFor > 0 && (rec == nil || !now.Before(rec.proven))
		changed := t.learn(now, e.Fingerprint, e.Deaths, e.SingleGroup, keep, (*record).merge)
		if rec = t.get(now, e.Fingerprint); proven && rec != nil {
			rec.proven, changed = now.Add(min(e.RefusedFor, keep)), true
		}
		if changed {
			if e.Unresolved() {
				t.alert = now.Add(alertFor)
			}
			learned = append(learned, e)
		}
	}
	return learned
}

// Len returns the number of fingerprints.
func (t *Table) Len() int { return len(t.records) }

func (t *Table) learn(now time.Time, fp Fingerprint, deaths []Death, oneGroup bool, keep time.Duration, take func(*record, Death) (changed, died bool)) bool {
	rec := t.put(now, fp)
	if rec == nil {
		return false
	}
	changed, died := false, false
	for _, d := range deaths {
		c, isNew := take(rec, d)
		isNew = isNew && !t.excuse(fp, rec, d)
		changed, died = changed || c, died || isNew
	}
	rec.oneGroup = rec.oneGroup || oneGroup
	if died {
		rec.diedAt, rec.holds = now, now.Add(keep)
	}
	if changed || rec.suspect() || rec.expires.IsZero() {
		// A suspect is remembered for longer than a proven query is refused, so
		// that it starts again as a canary.
		rec.expires = now.Add(2 * keep)
	}
	if changed && !now.Before(rec.proven) && rec.isProven() {
		rec.proven = now.Add(keep)
	}
	if changed {
		t.fresh[fp] = true
	}
	return changed
}

// get returns a record that has not expired.
func (t *Table) get(now time.Time, fp Fingerprint) *record {
	rec, ok := t.records[fp]
	if !ok {
		return nil
	}
	if now.After(rec.expires) {
		delete(t.records, fp)
		delete(t.fresh, fp)
		return nil
	}
	return rec
}

// put returns the record of a fingerprint, and makes room if it is new.
func (t *Table) put(now time.Time, fp Fingerprint) *record {
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

// makeRoom drops expired fingerprints, or else a cleared one, or else the
// suspect that expires first. Proven ones stay.
func (t *Table) makeRoom(now time.Time) bool {
	var least *record
	var victim Fingerprint
	for fp, rec := range t.records {
		if now.After(rec.expires) {
			delete(t.records, fp)
			delete(t.fresh, fp)
			continue
		}
		if !rec.suspect() && !now.Before(rec.proven) && len(rec.held(now)) == 0 {
			delete(t.records, fp) // it only saves a canary
			delete(t.fresh, fp)
			return true
		}
		if !now.Before(rec.proven) && (least == nil || rec.expires.Before(least.expires)) {
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
	delete(t.fresh, victim)
	return true
}
