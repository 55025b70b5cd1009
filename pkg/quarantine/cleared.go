package quarantine

import "time"

// maxCleared is the maximum number of fingerprints in each of the two
// generations of cleared queries: about 40 bytes each, 1.3 MB in total.
const maxCleared = 1 << 14

// clearedSet is the set of queries that all groups answered, each with the highest
// index version of such an answer. A query that crashes the targets of a group
// is not in the set, unless it does so only on a newer version. When the current generation is
// full, it replaces the previous one, whose queries are evicted.
type clearedSet struct {
	current, previous map[Fingerprint]uint64
}

func (s *clearedSet) add(fp Fingerprint, version uint64) {
	if known, ok := s.current[fp]; ok && known >= version {
		return
	}
	if len(s.current) >= maxCleared {
		s.previous, s.current = s.current, nil
	}
	if s.current == nil {
		s.current = map[Fingerprint]uint64{}
	}
	s.current[fp] = max(version, s.previous[fp])
}

func (s *clearedSet) contains(fp Fingerprint, version uint64) bool {
	return version > 0 && (s.current[fp] >= version || s.previous[fp] >= version)
}

func (s *clearedSet) remove(fp Fingerprint) {
	delete(s.current, fp)
	delete(s.previous, fp)
}

// MarkCleared records that all groups answered a query at an index version.
func (t *Table) MarkCleared(now time.Time, fp Fingerprint, version uint64) {
	t.cleared.add(fp, version)
	if rec := t.get(now, fp); rec != nil {
		for i := range rec.deaths {
			rec.deaths[i].discounted = false
		}
	}
}

// IsCleared reports whether all groups are known to have answered a query at an
// index version or a newer one. It is false for version 0.
func (t *Table) IsCleared(fp Fingerprint, version uint64) bool {
	return t.cleared.contains(fp, version)
}

// discount attributes a new death under a cleared query to another cause, such
// as the loss of a place, and reports whether it did so; the query then stays
// cleared. Deaths of one target of each group are discounted until all groups have
// answered the query again. If a second target of a group dies before that, the query
// is no longer cleared, because it may crash targets under conditions that were not
// present when the groups answered it.
func (t *Table) discount(fp Fingerprint, rec *record, d Death) bool {
	i := rec.deathIndex(d.Target)
	if i < 0 || rec.deaths[i].Canary || rec.deaths[i].Answered != NotAnswered || !t.cleared.contains(fp, d.Version) {
		return false
	}
	for _, other := range rec.deaths {
		if other.discounted && other.Group == d.Group && other.Target != d.Target {
			t.cleared.remove(fp)
			return false
		}
	}
	rec.deaths[i].Answered, rec.deaths[i].discounted = AnsweredInGroup, true
	return true
}
