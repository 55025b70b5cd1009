package engine

import "time"

const (
	// coldOwners is the number of hosts that may send to a cold target.
	coldOwners = 2
	// coldMargin keeps the sum within a target's rate while hosts that see different
	// fleets believe in one owner more.
	coldMargin = 1.5
)

// coldUntil returns when a target stops being cold, by its entry and its answers.
func (t *target) coldUntil() time.Time {
	until := t.coldSaid
	if t.entry.Cold > 0 {
		if byEntry := t.entry.SeenAt.Add(t.entry.Cold); byEntry.After(until) {
			until = byEntry
		}
	}
	return until
}

// coldAllows reports whether a target may get a request now as far as its cold
// start is concerned. A cold target fails under more than its service's rate, so a
// few hosts of its place share that rate by a rule which each evaluates alone; no
// host sends more because it hears of no other. The engine's lock must be held.
func (e *Engine) coldAllows(t *target, now time.Time) bool {
	v := e.view.Load()
	if v == nil || v.Config == nil {
		return true
	}
	rate := v.Config.Services[t.service].WarmupRate
	if rate <= 0 || !now.Before(t.coldUntil()) {
		return true
	}
	interval := time.Duration(coldOwners * coldMargin / rate * float64(time.Second))
	return now.Sub(t.coldSent) >= interval && e.cfg.Fleet.Owns(t.id, t.place, coldOwners)
}
