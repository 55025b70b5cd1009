package hedge

import (
	"math"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

const (
	// loadTimeConstant is the time constant of the exponential decay of results.
	loadTimeConstant = time.Second
	// maxQueueRatio is the mean wait for a slot, relative to the mean service
	// time, above which a service is overloaded. Two slots at 60 % of capacity
	// with 1 % stragglers reach about 1.2 (Pollaczek-Khinchine); above capacity
	// the wait grows to the deadline.
	maxQueueRatio = 3
	// maxRefusedRatio is the fraction of results refused for load above which
	// a service is overloaded.
	maxRefusedRatio = 0.02
	// minRefused is the weight of refusals that may occur without overload: a
	// target whose slot is still held by a canceled request refuses the next.
	minRefused = 5
	// minResults is the weight of results below which a service does not count as
	// overloaded.
	minResults = 20
)

// Load detects from the results of sub-requests whether a service is overloaded.
// The zero value is ready to use; it is not safe for concurrent use.
type Load struct {
	updated time.Time
	results float64
	refused float64
	queued  float64 // seconds
	served  float64 // seconds
}

// Observe records the outcome of a sub-request, its wait for a slot and its
// service time on the target.
func (l *Load) Observe(now time.Time, o outcome.Outcome, queued, served time.Duration) {
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(loadTimeConstant))
		l.results, l.refused, l.queued, l.served = l.results*keep, l.refused*keep, l.queued*keep, l.served*keep
		l.updated = now
	}
	l.results++
	l.queued += queued.Seconds()
	l.served += served.Seconds()
	if RefusedForLoad(o) {
		l.refused++
	}
}

// Overloaded reports whether the service is overloaded, so that hedges would make
// the overload worse.
func (l *Load) Overloaded(now time.Time) bool {
	weight := l.results * math.Exp(-float64(max(0, now.Sub(l.updated)))/float64(loadTimeConstant))
	if weight < minResults {
		return false
	}
	return l.refused > max(minRefused, maxRefusedRatio*l.results) || l.queued > maxQueueRatio*l.served
}

// RefusedForLoad reports whether a sub-request did not run because a queue was
// full or because its wait for a slot would have exceeded the deadline.
func RefusedForLoad(o outcome.Outcome) bool {
	return o.DidNotRun() && (o.Reason == outcome.Overload || o.Reason == outcome.Deadline)
}

// RetryIsFree reports whether a sub-request that ended with outcome o may be
// retried on another replica without a token. extraSends is the number of its
// hedges and retries so far; a first retry is one without any. The rules are:
//
//   - The first retry after a refusal is free, because the target did not run the
//     sub-request and targets have no extra work.
//   - A retry after a refusal for load is not free while the service is
//     overloaded: the other replicas would refuse as well, and the number of
//     messages would multiply.
//   - Every retry after a refused index version is free: a change of the index
//     version affects all groups of a query at once, and the query would wait for
//     tokens instead of finding the version that is served.
//   - The first retry after a silent connection is free unless the service is
//     overloaded: the target mostly never received the sub-request, and a burst of
//     silent connections would otherwise spend the budget and leave groups without
//     an answer until the deadline.
func RetryIsFree(o outcome.Outcome, extraSends int, overloaded bool) bool {
	if o.Reason == outcome.Silent {
		return extraSends == 0 && !overloaded
	}
	if !o.DidNotRun() || overloaded && RefusedForLoad(o) {
		return false
	}
	return extraSends == 0 || o.Reason == outcome.VersionGone
}
