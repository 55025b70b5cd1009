package daemon

import (
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/hedge"
	"github.com/lacewingyard/lacewingyard/pkg/limit"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// admission limits the queries that this entry host has in progress. Each
// service has its own limit, so that overload of one does not block another.
type admission struct {
	mu       sync.Mutex
	services map[string]*limit.Admission
}

// admittedQuery is a query in progress with statistics of its parts, which are its
// sub-requests. It is not safe for concurrent use.
type admittedQuery struct {
	limiter      *limit.Admission
	admission    *admission
	started      time.Time
	timeout      time.Duration // from the start to the deadline
	totalWait    time.Duration // sum over all parts
	longestWait  time.Duration // longest wait of one part
	totalService time.Duration // sum over all parts
	parts        int
	refused      int // parts refused for load or still queued at the end
}

func newAdmission() *admission { return &admission{services: map[string]*limit.Admission{}} }

// admit admits a query that has the time allowed until its deadline, or returns nil
// and the refusal. The caller must call end on an admitted query.
func (a *admission) admit(service string, class settings.Priority, allowed time.Duration) (*admittedQuery, outcome.Outcome) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.services[service]
	if !ok {
		s = limit.NewAdmission()
		a.services[service] = s
	}
	retryAfter, ok := s.Start(now, limit.Class(class))
	if !ok {
		o := outcome.Refused(outcome.Overload, "too many %s queries of service %s are in progress", class, service)
		o.RetryAfter = retryAfter
		return nil, o
	}
	return &admittedQuery{limiter: s, admission: a, started: now, timeout: allowed}, outcome.Outcome{}
}

// utilization returns the queries in progress relative to the limit, for the
// service where this ratio is highest, from 0 for no query to 255 for the limit.
func (a *admission) utilization() uint8 {
	a.mu.Lock()
	defer a.mu.Unlock()
	load := 0.0
	for _, s := range a.services {
		load = max(load, float64(s.InFlight())/float64(max(1, s.Limit())))
	}
	return uint8(min(1, load) * 255)
}

// recordPart records the end of a part of the query, its wait for a slot and its
// service time on the target. A part refused as busy is not counted, because it is
// sent again; the time lost is part of the wait of the next attempt.
func (q *admittedQuery) recordPart(o outcome.Outcome, wait, service time.Duration) {
	if o.DidNotRun() && o.Reason == outcome.Busy {
		return
	}
	q.parts++
	q.addWait(wait)
	q.totalService += service
	if hedge.RefusedForLoad(o) {
		q.refused++
	}
}

// recordUnfinished records a part that was probably still queued when the query
// ended.
func (q *admittedQuery) recordUnfinished(wait time.Duration) {
	q.parts++
	q.refused++
	q.addWait(wait)
}

func (q *admittedQuery) addWait(wait time.Duration) {
	q.totalWait += wait
	q.longestWait = max(q.longestWait, wait)
}

// meanWait returns the mean wait of the parts without the longest of several. A
// group with a stuck replica delays one part of every query; refusing whole queries
// because of one slow part would lose the answers of all other groups.
func (q *admittedQuery) meanWait() time.Duration {
	if q.parts == 1 {
		return q.totalWait
	}
	return (q.totalWait - q.longestWait) / time.Duration(q.parts-1)
}

// end ends the query and updates the admission limit. A query that its caller
// canceled is left out, because the caller determined its duration.
func (q *admittedQuery) end(canceled bool) {
	now := time.Now()
	var sample *limit.Sample
	if !canceled && q.parts > 0 {
		sample = &limit.Sample{
			Took: now.Sub(q.started), Allowed: q.timeout, Waited: q.meanWait(),
			Served: q.totalService / time.Duration(q.parts), Refused: float64(q.refused) / float64(q.parts),
		}
	}
	q.admission.mu.Lock()
	defer q.admission.mu.Unlock()
	q.limiter.Done(now, sample)
}
