package engine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/balance"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/notice"
)

// TargetState states whether a target may get requests of this host now or the reason
// why not.
type TargetState string

// States of targets.
const (
	TargetUsable    TargetState = "usable"
	TargetDraining  TargetState = "draining"  // its entry states that it is draining
	TargetEvacuated TargetState = "evacuated" // its place is evacuated
	TargetMisplaced TargetState = "misplaced" // another target answers at its address
	TargetDown      TargetState = "down"      // unreachable; no requests until the backoff ends
	TargetCold      TargetState = "cold"      // warming up, and its rate limit leaves no request for this host now
	TargetLeaving   TargetState = "leaving"   // it says that it leaves; requests go to others
	TargetBacksOff  TargetState = "backs off" // it says that it wants no request of this host for a time
	TargetAvoided   TargetState = "avoided"   // it told other hosts that it leaves, or turned them away; requests go to others first
	TargetLimited   TargetState = "limited"   // it names a limit, and this host's share of it leaves no request now
	TargetFull      TargetState = "full"      // it takes no more requests of this host now, or all connections to it are in use
)

// TargetReport is this host's state of a target.
type TargetReport struct {
	Target  string      `json:"target"`
	Service string      `json:"service"`
	Place   string      `json:"place"`
	State   TargetState `json:"state"`
	// Retained is set if the target's entry has been missing in the store since an outage
	// of the store.
	Retained    bool    `json:"held,omitempty"`
	Slowness    float64 `json:"slowness"` // service time relative to the expected one
	Failures    float64 `json:"failures"`
	Refusals    float64 `json:"refusals"`
	Outstanding int     `json:"outstanding"`
	Connections int     `json:"connections"`
	Idle        int     `json:"idle"`
	Limit       int     `json:"limit"` // on this host's connections to the target
	// NamedLimit is the number of requests a second that the target takes from all hosts
	// together, 0 if it names none, and HostRate the part of it that this host uses.
	NamedLimit float64 `json:"named_limit_per_s,omitempty"`
	HostRate   float64 `json:"host_rate_per_s,omitempty"`
	// AwayMS is for how much longer the target wants no request of this host, in milliseconds.
	AwayMS int64 `json:"away_ms,omitempty"`
	// Heard are the kinds of notices that the target gave other hosts only.
	Heard []notice.Kind `json:"heard,omitempty"`
}

// BudgetReport is the rest of the budget of extra sends to a service.
type BudgetReport struct {
	Service string  `json:"service"`
	Left    float64 `json:"left"` // extra sends that this host may make now
}

// Targets reports on all targets, sorted by service and name.
func (e *Engine) Targets() []TargetReport {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.view.Load()
	reports := make([]TargetReport, 0, len(e.targets))
	for _, t := range e.targets {
		reports = append(reports, e.targetReport(t, v, now))
	}
	slices.SortFunc(reports, func(a, b TargetReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	return reports
}

// Budgets reports the budget of extra sends of each service in use, sorted by service.
func (e *Engine) Budgets() []BudgetReport {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var reports []BudgetReport
	for service, w := range e.budgets {
		reports = append(reports, BudgetReport{Service: service, Left: w.Left(now, e.cfg.RetryRatio, e.slack())})
	}
	slices.SortFunc(reports, func(a, b BudgetReport) int { return cmp.Compare(a.Service, b.Service) })
	return reports
}

// targetReport reports on a target. The engine's lock must be held.
func (e *Engine) targetReport(t *target, v *catalog.View, now time.Time) TargetReport {
	stats := t.state.Stats(now)
	open, idle, _ := t.pool.Stats()
	return TargetReport{
		Target: t.id, Service: t.service, Place: t.place, State: e.targetState(t, v, now), Retained: v.Retained[t.id],
		Slowness: stats.Slowness, Failures: stats.FailureRate, Refusals: stats.RefusalRate, Outstanding: stats.Outstanding,
		Connections: open, Idle: idle, Limit: t.pool.Limit(), NamedLimit: t.notices.Limit(), HostRate: t.notices.HostRate(),
		AwayMS: t.notices.AwayLeft(now).Milliseconds(), Heard: t.notices.Heard(now),
	}
}

// targetState returns the first reason why a target gets no requests now, in the order of
// the cases, or TargetUsable. The engine's lock must be held.
func (e *Engine) targetState(t *target, v *catalog.View, now time.Time) TargetState {
	switch {
	case t.entry.Draining:
		return TargetDraining
	case v.Evacuated[t.place]:
		return TargetEvacuated
	case t.wrongTarget:
		return TargetMisplaced
	case t.state.Down(now):
		return TargetDown
	case !e.coldSendAllowed(t, now):
		return TargetCold
	case t.notices.IsLeaving():
		return TargetLeaving
	case t.notices.BacksOff() && !t.notices.Takes(now):
		return TargetBacksOff
	case t.notices.Avoided(now):
		return TargetAvoided
	case !t.notices.Takes(now):
		return TargetLimited
	case t.state.Full(now), !t.pool.HasCapacity():
		return TargetFull
	default:
		return TargetUsable
	}
}

// Explanation describes where a request would be sent now, and by which state.
type Explanation struct {
	Config         uint64            `json:"config"`
	Era            uint64            `json:"era"`
	Revision       uint64            `json:"revision"`
	ConfirmedBy    string            `json:"confirmed_by"` // "store", or the peer that passed the confirmation on
	ConfirmedAgeMS int64             `json:"confirmed_ms_ago"`
	Route          string            `json:"route"`
	Prefix         string            `json:"prefix"`
	Attempts       int               `json:"attempts"`
	Repeatable     bool              `json:"repeatable"`
	Services       []ServiceForecast `json:"services"`
}

// ServiceForecast describes the targets of a service and which of them would get a
// request now.
type ServiceForecast struct {
	Service string         `json:"service"`
	Weight  float64        `json:"weight,omitempty"` // of a split route
	Choice  string         `json:"choice"`           // empty if no target is usable
	Targets []TargetReport `json:"targets"`
}

// Explain returns where a request with a host name and a path would be sent. It returns
// false if there is no configuration, or if the configuration has no route for the
// request; the Explanation then holds only the state, with 0 for what is not known.
func (e *Engine) Explain(host, path string) (Explanation, bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.view.Load()
	b := e.basisOf(v)
	if v == nil || v.Config == nil {
		return Explanation{}, false
	}
	x := Explanation{Config: v.Config.Version, Era: v.Era, Revision: v.Revision, ConfirmedBy: b.ground.ConfirmedBy, ConfirmedAgeMS: confirmedAge(&b.ground).Milliseconds()}
	route := v.Config.Route(host, path)
	if route == nil {
		return x, false
	}
	x.Route, x.Prefix, x.Attempts, x.Repeatable = route.Name, route.Prefix, route.Attempts, route.Repeatable
	for i, service := range route.Services() {
		f := e.forecast(route, service, v, now)
		if len(route.Split) > 0 {
			f.Weight = route.Split[i].Weight
		}
		x.Services = append(x.Services, f)
	}
	return x, true
}

// forecast describes the targets of a service and which would get a request now. The engine's
// lock must be held.
func (e *Engine) forecast(route *catalog.Route, service string, v *catalog.View, now time.Time) ServiceForecast {
	f := ServiceForecast{Service: service}
	// A separate source, so that a forecast does not change the random choices of
	// requests.
	rng := rand.New(rand.NewPCG(1, 1))
	var candidates []balance.Candidate
	var names []string
	for _, t := range e.targets {
		if t.service != service {
			continue
		}
		r := e.targetReport(t, v, now)
		f.Targets = append(f.Targets, r)
		if r.State != TargetUsable && r.State != TargetLeaving && r.State != TargetAvoided {
			continue
		}
		notices := t.notices // a copy, because Decide may draw another time
		if decision := notices.Decide(now, e.cfg.DrainBound, rng); decision.Allowed {
			candidate, _ := e.candidate(t)
			candidate.Preference = int(decision.Preference)
			candidates = append(candidates, candidate)
			names = append(names, t.id)
		}
	}
	slices.SortFunc(f.Targets, func(a, b TargetReport) int { return cmp.Compare(a.Target, b.Target) })
	expected := initialServiceTime(route)
	if s, ok := e.routes[route.Name]; ok {
		expected = s.expected
	}
	_, here := e.cfg.Fleet.Hosts()
	if i := balance.Choose(now, candidates, expected, here, rng); i >= 0 {
		f.Choice = names[i]
	}
	return f
}
