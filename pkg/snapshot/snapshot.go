package snapshot

import (
	"slices"
	"time"
)

// Versions remembers which index versions each target last said it serves.
type Versions struct {
	targets map[string]*Target
}

// Target is what is known about one target. It stays valid for the lifetime of
// its Versions table.
type Target struct {
	versions []uint64 // nil: not heard from, may serve any version
	boot     string
	heard    time.Time
	groups   []*group
}

// NewVersions returns an empty table.
func NewVersions() *Versions { return &Versions{targets: map[string]*Target{}} }

// Target returns the entry of a target.
func (v *Versions) Target(id string) *Target {
	t, ok := v.targets[id]
	if !ok {
		t = &Target{}
		v.targets[id] = t
	}
	return t
}

// Observe records the versions that a target stated in an answer, and the
// identifier of its process. It reports whether the process is another one
// than before, so that what was known about the target no longer holds.
func (v *Versions) Observe(now time.Time, target, boot string, versions []uint64) (restarted bool) {
	t := v.Target(target)
	if boot != "" {
		restarted = t.boot != "" && t.boot != boot
		t.boot = boot
	}
	if len(versions) == 0 {
		if restarted {
			t.set(nil)
		}
		return restarted
	}
	t.heard = now
	if !slices.Equal(t.versions, versions) {
		t.set(slices.Clone(versions))
	}
	return restarted
}

// Forget drops the versions of a target, for example when its connection
// broke: its process may have restarted with others.
func (v *Versions) Forget(target string) {
	if t, ok := v.targets[target]; ok && t.versions != nil {
		t.set(nil)
	}
}

// Expire forgets the targets that stated nothing since a time. A target that
// is known not to serve the version in use is not asked, so that only this
// lets it be found again after it has rolled on.
func (v *Versions) Expire(since time.Time) {
	for _, t := range v.targets {
		if t.versions != nil && t.heard.Before(since) {
			t.set(nil)
		}
	}
}

// MayServe reports whether a target is believed to serve a version.
func (v *Versions) MayServe(target string, version uint64) bool {
	t, ok := v.targets[target]
	return !ok || t.MayServe(version)
}

// MayServe reports whether the target is believed to serve a version. A target
// that has not been heard from may serve any version.
func (t *Target) MayServe(version uint64) bool {
	return t.versions == nil || version == 0 || slices.Contains(t.versions, version)
}

// set replaces the versions and updates the counts of the target's groups.
func (t *Target) set(versions []uint64) {
	for _, g := range t.groups {
		g.count(-1)
	}
	t.versions = versions
	for _, g := range t.groups {
		g.count(+1)
	}
}
