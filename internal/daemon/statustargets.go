package daemon

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/warmup"
)

// TargetStatus is what a host knows of a target that it owns.
type TargetStatus struct {
	Target    string  `json:"target"`
	State     string  `json:"state"`      // unproven, cold, warm, draining
	Slots     int     `json:"slots"`      // that this host may use now
	InUse     int     `json:"in_use"`     // slots in use
	Queue     int     `json:"queue"`      // requests that wait for a slot
	ServiceMS float64 `json:"service_ms"` // estimated service time; 0 if unknown
	UsualMS   float64 `json:"usual_ms"`   // usual service time of the targets of its service
}

// QuarantineStatus is a query that is known to have crashed a target.
type QuarantineStatus struct {
	Fingerprint string  `json:"fingerprint"`
	State       string  `json:"state"`        // suspect, refused
	LeftSeconds float64 `json:"left_seconds"` // for which it is refused
	Deaths      int     `json:"deaths"`       // targets that died under it
}

// status returns the state of every target that this host has used, by name.
func (d *dispatcher) status() []TargetStatus {
	d.mu.Lock()
	owned := make([]*ownedTarget, 0, len(d.owned))
	for _, t := range d.owned {
		owned = append(owned, t)
	}
	d.mu.Unlock()
	all := make([]TargetStatus, 0, len(owned))
	for _, t := range owned {
		all = append(all, t.status(time.Now()))
	}
	slices.SortFunc(all, func(a, b TargetStatus) int { return cmp.Compare(a.Target, b.Target) })
	return all
}

// room reports whether this host, as an owner of a target, has a slot free that
// the target's state allows.
func (d *dispatcher) room(id string) bool {
	d.mu.Lock()
	t, ok := d.owned[id]
	d.mu.Unlock()
	if !ok {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	return t.closedFor(now).Reason == outcome.None &&
		t.limiter.InUse()+t.limiter.Waiting() < t.ramp.Allowed(now, t.terms.mayUseCold)
}

// status returns the state of the target.
func (t *ownedTarget) status(now time.Time) TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := TargetStatus{
		Target: t.id, State: t.ramp.State().String(), Slots: t.limiter.Slots(), InUse: t.limiter.InUse(), Queue: t.limiter.Waiting(),
		ServiceMS: milliseconds(t.limiter.Service(now)), UsualMS: milliseconds(t.usual.get()),
	}
	if t.ramp.Draining() {
		s.State = "draining"
	} else if t.ramp.State() == warmup.Unproven {
		s.Slots = t.terms.slots
	}
	return s
}

// status returns the suspect and the refused queries.
func (g *guard) status() []QuarantineStatus {
	g.mu.Lock()
	entries := g.table.Entries(time.Now())
	g.mu.Unlock()
	all := make([]QuarantineStatus, len(entries))
	for i, e := range entries {
		all[i] = QuarantineStatus{Fingerprint: fingerprintText(e.Fingerprint), State: "suspect", Deaths: len(e.Deaths)}
		if e.Proven > 0 {
			all[i].State, all[i].LeftSeconds = "refused", e.Proven.Seconds()
		}
	}
	return all
}

// fingerprintText returns a fingerprint as traces and the status page show it.
func fingerprintText(fp quarantine.Fingerprint) string { return fmt.Sprintf("%016x", uint64(fp)) }
