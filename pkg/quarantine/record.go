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
	return slices.ContainsFunc(r.deaths, func(d Death) bool { return d.Answered == Nowhere })
}

// held returns the groups in which the query died without an answer since. A
// service with one group has no others to answer meanwhile.
func (r *record) held(now time.Time) map[string]Hold {
	if r.oneGroup {
		return nil
	}
	var held map[string]Hold
	for _, d := range r.deaths {
		if d.Answered == InGroup {
			continue
		}
		if held == nil {
			held = map[string]Hold{}
		}
		hold := held[d.Group]
		if !slices.Contains(hold.Targets, d.Target) {
			hold.Targets = append(hold.Targets, d.Target)
		}
		hold.Only = now.Before(r.diedAt.Add(restartGrace))
		hold.Refuse = r.canaries(d.Group) > 1 && now.Before(r.holds)
		held[d.Group] = hold
	}
	return held
}

// canaries counts the canaries that died in a group without an answer since.
func (r *record) canaries(group string) (n int) {
	for _, d := range r.deaths {
		if d.Group == group && d.Answered < InGroup {
			n += int(d.Canaries)
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
	d.Seq, d.Answered, d.Canaries = 1, Nowhere, 0
	if d.Canary {
		d.Canaries = 1
	}
	i := r.index(d.Target)
	if i < 0 {
		return r.add(d)
	}
	known := &r.deaths[i]
	if known.Answered == Nowhere && !d.Canary {
		return false, false
	}
	d.Seq = known.Seq + 1
	d.Canary = d.Canary || known.Canary && known.Answered == Nowhere
	if known.Answered < InGroup && known.Canaries < math.MaxUint8 {
		d.Canaries += known.Canaries
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
	if known.Answered < InGroup && d.Answered < InGroup {
		known.Canaries = max(known.Canaries, d.Canaries)
		known.Canary = known.Canary || d.Canary && known.Answered == Nowhere && d.Answered == Nowhere
		d.Canaries, d.Canary = known.Canaries, d.Canary || known.Canary && known.Answered == Nowhere
	}
	switch {
	case d.Seq > known.Seq:
		*known = d
	case d.Seq == known.Seq:
		known.Answered = max(known.Answered, d.Answered)
	}
	died = known.Answered < InGroup && (known.Seq > before.Seq || known.Canaries > before.Canaries)
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
	if d.Answered < InGroup {
		delete(r.answered, d.Group)
	}
	return true, d.Answered < InGroup
}

// drop makes room for a death that says more than one of those known.
func (r *record) drop(d Death) bool {
	weight := func(d Death) int {
		switch {
		case d.Answered == InGroup:
			return 0
		case d.Canaries == 0:
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
	if weight(r.deaths[least]) > weight(d) || d.Canaries == 0 && weight(r.deaths[least]) == weight(d) {
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
			if c.Canary && d.Canary && c.Answered == Nowhere && d.Answered == Nowhere && c.Target != d.Target && (r.oneGroup || c.Group != d.Group) {
				return true
			}
		}
	}
	return false
}

func (r *record) entry(now time.Time, fp Fingerprint) Entry {
	return Entry{Fingerprint: fp, Proven: max(0, r.proven.Sub(now)), Deaths: slices.Clone(r.deaths), OneGroup: r.oneGroup}
}
