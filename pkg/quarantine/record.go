package quarantine

import (
	"math"
	"slices"
	"time"
)

// record is the state of a fingerprint: the deaths of targets under its query or
// canary, and the groups that answered.
type record struct {
	deaths          []Death
	answered        map[string]bool // groups that answered since a target of theirs last died
	singleGroup     bool
	lastDeath       time.Time // time of the last new death of a target
	restrictedUntil time.Time // until then, groups in which targets died under two canaries do not get the query at all
	refusedUntil    time.Time
	expiresAt       time.Time
}

// isSuspect reports whether a target died under the query and the query has not
// been answered anywhere since.
func (r *record) isSuspect() bool {
	return slices.ContainsFunc(r.deaths, func(d Death) bool { return d.Answered == NotAnswered })
}

// restrictions returns the groups in which a target died under the query and that
// have not answered since. In a service with a single group no other group could
// answer meanwhile, so no group is restricted.
func (r *record) restrictions(now time.Time) map[string]Restriction {
	if r.singleGroup {
		return nil
	}
	var restrictions map[string]Restriction
	for _, d := range r.deaths {
		if d.Answered == AnsweredInGroup {
			continue
		}
		if restrictions == nil {
			restrictions = map[string]Restriction{}
		}
		restriction := restrictions[d.Group]
		if !slices.Contains(restriction.Targets, d.Target) {
			restriction.Targets = append(restriction.Targets, d.Target)
		}
		// Until the targets that died have had the time to restart, no other target of
		// the group may get the query, so that no further replica is lost.
		restriction.TargetsOnly = now.Before(r.lastDeath.Add(restartGrace))
		restriction.Refuse = r.canaryDeaths(d.Group) > 1 && now.Before(r.restrictedUntil)
		restrictions[d.Group] = restriction
	}
	return restrictions
}

// canaryDeaths counts the deaths under canaries in a group since the group last
// answered.
func (r *record) canaryDeaths(group string) (n int) {
	for _, d := range r.deaths {
		if d.Group == group && d.Answered < AnsweredInGroup {
			n += int(d.CanaryDeaths)
		}
	}
	return n
}

func (r *record) markAnswered(group string) {
	if r.answered == nil {
		r.answered = map[string]bool{}
	}
	r.answered[group] = true
}

// recordDeath records a death that this host observed. If the query was not a
// canary and the target's last death is still unanswered, the death adds no
// information. changed means that the record changed, so that other hosts must learn
// of it; isNew means that the change is a death that no answer of its group follows.
func (r *record) recordDeath(d Death) (changed, isNew bool) {
	d.Seq, d.Answered, d.CanaryDeaths = 1, NotAnswered, 0
	if d.Canary {
		d.CanaryDeaths = 1
	}
	i := r.deathIndex(d.Target)
	if i < 0 {
		return r.addDeath(d)
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

// mergeDeath merges the state of a target that another host reported. The results are
// those of recordDeath; a report of an answer changes the record without a new death.
func (r *record) mergeDeath(d Death) (changed, isNew bool) {
	i := r.deathIndex(d.Target)
	if i < 0 {
		return r.addDeath(d)
	}
	known, before := &r.deaths[i], r.deaths[i]
	// Two owners may give different deaths the same sequence number, so a canary
	// death that the other host does not know of is kept.
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
	isNew = known.Answered < AnsweredInGroup && (known.Seq > before.Seq || known.CanaryDeaths > before.CanaryDeaths)
	if isNew {
		delete(r.answered, d.Group)
	}
	return *known != before, isNew
}

func (r *record) deathIndex(target string) int {
	return slices.IndexFunc(r.deaths, func(d Death) bool { return d.Target == target })
}

// addDeath records the first known death of a target. The results are those of
// recordDeath.
func (r *record) addDeath(d Death) (changed, isNew bool) {
	if len(r.deaths) == maxDeaths && !r.evictDeath(d) {
		return false, false
	}
	r.deaths = append(r.deaths, d)
	if d.Answered < AnsweredInGroup {
		delete(r.answered, d.Group)
	}
	return true, d.Answered < AnsweredInGroup
}

// evictDeath makes room for d by removing the known death of the least weight. It
// returns false if that death outweighs d, or if both weigh the same and d has no
// canary deaths.
func (r *record) evictDeath(d Death) bool {
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

// isProvenKiller reports whether two targets, of different groups where the
// service has several, died under canaries of the query without an answer since.
// One death is not enough: among many canaries some run on a target that fails for
// another reason, as an answer to the query afterwards shows.
func (r *record) isProvenKiller() bool {
	for _, c := range r.deaths {
		for _, d := range r.deaths {
			if c.Canary && d.Canary && c.Answered == NotAnswered && d.Answered == NotAnswered && c.Target != d.Target && (r.singleGroup || c.Group != d.Group) {
				return true
			}
		}
	}
	return false
}

func (r *record) entry(now time.Time, fp Fingerprint) Entry {
	return Entry{Fingerprint: fp, RefusedFor: max(0, r.refusedUntil.Sub(now)), Deaths: slices.Clone(r.deaths), SingleGroup: r.singleGroup}
}
