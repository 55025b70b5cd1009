package limit

import (
	"time"
)

const (
	// minWindow is the shortest time between two adjustments of the limit.
	minWindow = 100 * time.Millisecond
	// minWindowQueries is the number of ended queries below which a window is
	// extended.
	minWindowQueries = 10
	// maxWaitToService is the mean wait of sub-requests for a slot, relative to
	// their mean service time, above which the limit falls. An owner with one
	// slot reaches 0.8 at 60 % of capacity (Pollaczek-Khinchine, service times
	// that vary by 0.3). The wait is measured instead of derived from a rise in
	// latency, because stuck or slow targets raise the latency as well and
	// shedding load does not help against them.
	maxWaitToService = 1
	// maxWaitToDeadline is the mean wait of sub-requests, relative to the time
	// that queries have until their deadline, that must be exceeded as well. Where
	// service times are short compared with the deadline, a wait of one service
	// time endangers no answer: without this rule, 3 to 9 of 950 queries were
	// refused while three of eight hosts stopped, although their sub-requests
	// waited about 16 ms of 600.
	maxWaitToDeadline = 0.125
	// maxRefusedRatio is the fraction of sub-requests refused by full queues above
	// which the limit falls. A target that sheds a few of its requests on purpose
	// stays below.
	maxRefusedRatio    = 0.1
	decreaseFactor     = 0.9
	fastDecreaseFactor = 0.5 // per window, for a limit far above the one needed
	increaseRatio      = 0.05
	minLimit           = 4
	maxLimit           = 1 << 16
	initialLimit       = 64
)

// classFraction is the fraction of the limit up to which queries of a class may
// start, by class and regardless of the classes in progress. A large reserve for
// the higher classes leaves no capacity idle, because the limit grows until the
// classes that fill it wait too long. With 0.9 and 0.75 for the lower classes,
// 5.7 % of the critical queries were refused at 150 % of capacity.
var classFraction = [classes]float64{1, 0.5, 0.3}

// Sample describes a query that ended.
type Sample struct {
	Took    time.Duration // duration of the whole query
	Allowed time.Duration // from the start of the query to its deadline
	Waited  time.Duration // mean wait of its sub-requests for a slot
	Served  time.Duration // mean service time of its sub-requests on their targets
	Refused float64       // fraction, 0 to 1, of its sub-requests refused for load
}

// Admission limits the queries that an entry host has in progress for one
// service. The limit falls when sub-requests are refused or wait long. Without
// either it grows while it is reached or is below its initial value. Admission is
// not safe for concurrent use.
type Admission struct {
	limit    float64
	inFlight int

	neededLimit  float64 // lowest limit that would have admitted the queries of this window
	windowStart  time.Time
	count        int
	took         time.Duration
	allowed      time.Duration
	waited       time.Duration
	served       time.Duration
	refused      float64
	limitReached bool          // the limit refused a query in this window, or nearly did
	meanTook     time.Duration // mean duration of a query in the last window
}

// NewAdmission returns an Admission that has seen no load.
func NewAdmission() *Admission { return &Admission{limit: initialLimit} }

// Limit returns the current limit in queries.
func (a *Admission) Limit() int { return int(a.limit) }

// InFlight returns the number of queries in progress.
func (a *Admission) InFlight() int { return a.inFlight }

// Start admits a query, for which the caller must call Done when it ends. If the
// limit refuses the query, ok is false and retryAfter is the time after which
// some query in progress should have ended, at least 1 ms.
func (a *Admission) Start(now time.Time, class Class) (retryAfter time.Duration, ok bool) {
	if a.windowStart.IsZero() {
		a.windowStart = now
	}
	classLimit := a.limit * classFraction[class.index()]
	a.neededLimit = max(a.neededLimit, min(a.limit, float64(a.inFlight+1)/classFraction[class.index()]))
	if float64(a.inFlight+1) > classLimit {
		a.limitReached = true
		return max(a.meanTook, time.Millisecond), false
	}
	a.inFlight++
	a.limitReached = a.limitReached || float64(a.inFlight) >= 0.9*classLimit
	return 0, true
}

// Done records the end of an admitted query. A nil sample means that its end says
// nothing about the load, for instance because the caller canceled the query.
func (a *Admission) Done(now time.Time, s *Sample) {
	a.inFlight--
	if s == nil {
		return
	}
	a.count++
	a.took += s.Took
	a.allowed += s.Allowed
	a.waited += s.Waited
	a.served += s.Served
	a.refused += s.Refused
	if now.Sub(a.windowStart) >= minWindow && a.count >= minWindowQueries {
		a.adjust(now)
	}
}

// adjust sets the limit from the samples of the window that ends now. A limit
// far above the one needed has no effect and is halved: steps of a tenth from 64
// to 6 take more than 2 s, in which queries of the lowest class are admitted and
// then wait until their deadline. A limit below initialLimit grows even if it is
// not reached, since chance would otherwise lower it step by step at low load.
func (a *Admission) adjust(now time.Time) {
	switch {
	case a.refused > maxRefusedRatio*float64(a.count),
		float64(a.waited) > max(maxWaitToService*float64(a.served), maxWaitToDeadline*float64(a.allowed)):
		a.limit = max(minLimit, a.limit*fastDecreaseFactor, a.neededLimit*decreaseFactor)
	case a.limitReached || a.limit < initialLimit:
		a.limit = min(maxLimit, a.limit+max(1, a.limit*increaseRatio))
	}
	a.meanTook = a.took / time.Duration(a.count)
	a.windowStart, a.count, a.took, a.allowed, a.waited, a.served, a.refused, a.limitReached, a.neededLimit = now, 0, 0, 0, 0, 0, 0, false, 0
}
