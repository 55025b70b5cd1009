package limit

import (
	"time"
)

// Class is a priority class; a lower value is served first.
type Class uint8

// Priority classes, highest first.
const (
	Critical Class = iota
	Interactive
	Batch
	classes = 3
)

func (c Class) index() int { return min(int(c), classes-1) }

// entry is a waiting request.
type entry[T any] struct {
	item     T
	deadline time.Time
	removed  bool // removed by queue.remove; skipped by the pop methods
}

// queue holds waiting requests, first in, first out within a class.
type queue[T any] struct {
	classQueues [classes]fifo[T]
	size        int
}

// fifo is a first-in, first-out queue that reuses its memory.
type fifo[T any] struct {
	entries []entry[T]
	head    int
	size    int
}

func (l *fifo[T]) push(e entry[T]) {
	if l.head > 0 && len(l.entries) == cap(l.entries) {
		n := copy(l.entries, l.entries[l.head:])
		clear(l.entries[n:])
		l.entries, l.head = l.entries[:n], 0
	}
	l.entries = append(l.entries, e)
	l.size++
}

// popFirst removes and returns the oldest request.
func (l *fifo[T]) popFirst() (entry[T], bool) {
	for l.head < len(l.entries) {
		e := l.entries[l.head]
		l.entries[l.head] = entry[T]{}
		l.head++
		if !e.removed {
			l.size--
			return e, true
		}
	}
	l.entries, l.head = l.entries[:0], 0
	return entry[T]{}, false
}

// popLast removes and returns the newest request.
func (l *fifo[T]) popLast() (entry[T], bool) {
	for len(l.entries) > l.head {
		last := len(l.entries) - 1
		e := l.entries[last]
		l.entries[last] = entry[T]{}
		l.entries = l.entries[:last]
		if !e.removed {
			l.size--
			return e, true
		}
	}
	return entry[T]{}, false
}

func (q *queue[T]) push(class Class, e entry[T]) {
	q.classQueues[class.index()].push(e)
	q.size++
}

func (q *queue[T]) popFirst() (entry[T], bool) {
	for i := range q.classQueues {
		if e, ok := q.classQueues[i].popFirst(); ok {
			q.size--
			return e, true
		}
	}
	return entry[T]{}, false
}

// evictBelow removes and returns the newest request of the lowest class that has
// one, if that class is below the given one.
func (q *queue[T]) evictBelow(class Class) (entry[T], bool) {
	for i := classes - 1; i > class.index(); i-- {
		if e, ok := q.classQueues[i].popLast(); ok {
			q.size--
			return e, true
		}
	}
	return entry[T]{}, false
}

// remove drops the first request for which match holds.
func (q *queue[T]) remove(match func(T) bool) bool {
	for i := range q.classQueues {
		l := &q.classQueues[i]
		for k := l.head; k < len(l.entries); k++ {
			if e := &l.entries[k]; !e.removed && match(e.item) {
				*e = entry[T]{removed: true}
				l.size--
				q.size--
				return true
			}
		}
	}
	return false
}

// ahead returns the number of waiting requests that are served before a new one
// of the class.
func (q *queue[T]) ahead(class Class) int {
	n := 0
	for i := 0; i <= class.index(); i++ {
		n += q.classQueues[i].size
	}
	return n
}
