package daemon

import (
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/hedge"
	"github.com/lacewingyard/lacewingyard/pkg/limit"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// admission bounds the queries that this entry host has in progress, service
// by service: overload of one must not take the room of another.
type admission struct {
	mu       sync.Mutex
	services map[string]*limit.Admission
}

// admitted is a query in progress. Its fields are used by one goroutine.
type admittedQuery struct {
	limiter      *limit.Admission
	admission    *admission
	started      time.Time
	timeout      time.Duration // until the deadline
	totalWait    time.Duration // of all parts together
	longestWait  time.Duration // wait of one part
	totalService time.Duration // of all parts together
	parts        int
	refused      int // parts that found no room in time
}

func newAdmission() *admission { return &admission{services: map[string]*limit.Admission{}} }

// start admits a query that may take the allowed time, or returns the refusal. An
// admitted query must call end.
func (a *admission) admit(service string, class settings.Priority, allowed time.Duration) (*admittedQuery, outcome.Outcome) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.services[service]
	if !ok {
		s = limit.NewAdmission()
		a.services[service] = s
	}
	after, ok := s.Start(now, limit.Class(class))
	if !ok {
		o := outcome.Refused(outcome.Overload, "too many %s queries of service %s are in progress", class, service)
		o.RetryAfter = after
		return nil, o
	}
	return &admittedQuery{limiter: s, admission: a, started: now, timeout: allowed}, outcome.Outcome{}
}

// load returns how full the fullest service is, of 255.
func (a *admission) utilization() uint8 {
	a.mu.Lock()
	defer a.mu.Unlock()
	load := 0.0
	for _, s := range a.services {
		load = max(load, float64(s.InFlight())/float64(max(1, s.Limit())))
	}
	return uint8(min(1, load) * 255)
}

// part records the end of a part of the query, how long it waited for a slot
// and its time on the target. A part refused as busy is sent again and has not
// ended; the time that it lost belongs to the wait of the next attempt.
func (q *admittedQuery) recordPart(o outcome.Outcome, waited, served time.Duration) {
	if o.DidNotRun() && o.Reason == outcome.Busy {
		return
	}
	q.parts++
	q.addWait(waited)
	q.totalService += served
	if hedge.RefusedForLoad(o) {
		q.refused++
	}
}

// cut records a part that was still in a queue, as far as known, when the query
// ended.
func (q *admittedQuery) recordUnfinished(waited time.Duration) {
	q.parts++
	q.refused++
	q.addWait(waited)
}

func (q *admittedQuery) addWait(waited time.Duration) {
	q.totalWait += waited
	q.longestWait = max(q.longestWait, waited)
}

// meanWait returns the mean wait of the parts. The longest of several is left
// out: a group whose replica is stuck holds up one part of every query, and
// refusing whole queries for it would give up the answers of all other groups.
func (q *admittedQuery) meanWait() time.Duration {
	if q.parts == 1 {
		return q.totalWait
	}
	return (q.totalWait - q.longestWait) / time.Duration(q.parts-1)
}

// end ends the query. canceled is true if the caller gave up.
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
