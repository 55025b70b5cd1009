package quarantine

import (
	"math"
	"slices"
	"time"
)

// record is a suspect, proven or cleared fingerprint.
type record struct {
	deaths   []Death
	answered map[string]bool // groups that answered since the query last died there
	oneGroup bool
	diedAt   time.Time // the last new death
	holds    time.Time // groups in which two canaries died do not get it until then
	proven   time.Time // refused until then
	expires  time.Time
}

// suspect reports whether a death is left after which the query was answered
// nowhere.
func (r *record) suspect() bool {
	return slices.ContainsFunc(r.deaths, func(d Death) bool { return d.Answered == NotAnswered })
}

// held returns the groups in which the query died without an answer since. A
// service with one group has no others to answer meanwhile.
func (r *record) held(now time.Time) map[string]Restriction {
	if r.oneGroup {
		return nil
	}
	var held map[string]Restriction
	for _, d := range r.deaths {
		if d.Answered == AnsweredInGroup {
			continue
		}
		if held == nil {
			held = map[string]Restriction{}
		}
		hold := held[d.Group]
		if !slices.Contains(hold.Targets, d.Target) {
			hold.Targets = append(hold.Targets, d.Target)
		}
		hold.TargetsOnly = now.Before(r.diedAt.Add(restartGrace))
		hold.Refuse = r.canaries(d.Group) > 1 && now.Before(r.holds)
		held[d.Group] = hold
	}
	return held
}

// canaries counts the canaries that died in a group without an answer since.
func (r *record) canaries(group string) (n int) {
	for _, d := range r.deaths {
		if d.Group == group && d.Answered < AnsweredInGroup {
			n += int(d.CanaryDeaths)
		}
	}
	return n
}

func (r *record) answer(group string) {
	if r.answered == nil {
		r.answered = map[string]bool{}
	}
	r.answered[group] = true
}

// died records a death that this host saw. Without a canary, one on a target
// whose last death is not answered yet says nothing new.
func (r *record) died(d Death) (changed, died bool) {
	d.Seq, d.Answered, d.CanaryDeaths = 1, NotAnswered, 0
	if d.Canary {
		d.CanaryDeaths = 1
	}
	i := r.index(d.Target)
	if i < 0 {
		return r.add(d)
	}
	known := &r.deaths[i]
	if known.Answered == NotAnswered && !d.Canary {
		return false, false
	}
	d.Seq = known.Seq + 1
	d.Canary = d.Canary || known.Canary && known.Answered == NotAnswered
	if known.Answered < AnsweredInGroup && known.CanaryDeaths < math.MaxUint8 {
		d.CanaryDeaths += known.CanaryDeaths
	}
	*known = d
	delete(r.answered, d.Group)
	return true, true
}

// merge takes what another host says of a target.
func (r *record) merge(d Death) (changed, died bool) {
	i := r.index(d.Target)
	if i < 0 {
		return r.add(d)
	}
	known, before := &r.deaths[i], r.deaths[i]
	// Deaths on two owners may have the same number, so a canary that the other
	// host does not know of is kept.
	if known.Answered < AnsweredInGroup && d.Answered < AnsweredInGroup {
		known.CanaryDeaths = max(known.CanaryDeaths, d.CanaryDeaths)
		known.Canary = known.Canary || d.Canary && known.Answered == NotAnswered && d.Answered == NotAnswered
		d.CanaryDeaths, d.Canary = known.CanaryDeaths, d.Canary || known.Canary && known.Answered == NotAnswered
	}
	switch {
	case d.Seq > known.Seq:
		*known = d
	case d.Seq == known.Seq:
		known.Answered = max(known.Answered, d.Answered)
	}
	died = known.Answered < AnsweredInGroup && (known.Seq > before.Seq || known.CanaryDeaths > before.CanaryDeaths)
	if died {
		delete(r.answered, d.Group)
	}
	return *known != before, died
}

func (r *record) index(target string) int {
	return slices.IndexFunc(r.deaths, func(d Death) bool { return d.Target == target })
}

// add records the first death on a target.
func (r *record) add(d Death) (changed, died bool) {
	if len(r.deaths) == maxDeaths && !r.drop(d) {
		return false, false
	}
	r.deaths = append(r.deaths, d)
	if d.Answered < AnsweredInGroup {
		delete(r.answered, d.Group)
	}
	return true, d.Answered < AnsweredInGroup
}

// drop makes room for a death that says more than one of those known.
func (r *record) drop(d Death) bool {
	weight := func(d Death) int {
		switch {
		case d.Answered == AnsweredInGroup:
			return 0
		case d.CanaryDeaths == 0:
			return 1
		}
		return 2
	}
	least := 0
	for i, known := range r.deaths {
		if weight(known) < weight(r.deaths[least]) {
			least = i
		}
	}
	if weight(r.deaths[least]) > weight(d) || d.CanaryDeaths == 0 && weight(r.deaths[least]) == weight(d) {
		return false
	}
	r.deaths = slices.Delete(r.deaths, least, least+1)
	return true
}

// isProven reports whether canaries died on two targets, of different groups
// where the service has several, without an answer since. One canary that died
// is not enough: over many canaries some run on a target that fails of
// something else, and an answer after it shows that this was so.
func (r *record) isProven() bool {
	for _, c := range r.deaths {
		for _, d := range r.deaths {
			if c.Canary && d.Canary && c.Answered == NotAnswered && d.Answered == NotAnswered && c.Target != d.Target && (r.oneGroup || c.Group != d.Group) {
				return true
			}
		}
	}
	return false
}

func (r *record) entry(now time.Time, fp Fingerprint) Entry {
	return Entry{Fingerprint: fp, RefusedFor: max(0, r.proven.Sub(now)), Deaths: slices.Clone(r.deaths), SingleGroup: r.oneGroup}
}
