package atmostonce

import (
	"container/heap"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// Action says what the caller of Begin does with a request.
type Action uint8

// Actions.
const (
	Refuse  Action = iota // answer Decision.Outcome; nothing is to run
	Run                   // run the request, then call Finish
	Join                  // the request is running; wait for its result
	Replay                // answer Decision.Outcome and Decision.Answer
	Confirm               // ask the sender whether it still waits, then call Begin again
)

// Decision is the answer of Begin.
type Decision[A any] struct {
	Action  Action
	Outcome outcome.Outcome
	Answer  A
	// Refusals is set with Confirm: the value to pass to Begin once the sender
	// has confirmed that it still waits.
	Refusals uint64
}

// Limits of a registry.
type Limits struct {
	MaxRecords  int           // requests remembered at a time
	MaxTTL      time.Duration // longest life of a ticket
	MaxDeadline time.Duration // records outlive their tickets by this time
}

// Registry remembers the requests of one host incarnation. A is the type of an
// answer.
type Registry[A any] struct {
	host        string
	incarnation uint64
	limits      Limits
	closed      bool
	latest      time.Time // time never goes back here, even if the clock does
	records     map[string]*record[A]
	ended       queue[A]
	marks       []*record[A] // refused requests, the oldest first; some may run again

	refusals  uint64    // requests refused as "not run" so far
	unmarked  uint64    // the last of them that left no mark in records
	doubtedTo time.Time // when no send from before that one is on its way any more
}

// record is what is known of one request.
type record[A any] struct {
	id       string
	digest   uint64
	forgetAt time.Time
	running  bool
	refused  uint64 // its number among the refusals; such a record only marks the request
	outcome  outcome.Outcome
	answer   A
}

// NewRegistry returns the registry of a host incarnation.
func NewRegistry[A any](host string, incarnation uint64, limits Limits) *Registry[A] {
	return &Registry[A]{host: host, incarnation: incarnation, limits: limits, records: map[string]*record[A]{}}
}

// Issue returns a ticket for this incarnation.
func (r *Registry[A]) Issue(now time.Time, ttl time.Duration) Ticket {
	now = r.advance(now)
	return Ticket{Host: r.host, Incarnation: r.incarnation, Expiry: now.Add(min(ttl, r.limits.MaxTTL)).Truncate(time.Millisecond)}
}

// Begin decides what to do with a request. digest identifies its body.
//
// After "not run" a resend may run, but an earlier send that is still on its
// way must not: the caller was told that it did not run. Begin cannot tell them
// apart and returns Confirm. The caller of an earlier send has given up before
// it sent again, so only the sender of the resend confirms. confirmed is 0, or
// the Refusals of the Confirm that the sender has answered.
func (r *Registry[A]) Begin(now time.Time, id ID, digest, confirmed uint64) Decision[A] {
	now = r.advance(now)
	r.forget(now)
	if o, foreign := r.foreign(id); foreign {
		return refuse[A](o)
	}
	key := id.String()
	rec, ok := r.records[key]
	if ok && rec.refused == 0 {
		return rec.decide(digest)
	}
	if refusal, refused := r.checkNew(now, id.Ticket.Expiry, ok); refused {
		return refuse[A](refusal)
	}
	refused := uint64(0)
	if ok {
		refused = rec.refused
	}
	if now.Before(r.doubtedTo) {
		refused = max(refused, r.unmarked)
	}
	if refused > confirmed {
		return Decision[A]{Action: Confirm, Refusals: r.refusals}
	}
	r.records[key] = &record[A]{id: key, digest: digest, forgetAt: id.Ticket.Expiry.Add(r.limits.MaxDeadline), running: true}
	return Decision[A]{Action: Run}
}

// RecordRefusal returns the outcome of a request that the host refuses for a reason of
// its own before Begin: o, which is "not run", unless an earlier send may have
// run. A later send then runs only if its sender confirms, as after Finish.
func (r *Registry[A]) RecordRefusal(now time.Time, id ID, o outcome.Outcome) outcome.Outcome {
	now = r.advance(now)
	r.forget(now)
	if unknown, foreign := r.foreign(id); foreign {
		return unknown
	}
	key := id.String()
	rec, ok := r.records[key]
	if ok && rec.refused == 0 {
		return o.AsUnknown("an earlier send of the request may have run")
	}
	if refusal, refused := r.checkNew(now, id.Ticket.Expiry, ok); refused {
		return refusal
	}
	rec = &record[A]{id: key}
	r.records[key] = rec
	r.mark(now, rec)
	return o
}

// foreign refuses a ticket that names another host or incarnation.
func (r *Registry[A]) foreign(id ID) (outcome.Outcome, bool) {
	if id.Ticket.Host == r.host && id.Ticket.Incarnation == r.incarnation {
		return outcome.Outcome{}, false
	}
	return outcome.Uncertain(outcome.Unavailable, "the ticket names incarnation %d of host %s, this is incarnation %d of %s",
		id.Ticket.Incarnation, id.Ticket.Host, r.incarnation, r.host), true
}

// checkNew refuses a request without a record that may not run.
func (r *Registry[A]) checkNew(now, expiry time.Time, marked bool) (outcome.Outcome, bool) {
	switch {
	case !now.Before(expiry.Add(r.limits.MaxDeadline)):
		return outcome.Uncertain(outcome.Deadline, "the ticket expired %s ago and its record is gone", now.Sub(expiry).Round(time.Second)), true
	case !now.Before(expiry):
		// A run would have left a record, so the request certainly did not run.
		return outcome.Refused(outcome.Invalid, "the ticket has expired"), true
	case r.closed:
		return outcome.Refused(outcome.Draining, "host %s is stopping; a new ticket is needed", r.host), true
	case expiry.After(now.Add(r.limits.MaxTTL)):
		r.doubt(now)
		return outcome.Refused(outcome.Invalid, "the ticket lives longer than any that this host issued"), true
	case !marked && len(r.records) >= r.limits.MaxRecords && !r.dropMark():
		r.doubt(now)
		return outcome.Refused(outcome.Overload, "the table of requests is full"), true
	}
	return outcome.Outcome{}, false
}

// Finish records the result of a request that Begin let run. After a
// definitive "not run" the request may run again. It returns false if the
// request is not running.
func (r *Registry[A]) Finish(now time.Time, id ID, o outcome.Outcome, answer A) bool {
	now = r.advance(now)
	rec, ok := r.records[id.String()]
	if !ok || !rec.running {
		return false
	}
	rec.running = false
	if o.DidNotRun() {
		r.mark(now, rec)
		return true
	}
	rec.outcome, rec.answer = o, answer
	heap.Push(&r.ended, rec)
	return true
}

// ResolveUnknown gives a request whose outcome is recorded as unknown the answer that
// another host has for it. It returns false if there is no such record.
func (r *Registry[A]) ResolveUnknown(id ID, digest uint64, o outcome.Outcome, answer A) bool {
	rec, ok := r.records[id.String()]
	if !ok || rec.running || rec.refused > 0 || rec.digest != digest || rec.outcome.Kind != outcome.Unknown || o.Kind != outcome.Answered {
		return false
	}
	rec.outcome, rec.answer = o, answer
	return true
}

// mark turns a record into the mark of a refused request.
func (r *Registry[A]) mark(now time.Time, rec *record[A]) {
	r.refusals++
	rec.refused = r.refusals
	// No send of it that came before is on its way for longer.
	rec.forgetAt = now.Add(r.limits.MaxDeadline)
	if r.marks = append(r.marks, rec); len(r.marks) > 2*r.limits.MaxRecords {
		r.dropMark()
	}
}

// Len returns the number of records.
func (r *Registry[A]) Len() int { return len(r.records) }

// advance returns the latest time seen. A clock that steps back would
// otherwise revive a ticket whose record is gone, and it would run twice.
func (r *Registry[A]) advance(now time.Time) time.Time {
	if now = now.Round(0); now.After(r.latest) {
		r.latest = now
	}
	return r.latest
}

// forget drops the records whose time has come. Running ones stay.
func (r *Registry[A]) forget(now time.Time) {
	for len(r.marks) > 0 && (!r.marked(r.marks[0]) || !now.Before(r.marks[0].forgetAt)) {
		r.popMark()
	}
	for len(r.ended) > 0 && !now.Before(r.ended[0].forgetAt) {
		delete(r.records, heap.Pop(&r.ended).(*record[A]).id)
	}
}

// marked reports whether a mark still stands; the request may have run since.
func (r *Registry[A]) marked(rec *record[A]) bool { return r.records[rec.id] == rec }

func (r *Registry[A]) popMark() {
	if rec := r.marks[0]; r.marked(rec) {
		delete(r.records, rec.id)
	}
	r.marks = r.marks[1:]
}

// dropMark makes room by dropping the oldest mark, if there is one. Every
// request without a record is then doubted in its place.
func (r *Registry[A]) dropMark() bool {
	for len(r.marks) > 0 {
		rec := r.marks[0]
		standing := r.marked(rec)
		r.popMark()
		if standing {
			r.unmarked, r.doubtedTo = max(r.unmarked, rec.refused), maxTime(r.doubtedTo, rec.forgetAt)
			return true
		}
	}
	return false
}

// doubt counts a refusal that leaves no mark.
func (r *Registry[A]) doubt(now time.Time) {
	r.refusals++
	r.unmarked, r.doubtedTo = r.refusals, now.Add(r.limits.MaxDeadline)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (rec *record[A]) decide(digest uint64) Decision[A] {
	switch {
	case rec.digest != digest:
		return refuse[A](outcome.Refused(outcome.Invalid, "the ticket was used for a request with another body"))
	case rec.running:
		return Decision[A]{Action: Join}
	default:
		return Decision[A]{Action: Replay, Outcome: rec.outcome, Answer: rec.answer}
	}
}

func refuse[A any](o outcome.Outcome) Decision[A] { return Decision[A]{Action: Refuse, Outcome: o} }

// queue orders ended records by the time at which they are forgotten.
type queue[A any] []*record[A]

func (q queue[A]) Len() int           { return len(q) }
func (q queue[A]) Less(i, j int) bool { return q[i].forgetAt.Before(q[j].forgetAt) }
func (q queue[A]) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue[A]) Push(x any)        { *q = append(*q, x.(*record[A])) }
func (q *queue[A]) Pop() any {
	last := len(*q) - 1
	rec := (*q)[last]
	(*q)[last], *q = nil, (*q)[:last]
	return rec
}
