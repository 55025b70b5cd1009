package admission_test

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/admission"
	"github.com/lacewingyard/lacewingyard/pkg/balance"
)

// fanOut is a request in the model: it has a part of each shard by its time of answer, or of
// nine in ten shards as soon as it can after it.
type fanOut struct {
	m                  *model
	h                  *modelHost
	k                  *kind
	received, answerBy time.Time
	ticket             admission.Ticket
	parts              int
	ended              bool
	waiting            [modelShards]bool
	end                func(string)
}

func (x *fanOut) offer() {
	if !x.m.limited {
		x.start(admission.Run)
		return
	}
	x.ticket.Request = admission.Request{Class: x.k.name, Priority: x.k.priority, Sends: x.k.shards, Received: x.received, Objective: x.k.objective, AnswerBy: x.answerBy}
	d := x.h.queue.Offer(x.m.now, &x.ticket)
	if d != admission.Wait {
		x.m.settle(x.h)
		x.start(d)
		return
	}
	x.h.waiting[&x.ticket] = x.start
	x.m.settle(x.h)
	x.m.after(x.ticket.Latest.Sub(x.m.now), func() {
		if _, waits := x.h.waiting[&x.ticket]; waits {
			delete(x.h.waiting, &x.ticket)
			x.h.queue.Withdraw(x.m.now, &x.ticket)
			x.m.settle(x.h)
			x.start(admission.Refuse)
		}
	})
}

func (x *fanOut) start(d admission.Decision) {
	if d == admission.Refuse {
		x.end("refused")
		return
	}
	if x.k.shards > 1 && x.h.free(x) < x.k.shards*9/10 {
		if x.m.limited && x.k.priority == 0 && x.m.now.Before(x.received.Add(x.k.objective/4)) {
			x.h.noRoom = x.m.now
			x.m.after(3*time.Millisecond, func() { x.start(d) })
			return
		}
		x.ended = true
		if x.m.limited {
			x.h.queue.Done(x.m.now, &x.ticket, false)
			x.m.settle(x.h)
		}
		x.end("refused")
		return
	}
	first := x.m.rng.IntN(modelShards)
	for i := range x.k.shards {
		x.m.cpu(x.h, sendCPU, func() { x.send((first + i) % modelShards) })
	}
	x.m.after(max(0, x.answerBy.Sub(x.m.now)), func() {
		if !x.ended && x.m.limited {
			x.h.queue.Late(x.m.now, &x.ticket, 10*x.parts < 9*x.k.shards)
			x.m.settle(x.h)
		}
		x.decide()
	})
	x.m.after(x.received.Add(2*time.Second).Sub(x.m.now), func() { x.finish() })
}

// send sends to the least loaded target of a shard that takes a request.
func (x *fanOut) send(shard int) {
	if x.ended {
		return
	}
	best := -1
	for r, t := range x.h.targets[shard] {
		if !x.full(t) && !t.Down(x.m.now) && (best < 0 || t.Cost(x.m.now, x.k.service, 3) < x.h.targets[shard][best].Cost(x.m.now, x.k.service, 3)) {
			best = r
		}
	}
	waits := best < 0 && x.m.now.Before(x.answerBy)
	x.setWaiting(shard, waits)
	if best < 0 {
		if !(x.m.limited && x.h.queue.Contended(x.m.now) && x.m.now.After(x.answerBy)) {
			x.m.after(5*time.Millisecond, func() { x.send(shard) })
		}
		return
	}
	state, target := x.h.targets[shard][best], x.m.targets[shard][best]
	state.Sent(x.m.now)
	switch {
	case target.crashed:
		state.Unreachable(x.m.now)
		x.m.after(time.Millisecond, func() { x.send(shard) })
		return
	case target.busy >= modelSlots && len(target.queue) >= modelQueue:
		state.Refused(x.m.now)
		x.m.after(5*time.Millisecond, func() { x.send(shard) })
		return
	}
	sent := x.m.now
	run := func() {
		target.busy++
		took := time.Duration(float64(x.k.service) * target.slow * (0.7 + 0.6*x.m.rng.Float64()))
		x.m.after(took, func() {
			target.busy--
			if len(target.queue) > 0 {
				next := target.queue[0]
				target.queue = target.queue[1:]
				next()
			}
			x.m.cpu(x.h, answerCPU, func() {
				if x.m.now.Sub(sent) > x.k.objective/2 {
					state.Delayed(x.m.now)
				}
				state.Answered(x.m.now, x.m.now.Sub(sent), x.k.service)
				x.part()
			})
		})
	}
	if target.busy < modelSlots {
		run()
	} else {
		target.queue = append(target.queue, run)
	}
}

func (x *fanOut) part() {
	x.parts++
	if x.m.limited {
		x.h.queue.Part(x.m.now, &x.ticket)
		x.m.settle(x.h)
	}
	x.decide()
}

func (x *fanOut) decide() {
	if x.parts == x.k.shards || !x.m.now.Before(x.answerBy) && 10*x.parts >= 9*x.k.shards {
		x.finish()
	}
}

func (x *fanOut) finish() {
	if x.ended {
		return
	}
	x.ended = true
	for shard := range x.waiting {
		x.setWaiting(shard, false)
	}
	if x.m.limited {
		x.h.queue.Done(x.m.now, &x.ticket, 10*x.parts >= 9*x.k.shards)
		x.m.settle(x.h)
	}
	x.end("answered")
}

// full is the rule of the engine: under overload less urgent requests leave room.
func (x *fanOut) full(t *balance.Target) bool {
	if x.m.limited && x.h.queue.InForce() && x.h.queue.Outranked(x.k.priority) {
		if x.m.now.Sub(x.h.noRoom) < 500*time.Millisecond {
			return t.FullFor(x.m.now, 0.35)
		}
		return t.FullFor(x.m.now, 0.7)
	}
	return t.Full(x.m.now)
}

func (x *fanOut) setWaiting(shard int, waits bool) {
	if x.waiting[shard] != waits && x.k.shards > 1 {
		x.waiting[shard] = waits
		x.h.waits[shard][x.k.priority] += map[bool]int{true: 1, false: -1}[waits]
	}
}

// free returns the number of shards with a target that takes a request at once and for which
// none waits that is as urgent, or any with the rule before.
func (h *modelHost) free(x *fanOut) (n int) {
	for s := range h.targets {
		waits := h.waits[s][0]
		if !x.m.limited || x.k.priority > 0 {
			waits += h.waits[s][1]
		}
		for _, t := range h.targets[s] {
			if waits == 0 && !x.full(t) && !t.Down(x.m.now) {
				n++
				break
			}
		}
	}
	return n
}
