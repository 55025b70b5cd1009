package engine

import "time"

const (
	// coldOwners is the number of hosts that may send to a cold target, one that is
	// still warming up.
	coldOwners = 2
	// coldMargin keeps the total within a target's rate while hosts with different
	// membership views select one owner more than coldOwners.
	coldMargin = 1.5
)

// coldUntil returns the end of a target's warm-up: the later of the times that its
// entry and its answers report.
func (t *target) coldUntil() time.Time {
	until := t.notices.ColdUntil()
	if t.entry.Cold > 0 {
		if byEntry := t.entry.SeenAt.Add(t.entry.Cold); byEntry.After(until) {
			until = byEntry
		}
	}
	return until
}

// coldSendAllowed reports whether the warm-up rate limit lets a target get a request
// now. It returns true for a warm target and for a service without a warm-up rate. A
// cold target fails above the warm-up rate of its service, so coldOwners hosts of its
// place each use a fixed fraction of that rate, without communication; a host that is
// the only owner does not send more. The engine's lock must be held.
func (e *Engine) coldSendAllowed(t *target, now time.Time) bool {
	v := e.view.Load()
	if v == nil || v.Config == nil {
		return true
	}
	rate := v.Config.Services[t.service].WarmupRate
	if rate <= 0 || !now.Before(t.coldUntil()) {
		return true
	}
	interval := time.Duration(coldOwners * coldMargin / rate * float64(time.Second))
	return now.Sub(t.lastColdSend) >= interval && e.cfg.Fleet.Owns(t.id, t.place, coldOwners)
}
