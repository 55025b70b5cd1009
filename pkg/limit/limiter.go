package limit

import (
	"errors"
	"time"
)

// Errors of Offer. Both mean that the request did not run.
var (
	// ErrFull means that the queue is full of requests of the same or a higher class.
	ErrFull = errors.New("queue is full")
	// ErrTooLate means that the deadline is earlier than the expected wait plus service time.
	ErrTooLate = errors.New("deadline cannot be met")
)

// serviceTimeWeight is the weight of a new sample in the moving average of the
// service time. 1/8 follows a change of load within some ten answers but not a
// single straggler.
const serviceTimeWeight = 0.125

// serviceTimeTTL is how long the estimated service time is used without a new
// answer. An estimate above all deadlines would otherwise refuse every request
// for good, because no answer could correct it.
const serviceTimeTTL = time.Second

// Limiter assigns one owner's share of a target's slots to queued requests. T
// identifies a request. Limiter is not safe for concurrent use.
type Limiter[T any] struct {
	slots       int
	inUse       int
	queueLimit  int // maximum length of the queue
	queue       queue[T]
	serviceTime time.Duration // moving average; 0 before the first answer
	lastAnswer  time.Time     // time of the last answer
}

// NewLimiter returns a limiter for a number of slots whose queue holds at most
// queueLimit requests.
func NewLimiter[T any](slots, queueLimit int) *Limiter[T] {
	return &Limiter[T]{slots: slots, queueLimit: queueLimit}
}

// Resize sets the number of slots, for instance while a target is cold. Requests
// in excess of the new number keep their slots until they end.
func (l *Limiter[T]) Resize(slots int) { l.slots = slots }

// SetQueueLimit sets the maximum length of the queue; waiting requests stay.
func (l *Limiter[T]) SetQueueLimit(n int) { l.queueLimit = n }

// Slots returns the number of slots.
func (l *Limiter[T]) Slots() int { return l.slots }

// InUse returns the number of slots in use.
func (l *Limiter[T]) InUse() int { return l.inUse }

// Waiting returns the number of requests in the queue.
func (l *Limiter[T]) Waiting() int { return l.queue.size }

// ServiceTime returns the moving average of the service time, 0 if no answer
// arrived in the last second.
func (l *Limiter[T]) ServiceTime(now time.Time) time.Duration {
	if now.Sub(l.lastAnswer) > serviceTimeTTL {
		return 0
	}
	return l.serviceTime
}

// Offer queues a request, to be returned by Next. evicted is a waiting request of
// a lower class that was removed to make room and did not run. err is ErrFull or
// ErrTooLate.
func (l *Limiter[T]) Offer(now time.Time, item T, class Class, deadline time.Time) (evicted *T, err error) {
	if now.Add(l.ExpectedLatency(now, class)).After(deadline) {
		return nil, ErrTooLate
	}
	free := l.inUse+l.queue.size < l.slots // Next can return the request at once
	if !free && l.queue.size >= l.queueLimit {
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
// answered: the wait given by its position in the queue and the number of slots,
// plus the service time. The wait is not estimated from earlier waits, because
// those lag behind a burst by one queue length.
func (l *Limiter[T]) ExpectedLatency(now time.Time, class Class) time.Duration {
	serviceTime := l.ServiceTime(now)
	if l.inUse+l.queue.size < l.slots || l.slots <= 0 {
		return serviceTime
	}
	rounds := float64(l.queue.ahead(class)+1) / float64(l.slots)
	return serviceTime + time.Duration(rounds*float64(serviceTime))
}

// Next removes the first waiting request of the highest class and assigns it a
// slot, which the caller returns with Release. If expired is true, the deadline
// leaves no time for the service: the request has no slot and did not run. ok is
// false if no request waits or no slot is free.
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

// Remove drops the first waiting request that matches, for instance because its
// caller canceled it. It reports false if none does.
func (l *Limiter[T]) Remove(match func(T) bool) bool { return l.queue.remove(match) }

// Drain removes and returns all waiting requests, none of which ran.
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

// Release returns a slot. The caller must wait until the target has ended the
// request, which may be some time after a cancellation. Release panics if no slot
// is in use.
func (l *Limiter[T]) Release() {
	if l.inUse == 0 {
		panic("limit: release without a slot in use")
	}
	l.inUse--
}

// ObserveServiceTime records the time that the target took for an answer, without
// the wait for a slot.
func (l *Limiter[T]) ObserveServiceTime(now time.Time, took time.Duration) {
	known := l.ServiceTime(now) > 0
	l.lastAnswer = now
	if !known {
		l.serviceTime = took
		return
	}
	l.serviceTime += time.Duration(serviceTimeWeight * float64(took-l.serviceTime))
}
