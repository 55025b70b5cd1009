package limit

import (
	"errors"
	"time"
)

// Errors of Offer. Both mean that the request did not run.
var (
	// ErrFull says that the queue is full of requests of the same or a higher class.
	ErrFull = errors.New("queue is full")
	// ErrTooLate says that the deadline is sooner than the expected wait plus service time.
	ErrTooLate = errors.New("deadline cannot be met")
)

// serviceWeight is the weight of a new service time. 1/8 follows a change of
// load within some ten answers and does not follow a single straggler.
const serviceWeight = 0.125

// serviceMemory is how long a service time counts without a new answer. An
// estimate above the deadlines would otherwise refuse every request for good,
// because no answer could correct it.
const serviceMemory = time.Second

// Limiter hands out one owner's share of a target's slots. T identifies a
// request.
type Limiter[T any] struct {
	slots   int
	inUse   int
	limit   int // longest queue
	queue   queue[T]
	service time.Duration // smoothed service time; 0 before the first answer
	served  time.Time     // time of the last answer
}

// NewLimiter returns a limiter for a number of slots whose queue holds at most
// queueLimit requests.
func NewLimiter[T any](slots, queueLimit int) *Limiter[T] {
	return &Limiter[T]{slots: slots, limit: queueLimit}
}

// Resize changes the number of slots, for instance while a target is cold.
// Slots in use above it are not taken back; they are not handed out again.
func (l *Limiter[T]) Resize(slots int) { l.slots = slots }

// SetQueueLimit changes the longest queue; waiting requests stay.
func (l *Limiter[T]) SetQueueLimit(n int) { l.limit = n }

// Slots returns the number of slots.
func (l *Limiter[T]) Slots() int { return l.slots }

// InUse returns the number of slots in use.
func (l *Limiter[T]) InUse() int { return l.inUse }

// Waiting returns the number of requests in the queue.
func (l *Limiter[T]) Waiting() int { return l.queue.size }

// ServiceTime returns the smoothed service time, 0 if none is known.
func (l *Limiter[T]) ServiceTime(now time.Time) time.Duration {
	if now.Sub(l.served) > serviceMemory {
		return 0
	}
	return l.service
}

// Offer queues a request; Next hands it out. evicted is a request of a lower
// class that lost its place and did not run. err is ErrFull or ErrTooLate.
func (l *Limiter[T]) Offer(now time.Time, item T, class Class, deadline time.Time) (evicted *T, err error) {
	if now.Add(l.ExpectedLatency(now, class)).After(deadline) {
		return nil, ErrTooLate
	}
	free := l.inUse+l.queue.size < l.slots // the queue is only passed through
	if !free && l.queue.size >= l.limit {
		e, ok := l.queue.evictBelow(class)
		if !ok {
			return nil, ErrFull
		}
		evicted = &e.item
	}
	l.queue.push(class, entry[T]{item: item, deadline: deadline})
	return evicted, nil
}

// ExpectedLatency returns the time until a new request of the class would be
// answered: its place in the queue over the slots, plus the service time.
// The wait follows from the queue rather than from earlier waits, which lag
// behind a burst by one queue length.
func (l *Limiter[T]) ExpectedLatency(now time.Time, class Class) time.Duration {
	service := l.ServiceTime(now)
	if l.inUse+l.queue.size < l.slots || l.slots <= 0 {
		return service
	}
	turns := float64(l.queue.ahead(class)+1) / float64(l.slots)
	return service + time.Duration(turns*float64(service))
}

// Next hands out a slot. expired is true if the request's deadline leaves no
// time for the service: it gets no slot and did not run. ok is false if no
// request waits or no slot is free.
func (l *Limiter[T]) Next(now time.Time) (item T, expired, ok bool) {
	if l.inUse >= l.slots {
		return item, false, false
	}
	e, ok := l.queue.popFirst()
	if !ok {
		return item, false, false
	}
	if now.Add(l.ServiceTime(now)).After(e.deadline) {
		return e.item, true, true
	}
	l.inUse++
	return e.item, false, true
}

// Remove drops a waiting request whose caller gave up. It reports false if the
// request does not wait.
func (l *Limiter[T]) Remove(match func(T) bool) bool { return l.queue.remove(match) }

// Drain removes and returns every waiting request; none of them ran.
func (l *Limiter[T]) Drain() []T {
	items := make([]T, 0, l.queue.size)
	for {
		e, ok := l.queue.popFirst()
		if !ok {
			return items
		}
		items = append(items, e.item)
	}
}

// Release returns a slot. The target must have ended the request: after a
// cancellation the target may be busy with it for a moment longer.
func (l *Limiter[T]) Release() {
	if l.inUse == 0 {
		panic("limit: release without a slot in use")
	}
	l.inUse--
}

// ObserveServiceTime records the service time of an answer.
func (l *Limiter[T]) ObserveServiceTime(now time.Time, took time.Duration) {
	known := l.ServiceTime(now) > 0
	l.served = now
	if !known {
		l.service = took
		return
	}
	l.service += time.Duration(serviceWeight * float64(took-l.service))
}
