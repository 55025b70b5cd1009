package quarantine

import "time"

// maxCleared bounds the fingerprints of each of the two generations of cleared
// queries: some 40 bytes each, 1.3 MB together.
const maxCleared = 1 << 14

// cleared holds the queries that all groups answered, each with the index
// version of the answer. A query that crashes a shard is never among them, unless
// it does so on a newer version only. The older half is forgotten when the
// younger one is full.
type cleared struct {
	young, old map[Fingerprint]uint64
}

func (c *cleared) add(fp Fingerprint, version uint64) {
	if known, ok := c.young[fp]; ok && known >= version {
		return
	}
	if len(c.young) >= maxCleared {
		c.old, c.young = c.young, nil
	}
	if c.young == nil {
		c.young = map[Fingerprint]uint64{}
	}
	c.young[fp] = max(version, c.old[fp])
}

func (c *cleared) holds(fp Fingerprint, version uint64) bool {
	return version > 0 && (c.young[fp] >= version || c.old[fp] >= version)
}

func (c *cleared) drop(fp Fingerprint) {
	delete(c.young, fp)
	delete(c.old, fp)
}

// MarkCleared records that all groups answered a query at an index version.
func (t *Table) MarkCleared(now time.Time, fp Fingerprint, version uint64) {
	t.cleared.add(fp, version)
	if rec := t.get(now, fp); rec != nil {
		for i := range rec.deaths {
			rec.deaths[i].excused = false
		}
	}
}

// IsCleared reports whether all groups answered a query at an index version.
func (t *Table) IsCleared(fp Fingerprint, version uint64) bool { return t.cleared.holds(fp, version) }

// excuse decides on a new death under a cleared query: it ran beside the cause,
// such as the loss of a place, and stays cleared. That holds for one target of
// each group until all groups have answered again. If a second one dies, the
// query is treated like any other, because it may crash targets for a reason
// that its answers did not show.
func (t *Table) excuse(fp Fingerprint, rec *record, d Death) bool {
	i := rec.index(d.Target)
	if i < 0 || rec.deaths[i].Canary || rec.deaths[i].Answered != NotAnswered || !t.cleared.holds(fp, d.Version) {
		return false
	}
	for _, other := range rec.deaths {
		if other.excused && other.Group == d.Group && other.Target != d.Target {
			t.cleared.drop(fp)
			return false
		}
	}
	rec.deaths[i].Answered, rec.deaths[i].excused = AnsweredInGroup, true
	return true
}
