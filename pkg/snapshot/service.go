package snapshot

import (
	"cmp"
	"time"
)

// VersionCounts counts the groups of one service that each version covers. The
// counts are updated when a target reports other versions than before, so that
// a query does not have to compute them.
type VersionCounts struct {
	groups          []*group
	alwaysCovered   int // groups that every version covers, because targets that have not reported may serve any
	alwaysRedundant int // groups where enough of these targets exist for redundancy
	versions        map[uint64]*groupCounts
}

// groupCounts counts the groups where a target reported the version, and those
// that the version covers, and covers with redundancy, beyond the groups where
// every version does.
type groupCounts struct{ reported, covered, redundant int }

// group is the set of usable replicas of one shard.
type group struct {
	counts  *VersionCounts
	targets []*Target
}

// CountVersions returns the counts for groups, given as the ids of their usable
// targets. The counts are updated until Close.
func (v *Versions) CountVersions(groups [][]string) *VersionCounts {
	c := &VersionCounts{versions: map[uint64]*groupCounts{}}
	for _, ids := range groups {
		g := &group{counts: c}
		for _, id := range ids {
			t := v.Target(id)
			g.targets = append(g.targets, t)
			t.groups = append(t.groups, g)
		}
		c.groups = append(c.groups, g)
		g.count(+1)
	}
	return c
}

// Close ends the updates of the counts. The caller closes the counts when the
// groups of the service are replaced.
func (c *VersionCounts) Close() {
	for _, g := range c.groups {
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

// Pick returns the version for a query, or 0 if no version is known. It prefers
// the version that covers the most groups; then the one that the most groups serve
// with redundancy: at least two replicas, for hedges, and at least half of them;
// then the one that targets of the most groups reported, rather than may serve;
// then the highest.
func (c *VersionCounts) Pick() uint64 { return c.pick(0, +1) }

// PickAfter returns the version for a query whose version is no longer served, or
// 0 if no newer one is known. Of otherwise equal versions it returns the lowest:
// the targets that refused have been updated and report the newest versions, while
// those that have not answered yet may have older ones.
func (c *VersionCounts) PickAfter(retired uint64) uint64 { return c.pick(retired, -1) }

// pick chooses among the versions above a floor. sign is the preference among
// otherwise equal ones: +1 for the highest, -1 for the lowest.
func (c *VersionCounts) pick(floor uint64, sign int) uint64 {
	var best uint64
	var bestCounts groupCounts
	for version, counts := range c.versions {
		if version <= floor {
			continue
		}
		order := cmp.Or(cmp.Compare(counts.covered, bestCounts.covered), cmp.Compare(counts.redundant, bestCounts.redundant),
			cmp.Compare(counts.reported, bestCounts.reported), sign*cmp.Compare(version, best))
		if best == 0 || order > 0 {
			best, bestCounts = version, *counts
		}
	}
	return best
}

// CoveredGroups returns the number of groups with a target that may serve a
// version.
func (c *VersionCounts) CoveredGroups(version uint64) int {
	if counts, ok := c.versions[version]; ok {
		return c.alwaysCovered + counts.covered
	}
	return c.alwaysCovered
}

// count adds the group to the counts of its service (sign +1) or subtracts it (-1).
// The caller subtracts the group before a change of its targets and adds it again
// afterwards.
func (g *group) count(sign int) {
	unreported := 0
	for _, t := range g.targets {
		if t.versions == nil {
			unreported++
		}
	}
	// Half of the replicas are required as well: otherwise the first few of 12
	// replicas with a new version would get the load of all.
	need := max(min(2, len(g.targets)), (len(g.targets)+1)/2)
	if unreported > 0 {
		g.counts.alwaysCovered += sign
	}
	if unreported >= need {
		g.counts.alwaysRedundant += sign
	}
	for i, t := range g.targets {
		for _, version := range t.versions {
			if g.reportedBefore(i, version) {
				continue
			}
			g.countVersion(sign, version, unreported, need)
		}
	}
}

// reportedBefore reports whether a target before index i reported the version, so
// that the group is counted once per version.
func (g *group) reportedBefore(i int, version uint64) bool {
	for _, t := range g.targets[:i] {
		if t.versions != nil && t.MayServe(version) {
			return true
		}
	}
	return false
}

// countVersion adds the group to the counts of a version that one of its targets
// reported, or subtracts it. unreported is the number of targets that have not
// reported, need the number of replicas required for redundancy.
func (g *group) countVersion(sign int, version uint64, unreported, need int) {
	counts, ok := g.counts.versions[version]
	if !ok {
		counts = &groupCounts{}
		g.counts.versions[version] = counts
	}
	serving := unreported
	for _, t := range g.targets {
		if t.versions != nil && t.MayServe(version) {
			serving++
		}
	}
	counts.reported += sign
	if unreported == 0 {
		counts.covered += sign
	}
	if unreported < need && serving >= need {
		counts.redundant += sign
	}
	if counts.reported == 0 {
		delete(g.counts.versions, version)
	}
}

// Invalidate drops the versions that targets of the service reported before a
// time. The caller does so when a group no longer serves the version of a query:
// the other targets have probably been updated as well, and their old reports
// would make Pick choose the same version again, or an even older one.
func (c *VersionCounts) Invalidate(before time.Time) {
	for _, g := range c.groups {
		for _, t := range g.targets {
			if t.versions != nil && t.reportedAt.Before(before) {
				t.setVersions(nil)
			}
		}
	}
}
