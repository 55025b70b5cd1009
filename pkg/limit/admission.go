package limit

import (
	"time"
)

const (
	// window is the time over which the limit is judged.
	window = 100 * time.Millisecond
	// minSamples is the number of answers below which a window is extended.
	minSamples = 10
	// waitRatio is how long the parts of queries may wait for slots on average,
	// in service times. An owner with one slot reaches 0.8 at 60 % of capacity
	// (Pollaczek-Khinchine, service times that vary by 0.3). The wait is
	// measured, not derived from a rise of the latency: stuck or slow targets
	// raise the latency as well, and shedding load does not help against them.
	waitRatio = 1
	// allowedRatio is the part of the time allowed to queries that their parts
	// may always wait on average. Where service times are a small part of the
	// deadline, waits of one of them endanger no answer: while three of eight hosts
	// stopped, 3 to 9 of 950 queries were refused whose parts waited about 16 ms of 600.
	allowedRatio = 0.125
	// refusedRatio is the fraction of parts that may be refused for lack of
	// room. A target that sheds a few of its requests on purpose stays below.
	refusedRatio = 0.1
	decrease     = 0.9
	collapse     = 0.5 // at most, of a limit that was not used
	increase     = 0.05
	minLimit     = 4
	maxLimit     = 1 << 16
	startLimit   = 64
)

// classPart is the part of the limit up to which a class may start queries,
// whatever the classes of those in progress. The limit grows until the classes
// that fill it wait too long, so a large reserve for the higher classes leaves
// no capacity idle; parts of 0.9 and 0.75 turned away 5.7 % of the critical
// queries at 150 % of capacity.
var classPart = [classes]float64{1, 0.5, 0.3}

// Sample describes a query that ended.
type Sample struct {
	Took    time.Duration // the whole query
	Allowed time.Duration // from its start to its deadline
	Waited  time.Duration // mean wait of its parts for a slot
	Served  time.Duration // mean time of its parts on their targets
	Refused float64       // fraction of its parts that found no room in time
}

// Admission bounds the queries that an entry host has in progress for one
// service. The limit adapts: it falls when parts are refused or wait long, and
// grows while it holds queries back without either.
type Admission struct {
	limit    float64
	inFlight int

	peak    float64 // the limit that this window's queries needed
	since   time.Time
	count   int
	took    time.Duration
	allowed time.Duration
	waited  time.Duration
	served  time.Duration
	refused float64
	held    bool          // the limit turned a query away, or nearly did
	mean    time.Duration // time of a query in the last window
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
	a.peak = max(a.peak, min(a.limit, float64(a.inFlight+1)/classPart[class.index()]))
	if float64(a.inFlight+1) > allowed {
		a.held = true
		return max(a.mean, time.Millisecond), false
	}
	a.inFlight++
	a.held = a.held || float64(a.inFlight) >= 0.9*allowed
	return 0, true
}

// Done ends a query. A nil sample says that its end tells nothing about load,
// for instance because the caller gave up.
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
	if now.Sub(a.since) >= window && a.count >= minSamples {
		a.judge(now)
	}
}

// judge adapts the limit to the window that ends now. A limit far above what
// was used holds nothing back and is halved: from 64 to 6 in steps of a tenth
// takes more than 2 s, in which queries of the lowest class are admitted and
// then wait until their deadline. A low limit returns to the first one without
// being reached, or chance would lower it step by step in calm times.
func (a *Admission) judge(now time.Time) {
	switch {
	case a.refused > refusedRatio*float64(a.count),
		float64(a.waited) > max(waitRatio*float64(a.served), allowedRatio*float64(a.allowed)):
		a.limit = max(minLimit, a.limit*collapse, a.peak*decrease)
	case a.held || a.limit < startLimit:
		a.limit = min(maxLimit, a.limit+max(1, a.limit*increase))
	}
	a.mean = a.took / time.Duration(a.count)
	a.since, a.count, a.took, a.allowed, a.waited, a.served, a.refused, a.held, a.peak = now, 0, 0, 0, 0, 0, 0, false, 0
}
