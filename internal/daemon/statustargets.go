package daemon

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/ownership"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/warmup"
)

// States of targets beside those of pkg/warmup.
const (
	targetUnused   = "not used yet"
	targetDraining = "draining" // takes no new work; some may be in progress
	targetOut      = "out"      // taken out, and nothing is in progress
)

// TargetStatus is what a host knows of a target that it owns.
type TargetStatus struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	Group   string `json:"group"`
	Rank    int    `json:"rank"` // 0 for the owner that holds the cold allowance
	// State is "not used yet", unproven, cold, warm, draining or out.
	State string `json:"state"`
	// Suspect says that the target died under a query that crashes targets.
	Suspect   bool    `json:"suspect"`
	Slots     int     `json:"slots"`      // that this host may use now
	InUse     int     `json:"in_use"`     // slots in use
	Queue     int     `json:"queue"`      // requests that wait for a slot
	ServiceMS float64 `json:"service_ms"` // estimated service time; 0 if unknown
	UsualMS   float64 `json:"usual_ms"`   // usual service time of the targets of its service
}

// QuarantineStatus is a query that is known to have crashed a target.
type QuarantineStatus struct {
	Fingerprint string   `json:"fingerprint"`
	State       string   `json:"state"`        // suspect, refused
	LeftSeconds float64  `json:"left_seconds"` // for which it is refused
	Deaths      int      `json:"deaths"`       // targets that died under it
	Targets     []string `json:"targets"`      // their identifiers
}

// ownedStatus returns the state of every target that this host owns, used or
// not, by service and name.
func (d *dispatcher) ownedStatus(tree *settings.Tree) []TargetStatus {
	used := map[string]TargetStatus{}
	for _, t := range d.status() {
		used[t.Target] = t
	}
	all := []TargetStatus{}
	tree.Targets(func(info *settings.TargetInfo) {
		rank := ownership.Rank(info.Owners, d.self.Ordinal)
		if info.Place != d.self.Place || rank < 0 {
			return
		}
		s, ok := used[info.ID]
		if !ok {
			policy := tree.Effective(info.Place, info.Service)
			s = TargetStatus{Target: info.ID, State: targetUnused, Slots: ownership.Share(usableSlots(info.Slots, policy), rank, len(info.Owners))}
		}
		s.Service, s.Group, s.Rank = info.Service, info.Group, rank
		if info.Out || !tree.PlaceInService(info.Place) || d.rules.isLeaving != nil && d.rules.isLeaving(info.ID) {
			s.State, s.Slots = targetOut, 0
			if s.InUse+s.Queue > 0 {
				s.State = targetDraining
			}
		}
		all = append(all, s)
	})
	slices.SortFunc(all, func(a, b TargetStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	return all
}

// markSuspects marks the targets that died under a query in quarantine.
func markSuspects(targets []TargetStatus, queries []QuarantineStatus) {
	for i := range targets {
		for _, q := range queries {
			targets[i].Suspect = targets[i].Suspect || slices.Contains(q.Targets, targets[i].Target)
		}
	}
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

// hasFreeSlot reports whether this host, as an owner of a target, has a slot free that
// the target's state allows.
func (d *dispatcher) hasFreeSlot(id string) bool {
	d.mu.Lock()
	t, ok := d.owned[id]
	d.mu.Unlock()
	if !ok {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freeSlots(time.Now()) > 0
}

// status returns the state of the target.
func (t *ownedTarget) status(now time.Time) TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := TargetStatus{
		Target: t.id, State: t.ramp.State().String(), Slots: t.limiter.Slots(), InUse: t.limiter.InUse(), Queue: t.limiter.Waiting(),
		ServiceMS: milliseconds(t.limiter.ServiceTime(now)), UsualMS: milliseconds(t.median.get()),
	}
	if t.ramp.Draining() {
		s.State = targetDraining
	} else if t.ramp.State() == warmup.Unproven {
		s.Slots = t.limits.slots
	}
	return s
}

// status returns the suspect and the refused queries.
func (g *quarantineGuard) status() []QuarantineStatus {
	g.mu.Lock()
	entries := g.table.Entries(time.Now())
	g.mu.Unlock()
	all := make([]QuarantineStatus, len(entries))
	for i, e := range entries {
		all[i] = QuarantineStatus{Fingerprint: fingerprintText(e.Fingerprint), State: "suspect", Deaths: len(e.Deaths)}
		for _, death := range e.Deaths {
			all[i].Targets = append(all[i].Targets, death.Target)
		}
		if e.RefusedFor > 0 {
			all[i].State, all[i].LeftSeconds = "refused", e.RefusedFor.Seconds()
		}
	}
	return all
}

// fingerprintText returns a fingerprint as traces and the status page show it.
func fingerprintText(fp quarantine.Fingerprint) string { return fmt.Sprintf("%016x", uint64(fp)) }
