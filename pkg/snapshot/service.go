package snapshot

import (
	"cmp"
	"time"
)

// VersionCounts counts, for the groups of one service, how many of them each version
// covers. Its cost is paid when a target states other versions than before, not
// per query.
type VersionCounts struct {
	groups     []*group
	anyCovered int // groups covered by every version, because of a target not heard from
	anySpare   int
	versions   map[uint64]*tally
}

// tally counts the groups that a version covers beyond those that every
// version covers.
type tally struct{ stating, covered, spare int }

// group is a set of replicas.
type group struct {
	service *VersionCounts
	targets []*Target
}

// CountVersions returns the counts for groups of usable targets.
func (v *Versions) CountVersions(groups [][]string) *VersionCounts {
	s := &VersionCounts{versions: map[uint64]*tally{}}
	for _, ids := range groups {
		g := &group{service: s}
		for _, id := range ids {
			t := v.Target(id)
			g.targets = append(g.targets, t)
			t.groups = append(t.groups, g)
		}
		s.groups = append(s.groups, g)
		g.count(+1)
	}
	return s
}

// Close ends the updates of a service whose groups have been replaced.
func (s *VersionCounts) Close() {
	for _, g := range s.groups {
		for _, t := range g.targets {
			for i, other := range t.groups {
				if other == g {
					t.groups = append(t.groups[:i], t.groups[i+1:]...)
					break
				}
			}
		}
	}
}

// Pick returns the version for a query, or 0 if no version is known. It
// prefers a version that covers the most groups, then one that leaves every
// group a second replica to hedge on and half of its replicas, then one that the
// most groups stated rather than may serve, then the highest.
func (s *VersionCounts) Pick() uint64 { return s.pick(0, +1) }

// PickAfter returns the version for a query whose version vanished, or 0 if no
// newer one is known. Of equal versions it takes the lowest: the targets that
// refused have rolled on and state the newest versions, while those that have
// not yet answered may be behind them.
func (s *VersionCounts) PickAfter(vanished uint64) uint64 { return s.pick(vanished, -1) }

// pick chooses among the versions above a floor. sign is the preference among
// equal ones, +1 for the highest.
func (s *VersionCounts) pick(floor uint64, sign int) uint64 {
	var best uint64
	var at tally
	for version, t := range s.versions {
		if version <= floor {
			continue
		}
		order := cmp.Or(cmp.Compare(t.covered, at.covered), cmp.Compare(t.spare, at.spare),
			cmp.Compare(t.stating, at.stating), sign*cmp.Compare(version, best))
		if best == 0 || order > 0 {
			best, at = version, *t
		}
	}
	return best
}

// CoveredGroups returns the number of groups that are believed to serve a version.
func (s *VersionCounts) CoveredGroups(version uint64) int {
	if t, ok := s.versions[version]; ok {
		return s.anyCovered + t.covered
	}
	return s.anyCovered
}

// count adds the group's share to the counts of its service, or takes it away.
// The caller takes it away before a change of the group's targets and adds it
// again after.
func (g *group) count(sign int) {
	unheard := 0
	for _, t := range g.targets {
		if t.versions == nil {
			unheard++
		}
	}
	// Half of a large group as well: the first few of 12 replicas with a new
	// version would otherwise get the load of all.
	need := max(min(2, len(g.targets)), (len(g.targets)+1)/2)
	if unheard > 0 {
		g.service.anyCovered += sign
	}
	if unheard >= need {
		g.service.anySpare += sign
	}
	for i, t := range g.targets {
		for _, version := range t.versions {
			if g.statedBefore(i, version) {
				continue
			}
			g.countVersion(sign, version, unheard, need)
		}
	}
}

// statedBefore reports whether a target before index i states the version.
func (g *group) statedBefore(i int, version uint64) bool {
	for _, t := range g.targets[:i] {
		if t.versions != nil && t.MayServe(version) {
			return true
		}
	}
	return false
}

func (g *group) countVersion(sign int, version uint64, unheard, need int) {
	c, ok := g.service.versions[version]
	if !ok {
		c = &tally{}
		g.service.versions[version] = c
	}
	serving := unheard
	for _, t := range g.targets {
		if t.versions != nil && t.MayServe(version) {
			serving++
		}
	}
	c.stating += sign
	if unheard == 0 {
		c.covered += sign
	}
	if unheard < need && serving >= need {
		c.spare += sign
	}
	if c.stating == 0 {
		delete(g.service.versions, version)
	}
}

// Invalidate forgets what targets stated before a time. A query that found its
// version gone from a group calls it: the other targets have probably rolled on
// as well, and their old statements would make Pick choose that version again
// or an even older one.
func (s *VersionCounts) Invalidate(before time.Time) {
	for _, g := range s.groups {
		for _, t := range g.targets {
			if t.versions != nil && t.heard.Before(before) {
				t.set(nil)
			}
		}
	}
}
