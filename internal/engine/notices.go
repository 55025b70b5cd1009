package engine

import (
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/pkg/notice"
)

// observeNotices records what an answer says about its target. The engine's lock must be
// held.
func (e *Engine) observeNotices(t *target, r *backend.Result, now time.Time) {
	if r.Head.ID == "" || r.Kind == backend.WrongTarget {
		return // no answer of this target
	}
	position := func() notice.Position { return e.cfg.Fleet.LimitPosition(t.id, t.place) }
	for _, c := range t.notices.Observe(now, now.Add(-r.Duration), r.Head.Notices, position, e.rng) {
		e.cfg.Observer.Noticed(t.service, c)
		message := "a target gives a notice"
		if c.Value == 0 {
			message = "a target gives a notice no more"
		}
		e.cfg.Log.Info(message, "kind", string(c.Kind), "target", t.id, "service", t.service, "value", c.Value, "before", c.Before, "host_rate", t.notices.HostRate())
	}
}

// UnderNotice returns the number of targets whose notices are in force, by kind.
func (e *Engine) UnderNotice() map[notice.Kind]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := map[notice.Kind]int{}
	for _, t := range e.targets {
		if t.notices.Limit() > 0 {
			counts[notice.Limit]++
		}
	}
	return counts
}
