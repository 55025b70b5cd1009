package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const (
	// maxDeaths bounds what is kept per fingerprint; two prove it.
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

// Death is a connection that died under a query.
type Death struct {
	Target string `cbor:"1,keyasint"`
	Group  string `cbor:"2,keyasint"`
	// Canary says that the query ran as a canary, and that no other suspect's
	// canary was on the target.
	Canary bool `cbor:"3,keyasint,omitempty"`
}

// Entry is what one host tells another about a fingerprint.
type Entry struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	Proven      time.Duration `cbor:"2,keyasint,omitempty"` // time left for which it is refused
	Deaths      []Death       `cbor:"3,keyasint,omitempty"`
	OneGroup    bool          `cbor:"4,keyasint,omitempty"` // the service has a single group
}

// Plan says where a canary may run.
type Plan struct {
	Prefer  []string // targets on which the query died, but not as a canary
	Only    bool     // no other target may be used yet
	Avoid   []string // groups in which a canary died already
	Suspect bool     // the query died before
}

// Table holds the fingerprints that a host knows.
type Table struct {
	capacity int
	records  map[Fingerprint]*record
	alert    time.Time // unknown queries run as canaries until then
	fresh    map[Fingerprint]bool
}

// record is a suspect, proven or cleared fingerprint.
type record struct {
	deaths   []Death
	oneGroup bool
	diedAt   time.Time
	proven   time.Time // refused until then
	cleared  bool
	expires  time.Time
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
	case rec != nil && !rec.cleared:
		return Canary
	case rec == nil && now.Before(t.alert):
		return Canary
	default:
		return Run
	}
}

// Cleared reports whether a query may be sent to another replica after a
// connection died under it.
func (t *Table) Cleared(now time.Time, fp Fingerprint) bool {
	rec := t.get(now, fp)
	return rec != nil && rec.cleared
}

// Plan says where the canary of a query may run. A target that died under the
// query before is taken again, so that no second replica is lost to it.
func (t *Table) Plan(now time.Time, fp Fingerprint) Plan {
	rec := t.get(now, fp)
	if rec == nil || rec.cleared || len(rec.deaths) == 0 {
		return Plan{}
	}
	plan := Plan{Suspect: true}
	for _, d := range rec.deaths {
		if d.Canary && !rec.oneGroup {
			plan.Avoid = append(plan.Avoid, d.Group)
		}
	}
	for _, d := range rec.deaths {
		if !d.Canary && !slices.Contains(plan.Avoid, d.Group) {
			plan.Prefer = append(plan.Prefer, d.Target)
		}
	}
	plan.Only = len(plan.Prefer) > 0 && now.Before(rec.diedAt.Add(restartGrace))
	return plan
}

// Died records that a connection died under a query. keep is how long the
// query is refused if this proves it. It returns true if the table has learned
// something that other hosts should know.
func (t *Table) Died(now time.Time, fp Fingerprint, d Death, oneGroup bool, keep time.Duration) bool {
	t.alert = now.Add(alertFor)
	if rec := t.get(now, fp); rec != nil && rec.cleared {
		*rec = record{expires: rec.expires}
	}
	return t.learn(now, fp, []Death{d}, oneGroup, keep)
}

// Succeeded records that a query was answered by a target alone.
func (t *Table) Succeeded(now time.Time, fp Fingerprint, keep time.Duration) {
	if rec := t.get(now, fp); rec != nil && now.Before(rec.proven) {
		return
	}
	if rec := t.put(now, fp); rec != nil {
		// The deaths stay, so that a peer that still reports them does not
		// make the query a suspect again.
		rec.cleared, rec.expires = true, now.Add(keep)
		delete(t.fresh, fp)
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

// Entry returns what is known of a suspect or proven fingerprint.
func (t *Table) Entry(now time.Time, fp Fingerprint) (Entry, bool) {
	rec := t.get(now, fp)
	if rec == nil || rec.cleared {
		return Entry{}, false
	}
	return rec.entry(now, fp), true
}

// Entries returns what is known of all suspect and proven fingerprints, in
// their order.
func (t *Table) Entries(now time.Time) []Entry {
	var entries []Entry
	for fp := range t.records {
		if e, known := t.Entry(now, fp); known {
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
		proven := e.Proven > 0 && (rec == nil || !now.Before(rec.proven))
		changed := t.learn(now, e.Fingerprint, e.Deaths, e.OneGroup, keep)
		if rec = t.get(now, e.Fingerprint); proven && rec != nil {
			rec.proven, rec.cleared, changed = now.Add(min(e.Proven, keep)), false, true
		}
		if changed {
			t.alert = now.Add(alertFor)
			learned = append(learned, e)
		}
	}
	return learned
}

// Len returns the number of fingerprints.
func (t *Table) Len() int { return len(t.records) }

func (t *Table) learn(now time.Time, fp Fingerprint, deaths []Death, oneGroup bool, keep time.Duration) bool {
	rec := t.put(now, fp)
	if rec == nil {
		return false
	}
	changed := false
	for _, d := range deaths {
		changed = rec.add(d) || changed
	}
	if rec.cleared && !changed {
		return false
	}
	rec.cleared = false
	rec.oneGroup = rec.oneGroup || oneGroup
	rec.diedAt = now
	// A suspect is remembered for longer than a proven query is refused, so
	// that it starts again as a canary.
	rec.expires = now.Add(2 * keep)
	if !now.Before(rec.proven) && rec.isProven() {
		rec.proven, changed = now.Add(keep), true
	}
	if changed {
		t.fresh[fp] = true
	}
	return changed
}

// add records a death; a repeated one counts once.
func (r *record) add(d Death) bool {
	for i := range r.deaths {
		if r.deaths[i].Target == d.Target {
			changed := d.Canary && !r.deaths[i].Canary
			r.deaths[i].Canary = r.deaths[i].Canary || d.Canary
			return changed
		}
	}
	if len(r.deaths) == maxDeaths {
		if !d.Canary {
			return false
		}
		r.deaths = r.deaths[1:]
	}
	r.deaths = append(r.deaths, d)
	return true
}

// isProven reports whether canaries died on two targets, of different groups
// where the service has several. One canary that died is not enough: over many
// canaries some run on a target that fails of something else.
func (r *record) isProven() bool {
	for _, c := range r.deaths {
		for _, d := range r.deaths {
			if c.Canary && d.Canary && c.Target != d.Target && (r.oneGroup || c.Group != d.Group) {
				return true
			}
		}
	}
	return false
}

func (r *record) entry(now time.Time, fp Fingerprint) Entry {
	return Entry{Fingerprint: fp, Proven: max(0, r.proven.Sub(now)), Deaths: slices.Clone(r.deaths), OneGroup: r.oneGroup}
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
		if rec.cleared {
			delete(t.records, fp) // it only saves a canary
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
