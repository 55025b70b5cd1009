// Package snapshot chooses the index version that a query runs on.
//
// Index versions roll through the searchers while queries run. A query needs
// one version that every shard group still serves; the table of versions is
// learned from the answers of targets, because their status endpoints lag.
//
// A Versions table is not safe for concurrent use.
package snapshot

import "slices"

// Versions remembers which index versions each target last said it serves.
type Versions struct {
	targets map[string][]uint64
}

// NewVersions returns an empty table.
func NewVersions() *Versions { return &Versions{targets: map[string][]uint64{}} }

// Observe records the versions that a target stated in an answer.
func (v *Versions) Observe(target string, versions []uint64) {
	if len(versions) == 0 || slices.Equal(v.targets[target], versions) {
		return
	}
	v.targets[target] = slices.Clone(versions)
}

// Forget removes a target, for example when its process restarted.
func (v *Versions) Forget(target string) { delete(v.targets, target) }

// Serves reports whether a target is believed to serve a version. A target
// that has not been heard from may serve any version.
func (v *Versions) Serves(target string, version uint64) bool {
	known, ok := v.targets[target]
	return !ok || version == 0 || slices.Contains(known, version)
}

// Pick returns the version for a query over groups of usable targets, or 0 if
// no version is known. It prefers a version that covers the most groups, then
// one that leaves every group a second replica to hedge on, then the highest.
func (v *Versions) Pick(groups [][]string) uint64 {
	var best uint64
	var bestCovered, bestSpare int
	for _, version := range v.candidates(groups) {
		covered, spare := v.count(groups, version)
		better := covered > bestCovered ||
			covered == bestCovered && spare > bestSpare ||
			covered == bestCovered && spare == bestSpare && version > best
		if better {
			best, bestCovered, bestSpare = version, covered, spare
		}
	}
	return best
}

// candidates returns the distinct versions stated by any target of the groups.
func (v *Versions) candidates(groups [][]string) []uint64 {
	var all []uint64
	for _, targets := range groups {
		for _, t := range targets {
			for _, version := range v.targets[t] {
				if !slices.Contains(all, version) {
					all = append(all, version)
				}
			}
		}
	}
	return all
}

// count returns the groups with at least one target that serves version, and
// those with a second one or with no second target at all.
func (v *Versions) count(groups [][]string, version uint64) (covered, spare int) {
	for _, targets := range groups {
		serving := 0
		for _, t := range targets {
			if v.Serves(t, version) {
				serving++
			}
		}
		if serving > 0 {
			covered++
		}
		if serving >= min(2, len(targets)) {
			spare++
		}
	}
	return covered, spare
}
