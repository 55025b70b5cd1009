package engine

import (
	"context"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/gather"
)

// waitKey identifies the shards of requests of one priority that wait for a target of a
// service.
type waitKey struct {
	service string
	level   int
}

// setWaiting sets whether a shard of a fan-out waits for a target that takes a request.
func (x *execution) setWaiting(s *shard, waiting bool) {
	if s.waiting == waiting || len(x.shards) == 1 {
		return
	}
	s.waiting = waiting
	key := waitKey{s.service, x.ticket.Level()}
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	if waiting {
		x.e.waiting[key]++
	} else if x.e.waiting[key]--; x.e.waiting[key] == 0 {
		delete(x.e.waiting, key)
	}
}

// othersWait reports whether shards of requests that are at least as urgent wait for a target
// of a service. The engine's lock must be held.
func (x *execution) othersWait(service string) bool {
	if len(x.e.waiting) == 0 {
		return false
	}
	for level := range x.ticket.Level() + 1 {
		if x.e.waiting[waitKey{service, level}] > 0 {
			return true
		}
	}
	return false
}

// full reports whether a target takes no more requests of this host of the priority of the
// execution. Under overload less urgent requests leave a part of what the target took lately
// to more urgent ones. The engine's lock must be held.
func (x *execution) full(t *target, now time.Time) bool {
	if x.yields(t.service, now) {
		share := yieldingShare
		if now.Sub(x.e.noRoom) < scarceTime {
			share = scarceShare
		}
		return t.state.FullFor(now, share)
	}
	return t.state.Full(now)
}

// awaitRoom decides whether a fan-out begins. One that no more urgent requests compete with
// waits a short time until enough shards take a request: queues of targets are that long.
func (x *execution) awaitRoom(ctx context.Context) (verdict gather.Admission, free int) {
	until := x.r.Received.Add(x.route.Objective / roomWaitDivisor)
	for {
		now := time.Now()
		reachable, free := x.available(now)
		verdict := gather.Admit(x.progress(), reachable, free)
		if verdict != gather.Overloaded || !now.Before(until) || !x.mostUrgent() {
			return verdict, free
		}
		x.e.mu.Lock()
		x.e.noRoom = now
		x.e.mu.Unlock()
		select {
		case <-time.After(busyRetryDelay):
		case <-ctx.Done():
			return verdict, free
		case <-x.e.abandoned:
			return verdict, free
		}
	}
}

// available returns the number of shards with a target that may get a request, and of
// those with one that takes a request at once. A shard for which other requests wait that are
// at least as urgent takes none.
func (x *execution) available(now time.Time) (reachable, free int) {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	for i := range x.shards {
		service := x.shards[i].service
		usable, takes := false, false
		for _, entry := range x.view.Usable(service) {
			t := x.e.targets[entry.ID]
			if t == nil || t.wrongTarget || t.state.Down(now) || !x.e.coldSendAllowed(t, now) {
				continue
			}
			decision := x.e.decide(t, now)
			if decision.Wait > 0 {
				x.shards[i].postpone(now.Add(decision.Wait))
			}
			usable = usable || decision.Allowed || decision.Wait > 0
			takes = takes || decision.Allowed && !x.full(t, now)
		}
		if usable {
			reachable++
		}
		if takes {
			x.shards[i].notBefore = time.Time{}
		}
		if takes && !x.othersWait(service) {
			free++
		}
	}
	return reachable, free
}

// enoughAfter returns how long it takes until enough shards have a target that wants a request
// of this host, if targets said when they do; free shards have one now.
func (x *execution) enoughAfter(now time.Time, free int) time.Duration {
	var waits []time.Duration
	for i := range x.shards {
		if s := &x.shards[i]; !s.notBefore.IsZero() {
			waits = append(waits, s.notBefore.Sub(now))
		}
	}
	slices.Sort(waits)
	missing := x.progress().Required() - free
	if missing <= 0 || len(waits) == 0 {
		return 0
	}
	return waits[min(missing, len(waits))-1]
}

// overloadRetryAfter returns the shortest retry delay of a caller whose fan-out is refused
// for load; the longest is twice as long. The delays spread over much of the time that
// the caller has left, because an overload lasts longer than a queue.
func (x *execution) overloadRetryAfter() time.Duration {
	return max(minRetryAfter, time.Until(x.deadline)/overloadRetryDivisor)
}

// retryAfter returns the shortest retry delay of a caller whose request no target took: the
// time until one takes requests of this host again, if targets said so.
func (x *execution) retryAfter(now time.Time) time.Duration {
	after := outageRetryAfter
	for i := range x.shards {
		if s := &x.shards[i]; s.notBefore.Sub(now) > after {
			after = s.notBefore.Sub(now)
		}
	}
	return after
}
