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
type admitted struct {
	service *limit.Admission
	owner   *admission
	start   time.Time
	allowed time.Duration // until the deadline
	waited  time.Duration // of all parts together
	longest time.Duration // wait of one part
	served  time.Duration // of all parts together
	parts   int
	refused int // parts that found no room in time
}

func newAdmission() *admission { return &admission{services: map[string]*limit.Admission{}} }

// start admits a query that may take the allowed time, or returns the refusal. An
// admitted query must call end.
func (a *admission) start(service string, class settings.Priority, allowed time.Duration) (*admitted, outcome.Outcome) {
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
	return &admitted{service: s, owner: a, start: now, allowed: allowed}, outcome.Outcome{}
}

// load returns how full the fullest service is, of 255.
func (a *admission) load() uint8 {
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
func (q *admitted) part(o outcome.Outcome, waited, served time.Duration) {
	if o.DidNotRun() && o.Reason == outcome.Busy {
		return
	}
	q.parts++
	q.wait(waited)
	q.served += served
	if hedge.RefusedForLoad(o) {
		q.refused++
	}
}

// cut records a part that was still in a queue, as far as known, when the query
// ended.
func (q *admitted) cut(waited time.Duration) {
	q.parts++
	q.refused++
	q.wait(waited)
}

func (q *admitted) wait(waited time.Duration) {
	q.waited += waited
	q.longest = max(q.longest, waited)
}

// meanWait returns the mean wait of the parts. The longest of several is left
// out: a group whose replica is stuck holds up one part of every query, and
// refusing whole queries for it would give up the answers of all other groups.
func (q *admitted) meanWait() time.Duration {
	if q.parts == 1 {
		return q.waited
	}
	return (q.waited - q.longest) / time.Duration(q.parts-1)
}

// end ends the query. canceled is true if the caller gave up.
func (q *admitted) end(canceled bool) {
	now := time.Now()
	var sample *limit.Sample
	if !canceled && q.parts > 0 {
		sample = &limit.Sample{
			Took: now.Sub(q.start), Allowed: q.allowed, Waited: q.meanWait(),
			Served: q.served / time.Duration(q.parts), Refused: float64(q.refused) / float64(q.parts),
		}
	}
	q.owner.mu.Lock()
	defer q.owner.mu.Unlock()
	q.service.Done(now, sample)
}
