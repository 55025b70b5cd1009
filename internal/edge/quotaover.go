package edge

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/quota"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

const (
	// overLimitTime is how long after its last refusal because of its limit a tenant counts as
	// over it. It is longer than the longest retry delay, so that a caller that keeps to the
	// delay and is refused again causes no further change of state.
	overLimitTime = 5 * time.Second
	// maxOverLimit is the largest number of tenants whose state is kept; further ones are
	// refused without a log line.
	maxOverLimit = 1000
)

// overLimit is the state of a tenant over its limit.
type overLimit struct {
	name        string
	limit       quota.Limit
	since, last time.Time
	refused     int64 // requests
}

// noteOverLimit records a refusal of a request because of the limit of its tenant, and reports
// whether the tenant was not over its limit before. The lock must be held.
func (q *quotas) noteOverLimit(now time.Time, key uint64, t *tenant.Tenant) bool {
	o, known := q.over[key]
	if !known {
		if len(q.over) >= maxOverLimit {
			return false
		}
		o = &overLimit{name: t.Name, since: now}
		q.over[key] = o
	}
	o.limit, o.last = quota.Limit{Rate: t.Rate, Burst: t.Burst}, now
	o.refused++
	return !known
}

// logOverLimit logs that a tenant goes over its limit.
func (q *quotas) logOverLimit(t *tenant.Tenant) {
	q.host.opts.Log.Info("a tenant goes over its limit", "tenant", t.Name, "rate_per_s", t.Rate, "burst", t.Burst)
}

// expireOverLimit ends the state of tenants whose requests are no longer refused.
func (q *quotas) expireOverLimit(now time.Time) {
	q.mu.Lock()
	var ended []*overLimit
	for key, o := range q.over {
		if now.Sub(o.last) >= overLimitTime {
			ended = append(ended, o)
			delete(q.over, key)
		}
	}
	q.mu.Unlock()
	for _, o := range ended {
		q.host.opts.Log.Info("a tenant is below its limit again", "tenant", o.name, "refused", o.refused, "over_ms", o.last.Sub(o.since).Milliseconds())
	}
}

// overCount returns the number of tenants over their limits.
func (q *quotas) overCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.over)
}
