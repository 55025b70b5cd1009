package edge

import (
	"reflect"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/edge/site"
)

// Reload applies changed seeds, a changed ratio and slack of the budget of extra sends, changed
// bounds of the rate limits of tenants, and a changed grace period for a later shutdown while
// the host serves. Changes of other settings
// take effect at the next start; Reload logs a warning for them, except for FirstStart.
func (h *Host) Reload(s site.Settings) {
	h.reloadMu.Lock()
	defer h.reloadMu.Unlock()
	old := h.applied
	applied := old
	applied.Seeds, applied.RetryRatio, applied.RetrySlack, applied.GracePeriod = s.Seeds, s.RetryRatio, s.RetrySlack, s.GracePeriod
	applied.QuotaWindow, applied.QuotaOvershoot, applied.QuotaSlack = s.QuotaWindow, s.QuotaOvershoot, s.QuotaSlack
	if !slices.Equal(old.Seeds, s.Seeds) {
		h.gossip.SetSeeds(s.Seeds)
	}
	h.engine.SetBudget(s.RetryRatio, s.RetrySlack)
	h.quotas.setBounds(&s)
	h.applied = applied
	if needsRestart(applied, s) {
		h.opts.Log.Warn("settings reloaded; some changes need a restart of the host", "seeds", s.Seeds)
		return
	}
	h.opts.Log.Info("settings reloaded", "seeds", s.Seeds, "retry_ratio", s.RetryRatio, "retry_slack", s.RetrySlack, "grace", s.GracePeriod.String())
}

// gracePeriod returns the time between the signal to stop and the kill, in the settings in
// force.
func (h *Host) gracePeriod() time.Duration {
	h.reloadMu.Lock()
	defer h.reloadMu.Unlock()
	return h.applied.GracePeriod
}

// needsRestart reports whether the settings of a reload differ from the applied ones
// in more than seeds and FirstStart, which matters only at a start.
func needsRestart(applied, s site.Settings) bool {
	applied.Seeds, s.Seeds = nil, nil
	applied.FirstStart, s.FirstStart = false, false
	return !reflect.DeepEqual(applied, s)
}
