package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// waitDivisor divides the objective into the longest wait: a caller that is refused by
	// then can still be served by another host in time.
	waitDivisor = 4
	// ownShareDivisor divides the limit into the part that each priority may use whatever
	// the more urgent ones need, so that none is starved.
	ownShareDivisor = 8
	// aloneShare is the part of the rate of answered sends up to which the most urgent requests
	// run whatever is in progress: alone they would fit, so others cause the overload. On hosts
	// of 0.8 core a limit on them refused 885 of 1,947 that needed a fifth of the processor.
	aloneShare = 0.8
	// maxReserve is the largest part of the limit that is kept free for more urgent requests.
	maxReserve = 0.5
	// reserveFactor is the capacity kept free for more urgent requests relative to what they
	// have in progress on average: arrivals in a burst vary by that much.
	reserveFactor = 2
	// tenantDecay is what is left of a tenant's use after one window of samples. It decays
	// within about half a second, a few times the objectives.
	tenantDecay = 0.9
	// demandTime is the time constant of the average demand of a priority: a few windows.
	demandTime = 200 * time.Millisecond
	// contentionTime is the time after the limit was reached in which requests compete: about
	// one objective, in which those that were refused may come back.
	contentionTime = 200 * time.Millisecond
	// maxWaiting bounds the waiting requests of a host. In a quarter of an objective of
	// 150 ms a host of one core starts about ten fan-outs.
	maxWaiting = 256
)

// level is the state of one priority.
type level struct {
	held    int     // sends in progress
	offered int     // sends of the requests offered in this window
	largest int     // sends of the largest request, while there is demand
	demand  float64 // average sends offered per second
	ended   float64 // recent requests, late ones when they become late
	late    float64
	calm    time.Duration // calm time of a send of the latest class

	run, waited, refused int64
}

// Queue decides on the requests of a host.
type Queue struct {
	limit    limiter
	levels   [Levels]level
	classes  map[string]*class
	waiting  []*Ticket
	tenants  map[string]float64 // recent sends
	verdicts []Verdict
	largest  int           // sends of the largest request of late
	delay    time.Duration // tolerated delay of a send
}

// NewQueue returns a Queue without a limit in force.
func NewQueue() *Queue {
	return &Queue{classes: map[string]*class{}, tenants: map[string]float64{}}
}

// InForce reports whether the limit is in force.
func (q *Queue) InForce() bool { return q.limit.inForce }

// Offer decides on a new request. After Run, the caller must call Done, and Part for each
// part; after Wait, Withdraw if the request ends before its verdict.
func (q *Queue) Offer(now time.Time, t *Ticket) Decision {
	t.Sends = max(1, t.Sends)
	t.level = t.Level()
	t.class = q.classOf(t)
	t.class.seen = now
	l := &q.levels[t.level]
	l.offered += t.Sends
	l.largest = max(l.largest, t.Sends)
	l.calm = t.class.send
	q.largest = max(q.largest, t.Sends)
	q.adjust(now)
	if !q.limit.inForce {
		q.start(now, t)
		return Run
	}
	t.Latest = t.AnswerBy.Add(-t.class.need())
	if last := t.Received.Add(t.Objective / waitDivisor); last.Before(t.Latest) {
		t.Latest = last
	}
	t.waiting = true
	q.waiting = append(q.waiting, t)
	before := len(q.verdicts)
	q.schedule(now)
	for i, v := range q.verdicts[before:] {
		if v.Ticket == t {
			q.verdicts = slices.Delete(q.verdicts, before+i, before+i+1)
			return v.Decision
		}
	}
	l.waited++
	return Wait
}

// Contended reports whether the limit has lately kept a request from running.
func (q *Queue) Contended(now time.Time) bool {
	return q.limit.inForce && now.Sub(q.limit.lastReached) < contentionTime
}

// Outranked reports whether there are requests more urgent than those of a level.
func (q *Queue) Outranked(level int) bool {
	for p := range level {
		if q.levels[p].demand >= 1 {
			return true
		}
	}
	return false
}

// Next returns the verdicts on waiting requests since the last call. The caller must call it
// after each other method.
func (q *Queue) Next(now time.Time) []Verdict {
	if len(q.waiting) > 0 {
		q.schedule(now)
	}
	verdicts := q.verdicts
	q.verdicts = nil
	return verdicts
}

// Part gives back a send that was answered. Its time runs from the start of the request, so
// that it includes waits for a target and the delay of the host's own goroutines.
func (q *Queue) Part(now time.Time, t *Ticket) {
	if t.held == 0 {
		return
	}
	took := now.Sub(t.started)
	q.release(t, 1)
	if !q.limit.inForce {
		t.class.observeSend(took)
	}
	calm, tolerated := t.class.send, q.delay
	if !q.limit.inForce {
		tolerated *= entryFactor
	}
	q.limit.observe(calm, true, took > calm+max(tolerated, calm))
	q.adjust(now)
}

// Late gives back the sends of a request that has passed the time of its answer. They count as
// delayed, and the request as late if it has too few parts to be answered, unless it started
// too late to be in time: its caller had tried other hosts before, which says nothing of this.
func (q *Queue) Late(now time.Time, t *Ticket, late bool) {
	if t.started.Add(t.class.need()).After(t.AnswerBy) {
		q.release(t, t.held)
		q.adjust(now)
		return
	}
	if late {
		l := &q.levels[t.level]
		l.ended++
		l.late++
		q.limit.manyLate = q.limit.manyLate || l.ended >= minRequests && l.late > lateFraction*l.ended
		t.late = true
	}
	for range t.held {
		q.limit.observe(t.class.send, false, true)
	}
	q.release(t, t.held)
	q.adjust(now)
}

// Done ends a request that ran. answered is set if it was answered.
func (q *Queue) Done(now time.Time, t *Ticket, answered bool) {
	q.release(t, t.held)
	if answered && !t.late {
		q.levels[t.level].ended++
	}
	if answered && !t.late && !q.limit.inForce {
		t.class.observeRequest(now.Sub(t.started))
	}
	q.adjust(now)
}

// Withdraw ends a request that waits.
func (q *Queue) Withdraw(now time.Time, t *Ticket) {
	if !t.waiting {
		return
	}
	t.waiting = false
	q.levels[t.level].refused++
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Ticket) bool { return w == t })
	t.RetryAfter = q.drainTime(t, 0)
}

// Report returns a snapshot.
func (q *Queue) Report() Report {
	r := Report{InForce: q.limit.inForce, Waiting: len(q.waiting), Rate: q.limit.rate()}
	if r.InForce {
		r.Limit = int(q.limit.size)
	}
	for p, l := range q.levels {
		r.InProgress += l.held
		if l.run+l.refused > 0 {
			r.Levels = append(r.Levels, LevelReport{Priority: p, InProgress: l.held, Run: l.run, Waited: l.waited, Refused: l.refused})
		}
	}
	return r
}

// classOf returns the class of a request.
func (q *Queue) classOf(t *Ticket) *class {
	c, ok := q.classes[t.Class]
	if !ok {
		c = &class{}
		q.classes[t.Class] = c
	}
	c.objective = t.Objective
	return c
}

func (q *Queue) start(now time.Time, t *Ticket) {
	t.waiting, t.held, t.started = false, t.Sends, now
	l := &q.levels[t.level]
	l.held += t.Sends
	l.run++
	if q.limit.inForce {
		q.tenants[t.Tenant] += float64(t.Sends)
	}
}

func (q *Queue) release(t *Ticket, sends int) {
	t.held -= sends
	q.levels[t.level].held -= sends
}

// schedule starts the waiting requests that fit, and refuses those that can no longer be in
// time behind those before them.
func (q *Queue) schedule(now time.Time) {
	slices.SortStableFunc(q.waiting, q.order)
	var blocked [Levels]bool
	ahead := 0
	left := q.waiting[:0]
	for _, t := range q.waiting {
		if !blocked[t.level] && q.fits(t) {
			q.start(now, t)
			q.verdicts = append(q.verdicts, Verdict{t, Run})
			continue
		}
		q.limit.reached, q.limit.lastReached = true, now
		wait := q.drainTime(t, ahead)
		if len(left) >= maxWaiting || now.Add(wait).After(t.Latest) {
			t.waiting, t.RetryAfter = false, wait
			q.levels[t.level].refused++
			q.verdicts = append(q.verdicts, Verdict{t, Refuse})
			continue
		}
		blocked[t.level] = true
		ahead += t.Sends
		left = append(left, t)
	}
	clear(q.waiting[len(left):])
	q.waiting = left
}

// order sorts waiting requests by priority, the recent use of their tenants, the time left
// until they must start, and work.
func (q *Queue) order(a, b *Ticket) int {
	return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(q.tenants[a.Tenant], q.tenants[b.Tenant]),
		a.Latest.Compare(b.Latest), cmp.Compare(a.Sends, b.Sends))
}

// fits reports whether a request may run now. Work of less urgent requests does not count
// against it.
func (q *Queue) fits(t *Ticket) bool {
	own := q.levels[t.level].held
	return !q.limit.inForce || own == 0 || q.fitsAlone(t.level) || float64(own+t.Sends) <= q.limit.size/ownShareDivisor || q.excess(t) <= 0
}

// excess returns by how many sends a request exceeds what its priority may use now.
func (q *Queue) excess(t *Ticket) float64 {
	used, reserve := 0, 0.0
	for p := range t.level + 1 {
		l := &q.levels[p]
		used += l.held
		if p < t.level && l.demand >= 1 {
			reserve += max(0, max(float64(l.largest), reserveFactor*l.demand*l.calm.Seconds())-float64(l.held))
		}
	}
	return float64(used+t.Sends) + min(reserve, maxReserve*q.limit.size) - q.limit.size
}

// fitsAlone reports whether a level is the most urgent one, less urgent requests ask for as much,
// and it would fit without them.
func (q *Queue) fitsAlone(level int) bool {
	own, below := q.levels[level].demand, 0.0
	for p := level + 1; p < Levels; p++ {
		below += q.levels[p].demand
	}
	return !q.Outranked(level) && below > 0 && below >= own && own <= aloneShare*q.limit.rate()
}

// drainTime returns the time until a request fits with the given sends ahead of it.
func (q *Queue) drainTime(t *Ticket, ahead int) time.Duration {
	rate := q.limit.rate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(max(0, q.excess(t)+float64(ahead)) / rate * float64(time.Second))
}

// adjust ends the window of samples if it is due.
func (q *Queue) adjust(now time.Time) {
	if !q.limit.due(now) {
		return
	}
	elapsed := now.Sub(q.limit.start).Seconds()
	q.delay = 0
	for name, c := range q.classes {
		if now.Sub(c.seen) > forgetClass {
			delete(q.classes, name)
		}
		if d := c.objective / delayDivisor; now.Sub(c.seen) <= classLifetime && (q.delay == 0 || d < q.delay) {
			q.delay = d
		}
	}
	gain := 1 - math.Exp(-elapsed/demandTime.Seconds())
	for p := range q.levels {
		l := &q.levels[p]
		l.demand += gain * (float64(l.offered)/elapsed - l.demand)
		l.offered = 0
		l.ended *= 1 - gain
		l.late *= 1 - gain
		if l.demand < 1 {
			l.largest = 0
		}
	}
	for name := range q.tenants {
		q.tenants[name] *= tenantDecay
	}
	maps.DeleteFunc(q.tenants, func(_ string, use float64) bool { return use < 0.5 })
	if q.limit.adjust(now, float64(floorRequests*q.largest), q.delay) {
		for _, c := range q.classes {
			c.send += time.Duration(floorDrift * float64(c.send))
		}
	}
	if q.limit.inForce {
		return
	}
	q.largest = 0
	for p := range q.levels {
		q.largest = max(q.largest, q.levels[p].largest)
	}
}
