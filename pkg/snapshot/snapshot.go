package snapshot

import (
	"slices"
	"time"
)

// Versions is the table of the index versions that each target reported last.
type Versions struct {
	targets map[string]*Target
}

// Target is the entry of one target. It stays valid for the lifetime of its
// Versions table.
type Target struct {
	versions   []uint64 // nil if not reported: the target may serve any version
	bootID     string
	reportedAt time.Time
	groups     []*group
}

// NewVersions returns an empty table.
func NewVersions() *Versions { return &Versions{targets: map[string]*Target{}} }

// Target returns the entry of a target, which is created if there is none.
func (v *Versions) Target(id string) *Target {
	t, ok := v.targets[id]
	if !ok {
		t = &Target{}
		v.targets[id] = t
	}
	return t
}

// Observe records the versions that a target reported in an answer and the boot ID
// of its process; either may be empty if the answer lacks it. It returns whether
// the target restarted since the previous answer, so that other observations of
// the target are outdated.
func (v *Versions) Observe(now time.Time, target, bootID string, versions []uint64) (restarted bool) {
	t := v.Target(target)
	if bootID != "" {
		restarted = t.bootID != "" && t.bootID != bootID
		t.bootID = bootID
	}
	if len(versions) == 0 {
		if restarted {
			t.setVersions(nil)
		}
		return restarted
	}
	t.reportedAt = now
	if !slices.Equal(t.versions, versions) {
		t.setVersions(slices.Clone(versions))
	}
	return restarted
}

// Forget drops the versions of a target, for example when its connection failed:
// its process may have restarted with other versions.
func (v *Versions) Forget(target string) {
	if t, ok := v.targets[target]; ok && t.versions != nil {
		t.setVersions(nil)
	}
}

// Expire drops the versions of the targets that have reported none since a time. A
// target that does not serve the version in use gets no queries, so without Expire
// its update to that version would never be noticed.
func (v *Versions) Expire(since time.Time) {
	for _, t := range v.targets {
		if t.versions != nil && t.reportedAt.Before(since) {
			t.setVersions(nil)
		}
	}
}

// MayServe reports whether a target may serve a version: it reported the version,
// or nothing. Version 0 stands for any.
func (v *Versions) MayServe(target string, version uint64) bool {
	t, ok := v.targets[target]
	return !ok || t.MayServe(version)
}

// MayServe reports whether the target may serve a version: it reported the version,
// or nothing. Version 0 stands for any.
func (t *Target) MayServe(version uint64) bool {
	return t.versions == nil || version == 0 || slices.Contains(t.versions, version)
}

// setVersions replaces the versions and updates the counts of the target's groups.
func (t *Target) setVersions(versions []uint64) {
	for _, g := range t.groups {
		g.count(-1)
	}
	t.versions = versions
	for _, g := range t.groups {
		g.count(+1)
	}
}
