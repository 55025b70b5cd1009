package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// slownessGain is the weight of one answer in the moving average of a target's
	// logarithmic slowness. One answer that a pause delayed to ten service times then
	// raises the slowness by a third, which costs less than the round trip to another
	// place; a target that stays slow loses its traffic after two or three answers.
	slownessGain = 0.12
	// decayTime is the time constant with which the effect of a target's statistics on
	// its cost decays after the last result, so that the target is tried again. The
	// stored values do not decay: the next result restores the effect of the rates.
	decayTime = 3 * time.Second
	// failureGain is the weight of one result in the moving averages of a target's
	// failure and refusal rates.
	failureGain = 0.25
	// failureCost is the cost of a failed attempt in expected service times: the
	// retry starts from the beginning and takes a token of the retry budget.
	failureCost = 4.0
	// refusalCost is the cost of a refused attempt in expected service times: a round
	// trip and a token of the retry budget.
	refusalCost = 2.5
	// stallFactor is the number of expected service times, multiplied by the slowness,
	// after which a target with outstanding requests counts as stalled. Each end of a
	// request but a cancellation restarts the time.
	stallFactor = 2.5
	// stallFloor keeps the jitter of short service times from counting as a stall.
	stallFloor = 12 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff of an unreachable
	// target.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// refusalCostTime is the time for which a target that refused a request for load
	// has a higher cost.
	refusalCostTime = 60 * time.Millisecond
	// maxSendingHosts bounds the number of hosts that are assumed to have as many requests
	// outstanding on the target as this host.
	maxSendingHosts = 3
	// maxSlowness bounds the slowness, and the inverse of it, that one answer can
	// show.
	maxSlowness = 30.0
	// minConnectCost is the least cost of opening a connection, which takes a round trip
	// and CPU time of both ends.
	minConnectCost = time.Millisecond
	// jitter breaks ties between equal targets, in expected service times.
	jitter = 0.15
)

// Target holds the statistics that one host keeps of one target.
type Target struct {
	Slots int // requests that the target runs at a time

	outstanding     int
	waitingSince    time.Time // start of the time in which no request ended, cancellations excepted, while some are outstanding
	lastResponse    time.Time // last call of Answered or Refused
	logSlowness     float64   // logarithm of the service time as a multiple of the expected one
	lastSample      time.Time // last sample of the slowness
	failureRate     float64   // moving average, 0 to 1
	lastResult      time.Time // last failure, refusal, connection failure or sample of the slowness
	connectFailures int       // consecutive calls of Unreachable, with no response between them
	backoffUntil    time.Time
	lastRefusal     time.Time // last refusal for load
	refusalRate     float64   // moving average, 0 to 1
	window          window
}

// NewTarget returns the statistics of a target without results. A target has at least
// one slot.
func NewTarget(slots int) *Target { return &Target{Slots: max(1, slots)} }

// Outstanding returns the number of requests whose end is not recorded.
func (t *Target) Outstanding() int { return t.outstanding }

// Sent records the start of a request. Each call needs one call of the methods that
// record its end: Answered, Failed, Refused, TimedOut, Unreachable, Canceled or
// Inconclusive.
func (t *Target) Sent(now time.Time) {
	if t.outstanding == 0 {
		t.waitingSince = now
	}
	t.outstanding++
}

func (t *Target) requestEnded(now time.Time) {
	t.outstanding--
	t.waitingSince = now
}

// Answered records a successful request: its service time without the network, and
// the expected service time of requests of its kind.
func (t *Target) Answered(now time.Time, took, expected time.Duration) {
	t.window.answered(t.outstanding)
	t.requestEnded(now)
	t.lastResponse = now
	t.connectFailures, t.backoffUntil = 0, time.Time{}
	t.failureRate *= 1 - failureGain
	t.refusalRate *= 1 - failureGain
	t.addSample(now, took, expected)
}

// addSample updates the slowness with a service time. Requests that were outstanding at
// the same time were delayed by the same pause, so only the first of them counts.
func (t *Target) addSample(now time.Time, took, expected time.Duration) {
	if now.Add(-took).Before(t.lastSample) && took > 2*expected {
		return
	}
	ratio := float64(took) / float64(max(expected, time.Millisecond))
	sample := math.Log(min(maxSlowness, max(1/maxSlowness, ratio)))
	current := t.logSlowness * t.decay(now)
	t.logSlowness = current + slownessGain*(sample-current)
	t.lastSample, t.lastResult = now, now
}

// Failed records a request that ran, or may have run, without a usable answer.
func (t *Target) Failed(now time.Time) {
	t.requestEnded(now)
	t.failureRate += failureGain * (1 - t.failureRate)
	t.lastResult = now
}

// Refused records a request that the target refused for load, before execution.
func (t *Target) Refused(now time.Time) {
	t.window.refused(now, t.outstanding)
	t.requestEnded(now)
	t.lastResponse = now
	t.connectFailures, t.backoffUntil = 0, time.Time{}
	t.lastRefusal, t.lastResult = now, now
	t.refusalRate += failureGain * (1 - t.refusalRate)
}

// TimedOut records a request that got no answer within the given time. A target that
// sent no response to any request in that time, not even a refusal, counts as
// unreachable.
func (t *Target) TimedOut(now time.Time, waited time.Duration) {
	if now.Sub(t.lastResponse) >= waited {
		t.Unreachable(now)
		return
	}
	t.Failed(now)
}

// Unreachable records that no connection could be opened, or that a connection ended
// before the first byte of a response. The target gets no requests for a backoff that
// doubles with each consecutive failure.
func (t *Target) Unreachable(now time.Time) {
	t.requestEnded(now)
	backoff := min(maxBackoff, minBackoff<<min(t.connectFailures, 8))
	t.connectFailures++
	t.backoffUntil, t.lastResult = now.Add(backoff), now
}

// Canceled records that the sender canceled a request after the given time, which is
// a lower bound of the service time.
func (t *Target) Canceled(now time.Time, waited, expected time.Duration) {
	since := t.waitingSince
	t.requestEnded(now)
	if t.outstanding > 0 {
		t.waitingSince = since // a cancellation is no response
	}
	if float64(waited) > t.currentSlowness(now)*float64(expected) {
		t.addSample(now, waited, expected)
	}
}

// Inconclusive records the end of a request that tells nothing about the target.
func (t *Target) Inconclusive(now time.Time) { t.requestEnded(now) }

// currentSlowness returns the service time as a multiple of the expected service time.
// It decays to 1 after the last result.
func (t *Target) currentSlowness(now time.Time) float64 {
	return math.Exp(t.logSlowness * t.decay(now))
}

// decay returns the weight of the statistics in the cost, which decays exponentially
// from 1 after the last result.
func (t *Target) decay(now time.Time) float64 {
	if t.lastResult.IsZero() {
		return 0
	}
	return math.Exp(-float64(now.Sub(t.lastResult)) / float64(decayTime))
}

// Down reports whether the target gets no requests because it is unreachable. After
// the backoff one probe request at a time is allowed.
func (t *Target) Down(now time.Time) bool {
	return now.Before(t.backoffUntil) || t.connectFailures > 0 && t.outstanding > 0
}

// Reachable reports whether no connection failure has followed the last response.
func (t *Target) Reachable() bool { return t.connectFailures == 0 }

// Stalled reports whether requests are outstanding and none has ended for much longer
// than the expected service time.
func (t *Target) Stalled(now time.Time, expected time.Duration) bool {
	if t.outstanding == 0 {
		return false
	}
	limit := time.Duration(stallFactor * t.currentSlowness(now) * float64(expected))
	return now.Sub(t.waitingSince) > max(stallFloor, limit)
}

// Cost estimates the time until the target answers a further request, without the
// network. Failures and refusals add the expected cost of a retry. sendingHosts is the
// number of hosts that are assumed to send to the target as much as this one.
func (t *Target) Cost(now time.Time, expected time.Duration, sendingHosts int) time.Duration {
	service := float64(expected) * t.currentSlowness(now)
	load := float64(t.outstanding * min(max(1, sendingHosts), maxSendingHosts))
	queue := max(0, load-float64(t.Slots)+1) / float64(t.Slots)
	cost := service * (1 + queue + 0.05*float64(t.outstanding))
	cost += float64(expected) * t.decay(now) * (failureCost*t.failureRate + refusalCost*t.refusalRate)
	if t.Stalled(now, expected) {
		cost += max(float64(now.Sub(t.waitingSince)), 2*service)
	}
	if now.Sub(t.lastRefusal) < refusalCostTime {
		cost += 2 * service
	}
	return time.Duration(cost)
}

// Candidate is a target that a request may be sent to.
type Candidate struct {
	Target      *Target
	RTT         time.Duration // of the path to the target
	Unconnected bool          // no connection to the target is idle, so that one is opened first
	Preference  int           // chosen only if no candidate with a lower one is usable
}

// Choose returns the index of the candidate with the lowest cost, round trip and a
// random tie-breaker included, or -1 if every candidate is down.
func Choose(now time.Time, candidates []Candidate, expected time.Duration, sendingHosts int, rng *rand.Rand) int {
	best, bestCost := -1, math.Inf(1)
	for i, c := range candidates {
		if c.Target.Down(now) {
			continue
		}
		cost := float64(c.Target.Cost(now, expected, sendingHosts) + c.RTT)
		if c.Unconnected {
			cost += float64(max(c.RTT, minConnectCost))
		}
		cost += jitter * float64(expected) * rng.Float64()
		cost += float64(c.Preference) * float64(time.Hour)
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
