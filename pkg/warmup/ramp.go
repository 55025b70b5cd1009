package warmup

import (
	"math/bits"
	"time"
)

// State is the state of a target as its owner knows it.
type State uint8

// The states of a target.
const (
	Unproven State = iota // nothing is known of the running process
	Cold                  // gets the requests that the ramp allows, from ColdConcurrency up to the owner's share
	Warm                  // gets up to the owner's whole share
)

var stateNames = [...]string{Unproven: "unproven", Cold: "cold", Warm: "warm"}

// String returns the name used in metrics and log lines.
func (s State) String() string { return stateNames[s] }

// ReportedState is the state that a target reports of itself.
type ReportedState uint8

// The values of the field "state" in a target's answers.
const (
	ReportedNone     ReportedState = iota // the answer has no such field
	ReportedWarm                          // the target can serve its usual load
	ReportedCold                          // the target started recently and can serve only a small load
	ReportedDraining                      // the target takes no new work
)

// Result tells how a request ended.
type Result uint8

// The results of a request.
const (
	Answered Result = iota
	Canceled        // the caller canceled it after Latency, a lower bound of the real one
	Refused         // the target refused it for load
	Failed          // the connection broke, or no answer came in time
)

// Sample is one observation of a target.
type Sample struct {
	Sent          time.Time
	BootID        string // empty if there was no answer
	Reported      ReportedState
	Result        Result
	Latency       time.Duration // from sending to the end of the request
	MedianLatency time.Duration // of the target's service; 0 if unknown
}

const (
	// slowFactor is the multiple of the median latency above which an answer counts
	// as slow: 0.3 % of log-normal service times with sigma 0.4 do.
	slowFactor = 3
	// A warm target counts as cold when slowNeeded of its last slowWindow answers
	// are slow. With 1.3 % slow answers, stragglers included, the false positive
	// rate is 1 in 110,000 answers.
	slowNeeded = 3
	slowWindow = 4
	// initialHold is the time for which an owner without the cold allowance
	// sends nothing to a target that turned cold without reporting so, as no report
	// will end this state. It doubles each time the target turns cold again,
	// up to maxHold.
	initialHold = 2 * time.Second
	maxHold     = 30 * time.Second
)

// Config holds the limits of a ramp.
type Config struct {
	ColdConcurrency int // concurrent requests that a cold target can serve (cold_concurrency)
	RampStep        int // consecutive good answers per increase by one request (cold_ramp_step)
	Share           int // slots of the owner on the target
}

// Ramp is the slow-start state of one target at one of its owners.
type Ramp struct {
	limits       Config
	state        State
	bootID       string // process that answered last
	draining     bool
	reportedCold bool          // the target reported cold, so that its report of warm ends the cold state
	allowed      int           // concurrent requests while not warm
	goodAnswers  int           // consecutive good answers since the last change of allowed
	slowAnswers  uint8         // bit set of the last slowWindow answers, 1 if slow
	lastSetback  time.Time     // last lost connection, turn to cold, or report of cold or draining
	hold         time.Duration // next hold
	holdUntil    time.Time     // end of the current hold
}

// NewRamp returns the state of an unproven target.
func NewRamp(limits Config) *Ramp {
	return &Ramp{limits: limits, allowed: min(limits.ColdConcurrency, limits.Share), hold: initialHold}
}

// Configure replaces the limits.
func (r *Ramp) Configure(limits Config) {
	r.limits = limits
	r.allowed = min(r.allowed, limits.Share)
}

// State returns the state of the target.
func (r *Ramp) State() State { return r.state }

// BootID returns the boot_id of the process that answered last; empty if none did.
func (r *Ramp) BootID() string { return r.bootID }

// Draining reports whether the target reported that it takes no new work.
func (r *Ramp) Draining() bool { return r.draining }

// Allowed returns the number of concurrent requests that the owner may have on the
// target: 0 if the target is draining, warm or not, and the owner's share if it is
// warm. With the cold allowance (mayUseCold) any other target gets the requests that
// the ramp allows. Without the cold allowance that is 0 unless the target is cold without having reported so and the hold has passed.
func (r *Ramp) Allowed(now time.Time, mayUseCold bool) int {
	switch {
	case r.draining:
		return 0
	case r.state == Warm:
		return r.limits.Share
	case mayUseCold:
		return r.allowed
	case r.state == Cold && !r.reportedCold && !now.Before(r.holdUntil):
		// The target never reported cold, so no report ends the cold state. After
		// the hold the owner starts a ramp of its own.
		return r.allowed
	}
	return 0
}

// ConnectionLost records that the target refused or closed a connection. The next
// connection may reach a new process, so a warm target becomes unproven.
func (r *Ramp) ConnectionLost(now time.Time) {
	if r.state == Warm {
		r.state = Unproven
	}
	r.lastSetback = now
	r.restartRamp()
}

// ObserveReport records the state that a target reported in an answer which tells
// nothing of its load, such as the answer to a probe. sent is the time of the request.
func (r *Ramp) ObserveReport(now, sent time.Time, bootID string, reported ReportedState) {
	r.applyReport(now, sent, bootID, reported)
}

// Observe records the end of a request and the state that its answer reports.
func (r *Ramp) Observe(now time.Time, s Sample) {
	if s.BootID != "" {
		r.applyReport(now, s.Sent, s.BootID, s.Reported)
	}
	slow := s.MedianLatency > 0 && s.Latency > slowFactor*s.MedianLatency
	switch {
	case s.Result == Failed || s.Result == Refused:
		r.badAnswer(now)
	case s.Result == Canceled && !slow:
		// The request was canceled too early to tell whether the target is slow.
	case r.state == Warm:
		r.detectCold(now, slow)
	case s.Result == Answered && (!slow || s.Reported == ReportedCold):
		r.goodAnswer()
	case !r.reportedCold:
		r.goodAnswers = 0
	}
}

// applyReport applies a reported state. Answers may arrive out of order: the answer to a
// request that was sent before the last broken connection or report of cold or
// draining does not revoke these.
func (r *Ramp) applyReport(now, sent time.Time, bootID string, reported ReportedState) {
	fresh := sent.After(r.lastSetback)
	restarted := r.bootID != "" && bootID != "" && bootID != r.bootID
	if bootID != "" {
		r.bootID = bootID
	}
	if reported == ReportedDraining {
		r.draining, r.lastSetback = true, now
	} else if reported != ReportedNone && fresh {
		r.draining = false
	}
	switch {
	case reported == ReportedCold:
		if r.state != Cold || restarted {
			r.turnCold(now)
		}
		r.reportedCold, r.lastSetback = true, now
	case restarted:
		// A new process is cold whatever it reports.
		r.turnCold(now)
	case reported == ReportedWarm && fresh && (r.state == Unproven || r.reportedCold):
		r.turnWarm()
		r.hold = initialHold
	}
}

// detectCold detects a warm target that turned cold without reporting so.
func (r *Ramp) detectCold(now time.Time, slow bool) {
	r.slowAnswers = r.slowAnswers << 1 & (1<<slowWindow - 1)
	if slow {
		r.slowAnswers |= 1
	}
	if bits.OnesCount8(r.slowAnswers) >= slowNeeded {
		r.turnCold(now)
	}
}

func (r *Ramp) turnCold(now time.Time) {
	r.state, r.reportedCold, r.lastSetback = Cold, false, now
	r.restartRamp()
	if now.Sub(r.holdUntil) > maxHold {
		r.hold = initialHold // the last hold ended long ago
	}
	r.holdUntil = now.Add(r.hold)
	r.hold = min(2*r.hold, maxHold)
}

func (r *Ramp) turnWarm() { r.state, r.reportedCold, r.slowAnswers = Warm, false, 0 }

func (r *Ramp) restartRamp() {
	r.allowed, r.goodAnswers, r.slowAnswers = min(r.limits.ColdConcurrency, r.limits.Share), 0, 0
}

// goodAnswer raises Ramp.allowed by one after each step of good answers. When
// Ramp.allowed reaches the owner's share, the target becomes warm unless it
// reports cold.
func (r *Ramp) goodAnswer() {
	if r.goodAnswers++; r.goodAnswers < r.limits.RampStep {
		return
	}
	r.goodAnswers = 0
	if r.allowed < r.limits.Share {
		r.allowed++
	}
	if r.allowed >= r.limits.Share && !r.reportedCold {
		r.turnWarm()
	}
}

// badAnswer halves Ramp.allowed of a target that is not warm, but not below the
// initial one.
func (r *Ramp) badAnswer(now time.Time) {
	if r.state == Warm {
		return // failures and refusals of a warm target do not show that it is cold
	}
	r.goodAnswers = 0
	r.allowed = max(min(r.limits.ColdConcurrency, r.limits.Share), r.allowed/2)
	if !r.reportedCold {
		r.holdUntil = now.Add(r.hold)
	}
}
