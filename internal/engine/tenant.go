package engine

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quota"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// Quota limits the rates of tenants' requests. Its methods must not block and must be safe
// for concurrent use.
type Quota interface {
	// Admit decides whether a request of a tenant may run now, and otherwise returns when its
	// caller may send it again.
	Admit(now time.Time, t *tenant.Tenant) (d quota.Decision, retryAfter time.Duration)
	// GiveBack undoes Admit for a request that did not run.
	GiveBack(now time.Time, t *tenant.Tenant)
}

// identify sets the tenant of a request. It returns false if the request must be refused
// because of its key. From then on the request no longer has the caller's own headers, unless
// the configuration has no tenants.
func (r *Request) identify(config *catalog.Config, route *catalog.Route) (*tenant.Tenant, bool) {
	if !config.HasTenants {
		return nil, true
	}
	r.CallerAuth = nil
	t, ok := config.Identify(route, r.Credential)
	if t != nil {
		r.Tenant = t.Name
	}
	return t, ok
}

// mayStillSend reports whether the configuration in force identifies the request as the plan
// did. A key may be withdrawn while the request waits for a target or between two sends.
func (x *execution) mayStillSend() bool {
	x.lastView = x.e.view.Load()
	latest := x.lastView.Config
	if latest == x.identifiedBy || latest == nil {
		return true
	}
	if latest.HasTenants != x.view.Config.HasTenants {
		// Its headers for targets are those of the other kind of configuration.
		return !latest.HasTenants
	}
	t, ok := latest.Identify(x.route, x.r.Credential)
	name := ""
	if t != nil {
		name = t.Name
	}
	if !ok || name != x.r.Tenant {
		return false
	}
	x.identifiedBy = latest
	return true
}

// admitTenant returns the refusal of a request that exceeds the rate limit of its tenant, and
// false if it may run.
func (e *Engine) admitTenant(now time.Time, t *tenant.Tenant) (outcome.Outcome, bool) {
	if t == nil || t.Rate <= 0 || e.cfg.Quota == nil {
		return outcome.Outcome{}, false
	}
	decision, retryAfter := e.cfg.Quota.Admit(now, t)
	var o outcome.Outcome
	switch decision {
	case quota.Admitted:
		return outcome.Outcome{}, false
	case quota.OverLimit:
		o = outcome.Refused(OverQuota, "tenant %s exceeds %g requests per second", t.Name, t.Rate)
	default:
		o = outcome.Refused(NoToken, "this host has no token for a request of tenant %s yet", t.Name)
	}
	o.RetryAfter = retryAfter
	return o, true
}

// returnQuota gives back what a request of a tenant took that has turned out not to run.
func (e *Engine) returnQuota(t *tenant.Tenant, o *outcome.Outcome) {
	if t != nil && t.Rate > 0 && e.cfg.Quota != nil && o.Kind == outcome.NotRun {
		e.cfg.Quota.GiveBack(time.Now(), t)
	}
}
