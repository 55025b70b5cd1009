package daemon

import (
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// caller is on whose behalf a request was sent, as a configuration says. It is not safe for
// concurrent use.
type caller struct {
	config       *config
	service      string
	credential   tenant.Credential
	tenant       *tenant.Tenant // nil for none
	identifiedBy *settings.Tree // configuration that identified the caller last
}

func unknownKey() outcome.Outcome {
	return outcome.Refused(outcome.UnknownKey, "the request carries no key, or one that no tenant holds")
}

// KeyRefusal implements api.Services. A ticket gives no right to run anything, so it needs a
// key only if every command service needs one.
func (e *entry) KeyRefusal(service string, c tenant.Credential) (outcome.Outcome, bool) {
	tree := e.config.tree()
	if service == "" {
		for _, s := range tree.Doc.Services {
			if s.Kind == settings.KindCommand && s.Anonymous {
				return outcome.Outcome{}, false
			}
		}
	}
	if _, ok := tree.Identify(service, c); !ok {
		e.tenants.countUnknown()
		return unknownKey(), true
	}
	return outcome.Outcome{}, false
}

// identify returns the caller of a request, or false if the request must be refused.
func (e *entry) identify(tree *settings.Tree, service string, c tenant.Credential) (*caller, bool) {
	t, ok := tree.Identify(service, c)
	return &caller{config: e.config, service: service, credential: c, tenant: t, identifiedBy: tree}, ok
}

// name returns the name of the tenant, "" for none.
func (c *caller) name() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// applyPriority gives a request the priority of its tenant, which comes before that of the
// service. A request may state a lower one, but not a higher one: a tenant of the class batch
// could otherwise displace the others by a header.
func (c *caller) applyPriority(meta *api.Meta) {
	if c.tenant == nil || !c.tenant.HasPriority {
		return
	}
	priority := settings.Priority(c.tenant.Priority)
	if meta.HasPriority {
		priority = max(priority, meta.Priority)
	}
	meta.Priority, meta.HasPriority = priority, true
}

// mayStillSend reports whether the configuration in force identifies the caller as before. A
// key may be withdrawn between two sends of a request. A request that was accepted without
// tenants is not refused by the version that introduces them.
func (c *caller) mayStillSend() bool {
	latest := c.config.tree()
	if latest == c.identifiedBy || !latest.HasTenants() || !c.identifiedBy.HasTenants() {
		return true
	}
	t, ok := latest.Identify(c.service, c.credential)
	if !ok || (t == nil) != (c.tenant == nil) || t != nil && t.Name != c.tenant.Name {
		return false
	}
	c.identifiedBy = latest
	return true
}

// asOtherCaller returns the outcome of a command whose ticket is refused as invalid, "unknown"
// if there have been tenants: an earlier send of the same caller may have run while the
// configuration gave it another tenant or none.
func (e *entry) asOtherCaller(req *wire.CommandRequest, o outcome.Outcome) outcome.Outcome {
	if o.DidNotRun() && o.Reason == outcome.Invalid && (req.Tenant != "" || e.config.hadTenants.Load()) {
		return o.AsUnknown("it may have run for another tenant")
	}
	return o
}

// admitTenant takes a token for a request of a tenant with a rate limit. It returns the
// refusal and true if there is none.
func (e *entry) admitTenant(c *caller) (outcome.Outcome, bool) {
	if c.tenant == nil {
		return outcome.Outcome{}, false
	}
	o, refused := e.quotas.admit(time.Now(), c.tenant)
	e.tenants.count(c.tenant.Name, refused)
	return o, refused
}

// returnToken gives back the token of a request that has turned out not to run.
func (e *entry) returnToken(c *caller, o outcome.Outcome) {
	if c.tenant != nil && o.DidNotRun() {
		e.quotas.giveBack(c.tenant)
	}
}
