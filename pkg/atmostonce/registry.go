package atmostonce

import (
	"container/heap"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// Action says what the caller of Begin is to do with a request.
type Action uint8

// Actions.
const (
	Refuse  Action = iota // answer with Decision.Outcome, NotRun or Unknown; do not run the request
	Run                   // run the request, then call Finish
	Join                  // wait for the result of the run in progress
	Replay                // answer with Decision.Outcome and Decision.Answer
	Confirm               // ask the sender whether it still waits, then call Begin again
)

// Decision is the result of Registry.Begin or HandoverStore.Decide.
type Decision[A any] struct {
	Action  Action
	Outcome outcome.Outcome
	Answer  A
	// Refusals is set with Confirm: the registry's number of refusals, to be passed to
	// Begin as confirmed once the sender has confirmed that it still waits.
	Refusals uint64
}

// Limits bounds a Registry or a HandoverStore.
type Limits struct {
	MaxRecords  int           // maximum number of requests remembered at a time
	MaxTTL      time.Duration // longest lifetime of a ticket
	MaxDeadline time.Duration // longest deadline of a request; records outlive their tickets by this
}

// Registry keeps the records of the requests of one host incarnation. A is the
// type of an answer.
type Registry[A any] struct {
	host        string
	incarnation uint64
	limits      Limits
	closed      bool
	latest      time.Time // latest time seen; never decreases, even if the clock does
	records     map[string]*record[A]
	finished    expiryHeap[A]
	markers     []*record[A] // refusal markers, oldest first; some have been replaced by a run

	refusalCount    uint64    // refusals after which a resend may run, so far; numbers the refusals
	lastUnmarked    uint64    // highest number of a refusal that has no marker in records
	confirmAllUntil time.Time // until then, sends from before that refusal may be in flight
}

// record is the state of one request: a run or a refusal marker.
type record[A any] struct {
	id         string
	digest     uint64
	expiresAt  time.Time
	running    bool
	refusalSeq uint64 // the number of the refusal if this is a refusal marker, else 0
	outcome    outcome.Outcome
	answer     A
}

// NewRegistry returns an empty registry of a host incarnation.
func NewRegistry[A any](host string, incarnation uint64, limits Limits) *Registry[A] {
	return &Registry[A]{host: host, incarnation: incarnation, limits: limits, records: map[string]*record[A]{}}
}

// Issue returns a ticket for this incarnation that expires after ttl, or after
// Limits.MaxTTL if that is shorter.
func (r *Registry[A]) Issue(now time.Time, ttl time.Duration) Ticket {
	now = r.advance(now)
	return Ticket{Host: r.host, Incarnation: r.incarnation, Expiry: now.Add(min(ttl, r.limits.MaxTTL)).Truncate(time.Millisecond)}
}

// Begin decides what to do with a request. digest identifies the request's body.
//
// After "not run" a resend may run, but an earlier send that is still in flight
// must not, because its caller was told that the request did not run. Begin cannot
// distinguish the two and returns Confirm. The caller of an earlier send gave up
// waiting before it sent again, so only the sender of the resend confirms.
// confirmed is 0, or the Refusals of the Confirm that the sender has answered.
func (r *Registry[A]) Begin(now time.Time, id ID, digest, confirmed uint64) Decision[A] {
	now = r.advance(now)
	r.expire(now)
	if o, foreign := r.checkHome(id); foreign {
		return refuse[A](o)
	}
	key := id.String()
	rec, ok := r.records[key]
	if ok && rec.refusalSeq == 0 {
		return rec.decide(digest)
	}
	if refusal, refused := r.checkNew(now, id.Ticket.Expiry, ok); refused {
		return refuse[A](refusal)
	}
	lastRefusal := uint64(0)
	if ok {
		lastRefusal = rec.refusalSeq
	}
	if now.Before(r.confirmAllUntil) {
		lastRefusal = max(lastRefusal, r.lastUnmarked)
	}
	if lastRefusal > confirmed {
		return Decision[A]{Action: Confirm, Refusals: r.refusalCount}
	}
	r.records[key] = &record[A]{id: key, digest: digest, expiresAt: id.Ticket.Expiry.Add(r.limits.MaxDeadline), running: true}
	return Decision[A]{Action: Run}
}

// RecordRefusal returns the outcome of a request that the host itself refuses
// before Begin. The outcome is o, which must be "not run", and a refusal marker is
// left: a later send runs only if its sender confirms, as after a Finish with "not
// run". No marker is left in two cases. If an earlier send may have run, the outcome
// is o as "unknown". If the ticket is of another home, or Begin would refuse the
// request too, the outcome is the one with which Begin refuses.
func (r *Registry[A]) RecordRefusal(now time.Time, id ID, o outcome.Outcome) outcome.Outcome {
	now = r.advance(now)
	r.expire(now)
	if unknown, foreign := r.checkHome(id); foreign {
		return unknown
	}
	key := id.String()
	rec, ok := r.records[key]
	if ok && rec.refusalSeq == 0 {
		return o.AsUnknown("an earlier send of the request may have run")
	}
	if refusal, refused := r.checkNew(now, id.Ticket.Expiry, ok); refused {
		return refusal
	}
	rec = &record[A]{id: key}
	r.records[key] = rec
	r.markRefused(now, rec)
	return o
}

// Recorded reports whether a run of a request is recorded, in progress or finished, so that
// Begin starts no other.
func (r *Registry[A]) Recorded(now time.Time, id ID) bool {
	r.expire(r.advance(now))
	rec, ok := r.records[id.String()]
	return ok && rec.refusalSeq == 0
}

// checkHome returns Unknown and true for a ticket that names another host or
// incarnation, which may have run the request.
func (r *Registry[A]) checkHome(id ID) (outcome.Outcome, bool) {
	if id.Ticket.Host == r.host && id.Ticket.Incarnation == r.incarnation {
		return outcome.Outcome{}, false
	}
	return outcome.Uncertain(outcome.Unavailable, "the ticket names incarnation %d of host %s, this is incarnation %d of %s",
		id.Ticket.Incarnation, id.Ticket.Host, r.incarnation, r.host), true
}

// checkNew returns an outcome and true if a request of which no run is recorded must
// not run: Unknown if its record may have been deleted, else NotRun. marked says
// whether the request has a refusal marker.
func (r *Registry[A]) checkNew(now, expiry time.Time, marked bool) (outcome.Outcome, bool) {
	switch {
	case !now.Before(expiry.Add(r.limits.MaxDeadline)):
		return outcome.Uncertain(outcome.Deadline, "the ticket expired %s ago and its record is no longer kept", now.Sub(expiry).Round(time.Second)), true
	case !now.Before(expiry):
		// A run would have left a record, so the request did not run.
		return outcome.Refused(outcome.Invalid, "the ticket has expired"), true
	case r.closed:
		return outcome.Refused(outcome.Draining, "host %s is stopping; a new ticket is needed", r.host), true
	case expiry.After(now.Add(r.limits.MaxTTL)):
		r.countUnmarked(now)
		return outcome.Refused(outcome.Invalid, "the ticket expires later than any that this host issues"), true
	case !marked && len(r.records) >= r.limits.MaxRecords && !r.evictMarker():
		r.countUnmarked(now)
		return outcome.Refused(outcome.Overload, "the request table is full"), true
	}
	return outcome.Outcome{}, false
}

// Finish records the result of a request that Begin let run. After a definitive
// "not run" the request may run again. Finish returns false if the request is not
// running.
func (r *Registry[A]) Finish(now time.Time, id ID, o outcome.Outcome, answer A) bool {
	now = r.advance(now)
	rec, ok := r.records[id.String()]
	if !ok || !rec.running {
		return false
	}
	rec.running = false
	if o.DidNotRun() {
		r.markRefused(now, rec)
		return true
	}
	rec.outcome, rec.answer = o, answer
	heap.Push(&r.finished, rec)
	return true
}

// ResolveUnknown replaces the recorded outcome of a request by an answer that
// another host has. It returns false unless the recorded outcome is unknown, the
// digest is the same and o is an answer.
func (r *Registry[A]) ResolveUnknown(id ID, digest uint64, o outcome.Outcome, answer A) bool {
	rec, ok := r.records[id.String()]
	if !ok || rec.running || rec.refusalSeq > 0 || rec.digest != digest || rec.outcome.Kind != outcome.Unknown || o.Kind != outcome.Answered {
		return false
	}
	rec.outcome, rec.answer = o, answer
	return true
}

// markRefused turns a record into a refusal marker.
func (r *Registry[A]) markRefused(now time.Time, rec *record[A]) {
	r.refusalCount++
	rec.refusalSeq = r.refusalCount
	// No send from before the refusal is still in flight after MaxDeadline.
	rec.expiresAt = now.Add(r.limits.MaxDeadline)
	// At most MaxRecords markers are in force. The list also holds those that a run or
	// a later refusal has replaced, and may grow by as many before the oldest is evicted.
	if r.markers = append(r.markers, rec); len(r.markers) > 2*r.limits.MaxRecords {
		r.evictMarker()
	}
}

// Len returns the number of records, refusal markers included.
func (r *Registry[A]) Len() int { return len(r.records) }

// advance returns the latest time seen. If time went backwards with the clock, a
// ticket whose record is deleted could become valid again, and its request could
// run twice.
func (r *Registry[A]) advance(now time.Time) time.Time {
	// Round strips the monotonic clock reading: expiries are wall-clock times.
	if now = now.Round(0); now.After(r.latest) {
		r.latest = now
	}
	return r.latest
}

// expire deletes the records that have expired. Running requests are kept.
func (r *Registry[A]) expire(now time.Time) {
	for len(r.markers) > 0 && (!r.markerInForce(r.markers[0]) || !now.Before(r.markers[0].expiresAt)) {
		r.popMarker()
	}
	for len(r.finished) > 0 && !now.Before(r.finished[0].expiresAt) {
		delete(r.records, heap.Pop(&r.finished).(*record[A]).id)
	}
}

// markerInForce reports whether a refusal marker is still in force. A run of the
// request replaces the marker.
func (r *Registry[A]) markerInForce(rec *record[A]) bool { return r.records[rec.id] == rec }

func (r *Registry[A]) popMarker() {
	if rec := r.markers[0]; r.markerInForce(rec) {
		delete(r.records, rec.id)
	}
	r.markers = r.markers[1:]
}

// evictMarker makes room by deleting the oldest refusal marker, and returns false
// if there is none. Every request without a record then has to be confirmed until
// that marker would have expired.
func (r *Registry[A]) evictMarker() bool {
	for len(r.markers) > 0 {
		rec := r.markers[0]
		inForce := r.markerInForce(rec)
		r.popMarker()
		if inForce {
			r.lastUnmarked, r.confirmAllUntil = max(r.lastUnmarked, rec.refusalSeq), maxTime(r.confirmAllUntil, rec.expiresAt)
			return true
		}
	}
	return false
}

// countUnmarked counts a refusal that leaves no marker. Every request without a
// record then has to be confirmed for the maximum deadline.
func (r *Registry[A]) countUnmarked(now time.Time) {
	r.refusalCount++
	r.lastUnmarked, r.confirmAllUntil = r.refusalCount, now.Add(r.limits.MaxDeadline)
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

// refuse returns the decision to answer with o, NotRun or Unknown, without a run.
func refuse[A any](o outcome.Outcome) Decision[A] { return Decision[A]{Action: Refuse, Outcome: o} }

// expiryHeap is a heap of finished records, ordered by expiry.
type expiryHeap[A any] []*record[A]

func (h expiryHeap[A]) Len() int           { return len(h) }
func (h expiryHeap[A]) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }
func (h expiryHeap[A]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap[A]) Push(x any)        { *h = append(*h, x.(*record[A])) }
func (h *expiryHeap[A]) Pop() any {
	last := len(*h) - 1
	rec := (*h)[last]
	(*h)[last], *h = nil, (*h)[:last]
	return rec
}
