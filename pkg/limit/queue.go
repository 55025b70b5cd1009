package limit

import (
	"time"
)

// Class is a priority class; a lower value is served first.
type Class uint8

// Classes.
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
	dead     bool // removed before its turn
}

// queue holds waiting requests, first in, first out within a class.
type queue[T any] struct {
	lists [classes]list[T]
	size  int
}

// list is a first-in, first-out list that reuses its memory.
type list[T any] struct {
	entries []entry[T]
	head    int
	live    int
}

func (l *list[T]) push(e entry[T]) {
	if l.head > 0 && len(l.entries) == cap(l.entries) {
		n := copy(l.entries, l.entries[l.head:])
		clear(l.entries[n:])
		l.entries, l.head = l.entries[:n], 0
	}
	l.entries = append(l.entries, e)
	l.live++
}

// popFirst removes the request that waited longest.
func (l *list[T]) popFirst() (entry[T], bool) {
	for l.head < len(l.entries) {
		e := l.entries[l.head]
		l.entries[l.head] = entry[T]{}
		l.head++
		if !e.dead {
			l.live--
			return e, true
		}
	}
	l.entries, l.head = l.entries[:0], 0
	return entry[T]{}, false
}

// popLast removes the request that came last.
func (l *list[T]) popLast() (entry[T], bool) {
	for len(l.entries) > l.head {
		last := len(l.entries) - 1
		e := l.entries[last]
		l.entries[last] = entry[T]{}
		l.entries = l.entries[:last]
		if !e.dead {
			l.live--
			return e, true
		}
	}
	return entry[T]{}, false
}

func (q *queue[T]) push(class Class, e entry[T]) {
	q.lists[class.index()].push(e)
	q.size++
}

func (q *queue[T]) popFirst() (entry[T], bool) {
	for i := range q.lists {
		if e, ok := q.lists[i].popFirst(); ok {
			q.size--
			return e, true
		}
	}
	return entry[T]{}, false
}

// evictBelow removes the newest request of the lowest class below class.
func (q *queue[T]) evictBelow(class Class) (entry[T], bool) {
	for i := classes - 1; i > class.index(); i-- {
		if e, ok := q.lists[i].popLast(); ok {
			q.size--
			return e, true
		}
	}
	return entry[T]{}, false
}

// remove drops the first request for which match holds.
func (q *queue[T]) remove(match func(T) bool) bool {
	for i := range q.lists {
		l := &q.lists[i]
		for k := l.head; k < len(l.entries); k++ {
			if e := &l.entries[k]; !e.dead && match(e.item) {
				*e = entry[T]{dead: true}
				l.live--
				q.size--
				return true
			}
		}
	}
	return false
}

// ahead returns the number of requests served before a new one of the class.
func (q *queue[T]) ahead(class Class) int {
	n := 0
	for i := 0; i <= class.index(); i++ {
		n += q.lists[i].live
	}
	return n
}
