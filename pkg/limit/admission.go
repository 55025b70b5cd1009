package limit

import (
	"time"
)

const (
	// window is the time over which the limit is judged.
	window = 100 * time.Millisecond
	// minSamples is the number of answers below which a window is extended.
	minSamples = 10
	// slowFactor is how far the mean latency may rise above the calm one.
	// Queues of one waiting request per slot double it.
	slowFactor = 2.0
	// refusedRatio is the fraction of refused or late queries that counts as overload.
	refusedRatio = 0.02
	decrease     = 0.9
	// calmDrift lets the calm latency follow a lasting change of the targets:
	// 0.2 % per window doubles it in about 35 s.
	calmDrift  = 1.002
	minLimit   = 4
	maxLimit   = 1 << 16
	startLimit = 64
)

// classPart is the part of the limit that a class and those above it may fill.
// The rest is the reserve of the higher classes.
var classPart = [classes]float64{1, 0.9, 0.75}

// Admission bounds the queries that an entry host has in progress for one
// service. The limit adapts: it falls when queries are refused or become slow,
// and grows while it holds queries back without either.
type Admission struct {
	limit    float64
	inFlight int

	since   time.Time
	count   int
	total   time.Duration
	refused int
	held    bool          // the limit turned a query away, or nearly did
	calm    time.Duration // mean latency of the calmest window
}

// NewAdmission returns a controller that has seen no load.
func NewAdmission() *Admission { return &Admission{limit: startLimit} }

// Limit returns the current limit in queries.
func (a *Admission) Limit() int { return int(a.limit) }

// InFlight returns the number of queries in progress.
func (a *Admission) InFlight() int { return a.inFlight }

// Start admits a query, which must end with Done. If it refuses, retryAfter is
// the time after which some query in progress should have ended.
func (a *Admission) Start(now time.Time, class Class) (retryAfter time.Duration, ok bool) {
	if a.since.IsZero() {
		a.since = now
	}
	allowed := a.limit * classPart[class.index()]
	if float64(a.inFlight+1) > allowed {
		a.held = true
		return max(a.calm, time.Millisecond), false
	}
	a.inFlight++
	a.held = a.held || float64(a.inFlight) >= 0.9*allowed
	return 0, true
}

// Done ends a query after the time that it took. overloaded is true if a part
// of it was refused for lack of room or missed the deadline. Queries that ended
// for other reasons, such as a caller that gave up, pass useful == false.
func (a *Admission) Done(now time.Time, took time.Duration, overloaded, useful bool) {
	a.inFlight--
	if useful {
		a.count++
		a.total += took
		if overloaded {
			a.refused++
		}
	}
	if now.Sub(a.since) >= window && a.count >= minSamples {
		a.judge(now)
	}
}

// judge adapts the limit to the window that ends now.
func (a *Admission) judge(now time.Time) {
	mean := a.total / time.Duration(a.count)
	overload := float64(a.refused) > refusedRatio*float64(a.count)
	if !overload {
		if a.calm == 0 || mean < a.calm {
			a.calm = mean
		} else {
			a.calm = min(mean, time.Duration(calmDrift*float64(a.calm)))
		}
	}
	slow := a.calm > 0 && float64(mean) > slowFactor*float64(a.calm)
	switch {
	case overload || slow:
		a.limit = max(minLimit, a.limit*decrease)
	case a.held:
		a.limit = min(maxLimit, a.limit+max(1, a.limit/32))
	}
	a.since, a.count, a.total, a.refused, a.held = now, 0, 0, 0, false
}
