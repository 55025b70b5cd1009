package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// slownessGain is the weight of one answer in the logarithm of a target's
	// slowness. One answer that a pause held up for ten service times then adds a
	// third, less than the way to another place costs; a target that stays slow is
	// left after two or three.
	slownessGain = 0.12
	// forgetAfter is the time constant with which a judgement fades while a target
	// gets no work, so that it is tried again.
	forgetAfter = 3 * time.Second
	// failureGain is the weight of one result in a target's failure rate.
	failureGain = 0.25
	// failureCost is the cost of a failed attempt in expected service times: the
	// repeat starts from the beginning and needs a token.
	failureCost = 4.0
	// refusalCost is the cost of a refused attempt: a round trip and a token.
	refusalCost = 2.5
	// stallFactor is the number of expected service times without any answer after
	// which a target with outstanding requests counts as stalled.
	stallFactor = 2.5
	// stallFloor keeps short service times from turning jitter into stalls.
	stallFloor = 12 * time.Millisecond
	// minBackoff and maxBackoff bound the time for which a target that cannot be
	// reached is left alone.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// refusedBackoff is the time for which a target that refused for load gets
	// less work.
	refusedBackoff = 60 * time.Millisecond
	// maxSharers bounds the number of hosts whose requests are taken to be
	// outstanding at the same time as this host's.
	maxSharers = 3
	// maxSlowness bounds the effect of one extreme answer.
	maxSlowness = 30.0
	// jitter breaks ties between equal targets, in expected service times.
	jitter = 0.15
)

// Target is what one host has learned about one target.
type Target struct {
	Slots int // requests that the target runs at a time

	outstanding int
	waitingFrom time.Time // since when an outstanding request has seen no answer
	answered    time.Time // last sign of life
	slowness    float64   // logarithm of the service time relative to the expected one
	measured    time.Time // when slowness was last measured
	failures    float64   // recent fraction of failed requests
	judged      time.Time // time of the last result
	unreachable int       // connection failures in a row
	avoidUntil  time.Time
	refused     time.Time // when it last refused for load
	refusals    float64   // recent fraction of refused requests
}

// NewTarget returns the state of a target of which nothing is known.
func NewTarget(slots int) *Target { return &Target{Slots: max(1, slots)} }

// Outstanding returns the number of requests without a result.
func (t *Target) Outstanding() int { return t.outstanding }

// Sent records that a request goes out.
func (t *Target) Sent(now time.Time) {
	if t.outstanding == 0 {
		t.waitingFrom = now
	}
	t.outstanding++
}

func (t *Target) ended(now time.Time) {
	t.outstanding--
	t.waitingFrom = now
}

// Answered records a success after a service time, with the usual time of
// requests of its kind.
func (t *Target) Answered(now time.Time, took, expected time.Duration) {
	t.ended(now)
	t.answered = now
	t.unreachable, t.avoidUntil = 0, time.Time{}
	t.failures *= 1 - failureGain
	t.refusals *= 1 - failureGain
	t.measure(now, took, expected)
}

// measure takes a service time into the slowness. Requests that were on their way
// together met the same pause, so that only the first of them counts.
func (t *Target) measure(now time.Time, took, expected time.Duration) {
	if now.Add(-took).Before(t.measured) && took > 2*expected {
		return
	}
	ratio := float64(took) / float64(max(expected, time.Millisecond))
	sample := math.Log(min(maxSlowness, max(1/maxSlowness, ratio)))
	current := t.slowness * t.fade(now)
	t.slowness = current + slownessGain*(sample-current)
	t.measured, t.judged = now, now
}

// Failed records a request that ran, or may have run, without a usable answer.
func (t *Target) Failed(now time.Time) {
	t.ended(now)
	t.failures += failureGain * (1 - t.failures)
	t.judged = now
}

// Refused records that the target did not run a request for lack of room.
func (t *Target) Refused(now time.Time) {
	t.ended(now)
	t.answered = now
	t.unreachable, t.avoidUntil = 0, time.Time{}
	t.refused, t.judged = now, now
	t.refusals += failureGain * (1 - t.refusals)
}

// TimedOut records a request that got no answer within the time that it waited. A
// target that gave no sign of life all the while counts as unreachable.
func (t *Target) TimedOut(now time.Time, waited time.Duration) {
	if now.Sub(t.answered) >= waited {
		t.Unreachable(now)
		return
	}
	t.Failed(now)
}

// Unreachable records that no connection could be opened or that one ended
// without a byte. The target is left alone for a time that doubles.
func (t *Target) Unreachable(now time.Time) {
	t.ended(now)
	backoff := min(maxBackoff, minBackoff<<min(t.unreachable, 8))
	t.unreachable++
	t.avoidUntil, t.judged = now.Add(backoff), now
}

// Canceled records that a request was given up after waiting for it, which
// bounds its service time from below.
func (t *Target) Canceled(now time.Time, waited, expected time.Duration) {
	since := t.waitingFrom
	t.ended(now)
	if t.outstanding > 0 {
		t.waitingFrom = since // nothing came back
	}
	if float64(waited) > t.current(now)*float64(expected) {
		t.measure(now, waited, expected)
	}
}

// Inconclusive records the end of a request that says nothing about the target.
func (t *Target) Inconclusive(now time.Time) { t.ended(now) }

// current returns the slowness, faded by the time without results.
func (t *Target) current(now time.Time) float64 {
	return math.Exp(t.slowness * t.fade(now))
}

func (t *Target) fade(now time.Time) float64 {
	if t.judged.IsZero() {
		return 0
	}
	return math.Exp(-float64(now.Sub(t.judged)) / float64(forgetAfter))
}

// Down reports whether the target is left alone because it was not reached. After
// the pause one request at a time tries whether it answers again.
func (t *Target) Down(now time.Time) bool {
	return now.Before(t.avoidUntil) || t.unreachable > 0 && t.outstanding > 0
}

// Reachable reports whether the last attempt reached the target.
func (t *Target) Reachable() bool { return t.unreachable == 0 }

// Stalled reports whether requests are outstanding and nothing has come back for
// much longer than usual.
func (t *Target) Stalled(now time.Time, expected time.Duration) bool {
	if t.outstanding == 0 {
		return false
	}
	limit := time.Duration(stallFactor * t.current(now) * float64(expected))
	return now.Sub(t.waitingFrom) > max(stallFloor, limit)
}

// Cost estimates the time until an answer of the target, without the link.
// sharers is the number of hosts that are thought to send to it as much as this
// one does.
func (t *Target) Cost(now time.Time, expected time.Duration, sharers int) time.Duration {
	service := float64(expected) * t.current(now)
	load := float64(t.outstanding * min(max(1, sharers), maxSharers))
	queue := max(0, load-float64(t.Slots)+1) / float64(t.Slots)
	cost := service * (1 + queue + 0.05*float64(t.outstanding))
	cost += float64(expected) * t.fade(now) * (failureCost*t.failures + refusalCost*t.refusals)
	if t.Stalled(now, expected) {
		cost += max(float64(now.Sub(t.waitingFrom)), 2*service)
	}
	if now.Sub(t.refused) < refusedBackoff {
		cost += 2 * service
	}
	return time.Duration(cost)
}

// Candidate is a target that may get a request.
type Candidate struct {
	Target     *Target
	RTT        time.Duration // round trip
	LastResort bool          // use it only if there is no other
}

// Choose returns the index of the candidate with the lowest cost, -1 if there is
// none that may be tried now.
func Choose(now time.Time, candidates []Candidate, expected time.Duration, sharers int, rng *rand.Rand) int {
	best, bestCost := -1, math.Inf(1)
	for i, c := range candidates {
		if c.Target.Down(now) {
			continue
		}
		cost := float64(c.Target.Cost(now, expected, sharers) + c.RTT)
		cost += jitter * float64(expected) * rng.Float64()
		if c.LastResort {
			cost += float64(time.Hour)
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
