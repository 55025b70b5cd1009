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

// States of targets in addition to those of pkg/warmup.
const (
	targetUnused   = "not used yet"
	targetDraining = "draining" // accepts no new work; requests may be in progress
	targetOut      = "out"      // out of service or leaving, with no request in progress
)

// TargetStatus is the state of a target that the answering host owns.
type TargetStatus struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	Group   string `json:"group"`
	Rank    int    `json:"rank"` // 0 for the owner that holds the cold allowance
	// State is "not used yet", unproven, cold, warm, draining or out.
	State string `json:"state"`
	// Suspect reports that the target crashed while it ran a query that is in
	// quarantine.
	Suspect   bool    `json:"suspect"`
	Slots     int     `json:"slots"`      // slots that this host may use now
	InUse     int     `json:"in_use"`     // slots that this host uses
	Queue     int     `json:"queue"`      // requests that wait for a slot on this host
	ServiceMS float64 `json:"service_ms"` // estimated service time in milliseconds; 0 if unknown
	UsualMS   float64 `json:"usual_ms"`   // median service time of the warm targets of its service, in milliseconds; 0 if unknown
}

// QuarantineStatus is a query that has crashed at least one target.
type QuarantineStatus struct {
	Fingerprint string   `json:"fingerprint"`
	State       string   `json:"state"`        // suspect or refused
	LeftSeconds float64  `json:"left_seconds"` // time for which the query is still refused; 0 for a suspect
	Deaths      int      `json:"deaths"`       // number of targets that crashed while they ran the query
	Targets     []string `json:"targets"`      // identifiers of these targets
}

// ownedStatus returns the state of every target that this host owns, whether or not
// it has used the target, sorted by service and name.
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

// markSuspects marks the targets that crashed while they ran a query in quarantine.
func markSuspects(targets []TargetStatus, queries []QuarantineStatus) {
	for i := range targets {
		for _, q := range queries {
			targets[i].Suspect = targets[i].Suspect || slices.Contains(q.Targets, targets[i].Target)
		}
	}
}

// status returns the state of every target that this host has used, sorted by name.
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

// hasFreeSlot reports whether this host has a free slot on a target in the target's
// present state. It returns false for a target that this host has not used since it
// started, even if the host owns the target.
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

// status returns the queries in quarantine: suspect and refused ones.
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

// fingerprintText formats a fingerprint for traces and the status page.
func fingerprintText(fp quarantine.Fingerprint) string { return fmt.Sprintf("%016x", uint64(fp)) }
