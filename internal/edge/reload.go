package edge

import (
	"reflect"
	"slices"

	"github.com/lacewingyard/lacewingyard/internal/edge/site"
)

// Reload puts new settings in force while the host serves: seeds and the bounds of
// repeats. Addresses, names and limits of the process hold until the next start;
// a change of those is only logged.
func (h *Host) Reload(s site.Settings) {
	h.reloading.Lock()
	defer h.reloading.Unlock()
	old := h.applied
	applied := old
	applied.Seeds, applied.RetryRatio, applied.RetrySlack = s.Seeds, s.RetryRatio, s.RetrySlack
	if !slices.Equal(old.Seeds, s.Seeds) {
		h.gossip.SetSeeds(s.Seeds)
	}
	h.engine.SetBudget(s.RetryRatio, s.RetrySlack)
	h.applied = applied
	if needsRestart(applied, s) {
		h.o.Log.Warn("settings reloaded; some changes need a restart of the host", "seeds", s.Seeds)
		return
	}
	h.o.Log.Info("settings reloaded", "seeds", s.Seeds, "retry_ratio", s.RetryRatio, "retry_slack", s.RetrySlack)
}

// needsRestart reports whether settings differ in more than what was applied.
func needsRestart(applied, s site.Settings) bool {
	applied.Seeds, s.Seeds = nil, nil
	applied.FirstStart, s.FirstStart = false, false
	return !reflect.DeepEqual(applied, s)
}
