package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

// maxReports is the largest number of violations of one check of tenants that are reported
// one by one.
const maxReports = 5

// keyHolding is a span of time in which the published configuration gave a key to a tenant.
type keyHolding struct {
	tenant string
	interval
}

// tenantChecks is the part of a Checker that deals with tenants.
type tenantChecks struct {
	published   bool // whether a configuration had tenants
	keys        map[string][]keyHolding
	limits      map[string][]tenantLimit // by tenant, in order of time
	storeFaults []interval
	faultsEnded time.Time       // zero if not known
	below       map[string]bool // calls within the limits of their tenants, by ID
	counts      TenantCounts
	reports     map[string]int // violations by check
}

func newTenantChecks() tenantChecks {
	return tenantChecks{keys: map[string][]keyHolding{}, limits: map[string][]tenantLimit{}, reports: map[string]int{}}
}

// PublishTenants records that a configuration with these tenants was written to the store
// between two times.
func (c *Checker) PublishTenants(before, after time.Time, tenants []platformtest.Tenant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tenants.published = true
	holders := map[string]string{}
	for _, t := range tenants {
		for _, key := range t.Keys {
			holders[key] = t.Name
		}
		c.addLimit(before, after, t)
	}
	for key, held := range c.tenants.keys {
		if last := &held[len(held)-1]; last.until.IsZero() {
			if holders[key] == last.tenant {
				delete(holders, key)
				continue
			}
			last.until = after
		}
	}
	for key, tenant := range holders {
		c.tenants.keys[key] = append(c.tenants.keys[key], keyHolding{tenant, interval{before, time.Time{}}})
	}
}

// AddStoreFault records that hosts could not reach the store in a span of time.
func (c *Checker) AddStoreFault(from, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tenants.storeFaults = append(c.tenants.storeFaults, interval{from, until})
}

// inContact reports whether a host ran and could reach the store for all of a span of time.
func (c *Checker) inContact(host string, from, until time.Time) bool {
	return !c.faultedSince(host, from, until) && !c.tenants.storeFaulted(from, until)
}

// storeFaulted reports whether a fault of the store overlaps a span of time.
func (t *tenantChecks) storeFaulted(from, until time.Time) bool {
	return slices.ContainsFunc(t.storeFaults, func(f interval) bool { return f.from.Before(until) && f.until.After(from) })
}

// failTenants reports a violation of a check of tenants, up to maxReports times.
func (c *Checker) failTenants(check, format string, args ...any) {
	c.tenants.reports[check]++
	switch n := c.tenants.reports[check]; {
	case n <= maxReports:
		c.fail(format, args...)
	case n == maxReports+1:
		c.fail("%s: more violations, not listed", check)
	}
}

// anonymous reports whether the call may come without a key.
func (c *Call) anonymous() bool { return strings.HasPrefix(c.URI, fetchPrefix) }

// identities returns the tenants under which a host may run a call at a time, the empty name
// for a call without a tenant.
func (c *Checker) identities(call *Call, at time.Time) map[string]bool {
	since := at.Add(-configDeadline)
	if !c.inContact(call.Host, since, at) {
		since = time.Time{}
	}
	out := map[string]bool{}
	from := since // the key is held without a gap from since to here
	for _, h := range c.tenants.keys[call.Key] {
		if h.from.After(at) || !h.until.IsZero() && h.until.Before(since) {
			continue
		}
		out[h.tenant] = true
		if !h.from.After(from) {
			from = at
			if !h.until.IsZero() {
				from = h.until
			}
		}
	}
	if call.anonymous() && from.Before(at) {
		out[""] = true
	}
	return out
}

// heldThroughout returns the tenant that held the key of a call from configDeadline before it
// was sent until its reply, or false if there is none.
func (c *Checker) heldThroughout(call *Call) (string, bool) {
	for _, h := range c.tenants.keys[call.Key] {
		if h.from.Before(call.Sent.Add(-configDeadline)) && (h.until.IsZero() || h.until.After(repliedAt(call))) {
			return h.tenant, true
		}
	}
	return "", false
}

// CheckKeys checks the requests that reached targets, executed or not, and the replies to
// callers against the keys of tenants, and returns all violations found so far.
func (c *Checker) CheckKeys(received []platformtest.Run) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.tenants.published {
		return c.violations
	}
	reached := map[string]bool{}
	for _, r := range received {
		call := c.calls[r.ID]
		if call == nil {
			continue // reported by Finish
		}
		reached[r.ID] = true
		if r.Authorization != "" {
			c.failTenants("key at a target", "call %s reached target %s with an Authorization header", r.ID, r.Target)
		}
		if allowed := c.identities(call, r.At); !allowed[r.Tenant] {
			c.failTenants("tenant of a request", "call %s with the key %q reached target %s through %s %v after it was sent for tenant %q; %s",
				r.ID, call.Key, r.Target, call.Host, r.At.Sub(call.Sent).Round(time.Millisecond), r.Tenant, c.describeKey(call.Key, r.At))
		}
	}
	for id, call := range c.calls {
		c.checkRefusal(id, call, reached[id])
	}
	return c.violations
}

// describeKey returns the history of a key as a part of a sentence.
func (c *Checker) describeKey(key string, at time.Time) string {
	held := c.tenants.keys[key]
	if len(held) == 0 {
		return "no configuration ever held the key"
	}
	last := held[len(held)-1]
	if last.until.IsZero() {
		return last.tenant + " holds it for " + at.Sub(last.from).Round(time.Millisecond).String()
	}
	return last.tenant + " lost it " + at.Sub(last.until).Round(time.Millisecond).String() + " before"
}

// checkRefusal checks the reply to a call against the key that the call carries.
func (c *Checker) checkRefusal(id string, call *Call, reached bool) {
	r := &call.Reply
	if r.Status == http.StatusUnauthorized {
		if reached {
			c.failTenants("401 that ran", "call %s reached a target, but was answered with status 401", id)
		}
		if r.Challenge != "Bearer" {
			c.failTenants("challenge", "call %s was answered with status 401 and the challenge %q", id, r.Challenge)
		}
		_, held := c.heldThroughout(call)
		if (held || call.anonymous()) && c.inContact(call.Host, call.Sent.Add(-configDeadline), repliedAt(call)) {
			c.failTenants("valid key refused", "call %s with the key %q was answered with status 401 by %s; %s", id, call.Key, call.Host, c.describeKey(call.Key, call.Sent))
		}
		return
	}
	if r.Status == http.StatusTooManyRequests && r.RetryAfter <= 0 {
		c.failTenants("retry delay", "call %s was answered with status 429 without a retry delay", id)
	}
	if r.Status == 0 || call.anonymous() || r.NotRun() && r.Status != http.StatusTooManyRequests {
		return
	}
	if len(c.identities(call, repliedAt(call))) == 0 && len(c.identities(call, call.Sent)) == 0 {
		c.failTenants("invalid key not refused", "call %s with the key %q was answered with status %d by %s; %s", id, call.Key, r.Status, call.Host, c.describeKey(call.Key, call.Sent))
	}
}
