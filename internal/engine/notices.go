package engine

import (
	"maps"
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
	// An entry that went and came back made another target of the same process.
	if current := e.targets[t.id]; current != nil && current.key() == t.key() {
		t = current
	}
	if r.Head.Notices.Malformed && !t.malformedNotice {
		t.malformedNotice = true
		e.cfg.Log.Warn("a target gives a notice with a value that makes no sense; it is ignored, and further ones are not logged", "target", t.id, "service", t.service)
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
	if t.ended {
		e.keepNotices(t, now) // the last answers of a target come after its entry has gone
	}
}

// UnderNotice returns the number of targets whose notices are in force, by kind.
func (e *Engine) UnderNotice() map[notice.Kind]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts, now := map[notice.Kind]int{}, time.Now()
	for _, t := range e.targets {
		for _, kind := range t.notices.InForce(now) {
			counts[kind]++
		}
	}
	return counts
}

const (
	// departedRetention is how long the notices of a target are kept that is published no
	// more. An entry that lapsed during an outage of the store, or that an older state of a
	// peer still has, comes back within that time.
	departedRetention = 10 * time.Minute
	// maxDeparted bounds the targets whose notices are kept.
	maxDeparted = 4096
)

// departedTarget is what a target that is published no more had said about itself.
type departedTarget struct {
	notices notice.Target
	since   time.Time
}

// keepNotices keeps the notices of a target that is published no more. The engine's lock
// must be held.
func (e *Engine) keepNotices(t *target, now time.Time) {
	if len(t.notices.InForce(now)) == 0 {
		return
	}
	if len(e.departed) >= maxDeparted {
		e.expireDeparted(now)
	}
	if len(e.departed) >= maxDeparted {
		e.cfg.Log.Warn("too many targets with notices have left; what this one said is forgotten", "target", t.id)
		return
	}
	e.departed[t.key()] = departedTarget{t.notices, now}
}

// expireDeparted forgets what targets had said that departed long ago. The engine's lock must
// be held.
func (e *Engine) expireDeparted(now time.Time) {
	maps.DeleteFunc(e.departed, func(_ processKey, d departedTarget) bool { return now.Sub(d.since) > departedRetention })
}

// maxReportedNotices bounds the targets of which one heartbeat tells.
const maxReportedNotices = 8

// NoticeReports returns what to tell other hosts in a heartbeat of the notices that targets
// gave this host.
func (e *Engine) NoticeReports() []notice.Report {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var reports []notice.Report
	for process, t := range e.byProcess {
		if r, ok := t.notices.Report(now); ok {
			r.Process = process
			reports = append(reports, r)
		}
	}
	reports, e.nextNotice = notice.InTurn(reports, e.nextNotice, maxReportedNotices)
	return reports
}

// ImportNotices takes what another host reported of the notices that targets gave it.
// Reports of processes that this host does not know are ignored.
func (e *Engine) ImportNotices(reports []notice.Report) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range reports {
		if t := e.byProcess[r.Process]; t != nil {
			t.notices.Hear(now, r, func() notice.Position { return e.cfg.Fleet.LimitPosition(t.id, t.place) }, e.rng)
		}
	}
}

// decide returns what the notices of a target let this host send now. The engine's lock must
// be held.
func (e *Engine) decide(t *target, now time.Time) notice.Decision {
	return t.notices.Decide(now, e.cfg.DrainBound, e.rng)
}
