package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

const (
	// quotaWindow, quotaOvershoot and quotaSlack are the bounds in the settings of hosts: in any
	// quotaWindow, at most (rate × window + burst) × (1 + quotaOvershoot) + quotaSlack requests
	// of a tenant run.
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.25
	quotaSlack     = 20
	// maxLost is the share of requests below the limit of a tenant that may be refused in calm
	// times, and minCounted the number of such requests from which it is checked.
	maxLost    = 0.02
	minCounted = 100
	// calmMargin is how long after the end of a fault or a stop, and of disturbanceMargin, hosts
	// may refuse requests below a limit: a granting host that has taken over grants less for
	// one window.
	calmMargin = quotaWindow
)

// tenantLimit is the limit of a tenant since a configuration was written between two times.
type tenantLimit struct {
	before, after time.Time
	rate, burst   float64
}

// allowed returns the number of requests that may run in a quotaWindow, false if there is no
// limit.
func (l tenantLimit) allowed() (float64, bool) {
	return (l.rate*quotaWindow.Seconds()+l.burst)*(1+quotaOvershoot) + quotaSlack, l.rate > 0
}

// addLimit records the limit of a tenant if it is another one than before.
func (c *Checker) addLimit(before, after time.Time, t platformtest.Tenant) {
	limits := c.tenants.limits[t.Name]
	if n := len(limits); n == 0 || limits[n-1].rate != t.Rate || limits[n-1].burst != t.Burst {
		c.tenants.limits[t.Name] = append(limits, tenantLimit{before, after, t.Rate, t.Burst})
	}
}

// inForce returns when a configuration that was written at a time is in force at all hosts:
// configDeadline after the last fault that could keep a host from it.
func (c *Checker) inForce(written time.Time) time.Time {
	latest := written.Add(configDeadline)
	for host := range c.hostFaults {
		at := written.Add(configDeadline)
		for !c.inContact(host, at.Add(-configDeadline), at) {
			at = c.endOfFault(host, at.Add(-configDeadline), at).Add(configDeadline)
		}
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// endOfFault returns the end of the last fault of a host, or of the store, in a span of time.
func (c *Checker) endOfFault(host string, from, until time.Time) time.Time {
	end := from
	for _, f := range slices.Concat(c.hostFaults[host], c.tenants.storeFaults) {
		if f.from.Before(until) && f.until.After(end) {
			end = f.until
		}
	}
	return end
}

// CheckCaps checks the requests that targets ran against the limits of tenants, and the
// refusals of requests below them, and returns all violations found so far.
func (c *Checker) CheckCaps(runs []platformtest.Run) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := map[string]platformtest.Run{} // by ID; a request counts once, however often it is sent
	for _, r := range runs {
		if known, ok := first[r.ID]; !ok || r.At.Before(known.At) {
			first[r.ID] = r
		}
	}
	byTenant := map[string][]time.Time{}
	for _, r := range first {
		byTenant[r.Tenant] = append(byTenant[r.Tenant], r.At)
	}
	for tenant, limits := range c.tenants.limits {
		c.checkCap(tenant, limits, byTenant[tenant])
	}
	c.checkLosses()
	return c.violations
}

// checkCap checks the requests of a tenant, given by the times at which they ran first, in each
// window that begins with one of them.
func (c *Checker) checkCap(tenant string, limits []tenantLimit, times []time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	// binds has, for each limit, when the next one binds.
	binds := make([]time.Time, len(limits))
	for i := range limits[:len(limits)-1] {
		binds[i] = c.inForce(limits[i+1].after).Add(quotaWindow)
	}
	for i, from := range times {
		count, _ := slices.BinarySearchFunc(times[i:], from.Add(quotaWindow), time.Time.Compare)
		most, limited := 0.0, true
		for k, l := range limits {
			if l.before.After(from.Add(quotaWindow)) || !binds[k].IsZero() && !binds[k].After(from) {
				continue
			}
			allowed, has := l.allowed()
			most, limited = max(most, allowed), limited && has
		}
		if limited {
			c.tenants.counts.CapUse = max(c.tenants.counts.CapUse, float64(count)/most)
		}
		if limited && float64(count) > most {
			c.failTenants("cap", "%d requests of tenant %s ran in %v from %s on, more than the %.0f that its limit allows",
				count, tenant, quotaWindow, from.Format("15:04:05.000"), most)
			return
		}
	}
}

// quotaRefusal reports whether a call was refused because of the limit of its tenant, or because
// the host did not know whether the limit allowed it.
func quotaRefusal(r *platformtest.Reply) bool {
	return r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable && bytes.Contains(r.Body, []byte("has no token"))
}

// calm reports whether no fault, and no stop of a host, could make hosts refuse requests in a
// span of time.
func (c *Checker) calm(from, until time.Time) bool {
	from = from.Add(-calmMargin)
	for host := range c.hostFaults {
		if c.faultedSince(host, from.Add(-disturbanceMargin), until) {
			return false
		}
	}
	if ended := c.tenants.faultsEnded; !ended.IsZero() && from.After(ended.Add(disturbanceMargin)) {
		return true // disturbances are recorded for the longest time that their faults may take
	}
	return !c.disturbed(from, until)
}

// EndFaults records that no fault lasts beyond a time, nor begins after it.
func (c *Checker) EndFaults(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tenants.faultsEnded = at
}

// checkLosses reports tenants of whose requests below the limit too many were refused. These
// are the requests that find a token in a bucket that is never empty in quotaWindow before.
func (c *Checker) checkLosses() {
	c.tenants.below = map[string]bool{}
	byTenant := map[string][]*Call{}
	for _, call := range c.calls {
		for _, h := range c.tenants.keys[call.Key] {
			if h.from.Before(repliedAt(call)) && (h.until.IsZero() || h.until.Add(configDeadline).After(call.Sent)) {
				byTenant[h.tenant] = append(byTenant[h.tenant], call)
			}
		}
	}
	for tenant, calls := range byTenant {
		slices.SortFunc(calls, func(a, b *Call) int { return a.Sent.Compare(b.Sent) })
		counted, refused := 0, 0 // in calm times
		for _, call := range c.belowLimit(tenant, calls) {
			c.tenants.below[call.ID] = true
			if holder, ok := c.heldThroughout(call); !ok || holder != tenant || call.Reply.Status == 0 || !c.calm(call.Sent, repliedAt(call)) {
				continue
			}
			counted++
			if quotaRefusal(&call.Reply) {
				refused++
			}
		}
		c.tenants.counts.Below += counted
		c.tenants.counts.BelowRefused += refused
		if counted >= minCounted && float64(refused) > maxLost*float64(counted) {
			c.failTenants("losses", "%d of %d requests of tenant %s were refused below its limit in calm times", refused, counted, tenant)
		}
	}
}

// belowLimit returns the calls of a tenant, which must be in order of time, that are below its
// limit. After a change of the limit, calls count from one window after it is in force.
func (c *Checker) belowLimit(tenant string, calls []*Call) []*Call {
	limits := c.tenants.limits[tenant]
	var below []*Call
	var tokens float64
	var filled, over time.Time
	next := 0
	for _, call := range calls {
		for next < len(limits) && !limits[next].before.After(call.Sent) {
			if next > 0 {
				over = c.inForce(limits[next].after)
			}
			tokens, filled = limits[next].burst, call.Sent
			next++
		}
		if next == 0 || limits[next-1].rate <= 0 {
			continue
		}
		l := limits[next-1]
		tokens, filled = min(l.burst, tokens+l.rate*call.Sent.Sub(filled).Seconds()), call.Sent
		if tokens < 1 {
			over = call.Sent
			continue
		}
		tokens--
		if call.Sent.Sub(over) > quotaWindow {
			below = append(below, call)
		}
	}
	return below
}

// TenantCounts counts what the checks of tenants had to judge.
type TenantCounts struct {
	Below, BelowRefused int     // requests below the limits of tenants in calm times, and the refused ones of these
	CapUse              float64 // most requests in a window, as a fraction of what the limit allows
	OverLimit           int     // other requests that were refused because of a limit
	UnknownKey          int     // requests answered with status 401
	Versions            int     // spans of time in which a tenant held a key, or had a limit
}

// CountTenants returns the counts. It must be called after CheckCaps.
func (c *Checker) CountTenants() TenantCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.tenants.counts
	for _, held := range c.tenants.keys {
		counts.Versions += len(held)
	}
	for _, limits := range c.tenants.limits {
		counts.Versions += len(limits)
	}
	for _, call := range c.calls {
		switch {
		case call.Reply.Status == http.StatusUnauthorized:
			counts.UnknownKey++
		case quotaRefusal(&call.Reply):
			counts.OverLimit++
		}
	}
	counts.OverLimit -= counts.BelowRefused
	return counts
}

// String returns the counts as a part of a sentence.
func (c TenantCounts) String() string {
	return fmt.Sprintf("%d of %d requests below limits refused in calm times, at most %.2f of what a limit allows ran, %d others refused by limits, %d by their keys, %d keys and limits", c.BelowRefused, c.Below, c.CapUse, c.OverLimit, c.UnknownKey, c.Versions)
}

// ServedOfEntitled is Served for the calls that hosts have no reason to refuse by the keys and
// limits of tenants. It must be called after CheckCaps.
func (c *Checker) ServedOfEntitled(since time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		if !call.Sent.After(since) || !c.entitled(call) {
			continue
		}
		sent++
		if call.Reply.Status == 200 {
			served++
		}
	}
	return sent, served
}

func (c *Checker) entitled(call *Call) bool {
	if !c.tenants.published {
		return true
	}
	if _, held := c.heldThroughout(call); !held && !call.anonymous() {
		return false
	}
	return !quotaRefusal(&call.Reply) || c.tenants.below[call.ID]
}
