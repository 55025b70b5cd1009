package warmup

import (
	"math/bits"
	"time"
)

// State is what an owner believes about a target.
type State uint8

// States.
const (
	Unproven State = iota // nothing is known about the process that runs now
	Cold                  // takes no more than the cold allowance
	Warm                  // takes the owner's whole share
)

var stateNames = [...]string{Unproven: "unproven", Cold: "cold", Warm: "warm"}

// String returns the name used in metrics and log lines.
func (s State) String() string { return stateNames[s] }

// ReportedState is a target's own statement about its state.
type ReportedState uint8

// Marks, as the field "state" of a target's answers has them.
const (
	ReportedNone     ReportedState = iota // the answer has no such field
	ReportedWarm                          // the target takes its usual load
	ReportedCold                          // it has started lately and bears a small load
	ReportedDraining                      // it takes no new work
)

// Result tells how a request ended.
type Result uint8

// Results.
const (
	Answered Result = iota
	Canceled        // the caller gave up after Took, a lower bound of the latency
	Refused         // the target refused for lack of room
	Failed          // the connection broke, or no answer came in time
)

// Sample is one observation of a target.
type Sample struct {
	Sent          time.Time
	BootID        string // empty if there was no answer
	Reported      ReportedState
	Result        Result
	Latency       time.Duration // from sending to the end
	MedianLatency time.Duration // usual latency of the target's group; 0 if unknown
}

const (
	// slowFactor is how far above the group's usual an answer must be to count
	// as slow: 0.3 % of log-normal service times with sigma 0.4 are.
	slowFactor = 3
	// A target has turned cold if slowNeeded of its last slowWindow answers are
	// slow. With 1.3 % slow answers (stragglers included) a warm target shows
	// this once in 110,000 answers.
	slowNeeded = 3
	slowWindow = 4
	// firstHold is how long an owner without the cold allowance stays away from
	// a target whose marks do not tell when it is warm. It doubles with each
	// relapse up to maxHold.
	firstHold = 2 * time.Second
	maxHold   = 30 * time.Second
)

// Config holds the limits of a ramp.
type Config struct {
	Concurrency int // requests that a cold target bears at a time (cold_concurrency)
	Step        int // good answers in a row per further request (cold_ramp_step)
	Share       int // the owner's slots
}

// Ramp is the state of one target at one of its owners.
type Ramp struct {
	cfg       Config
	state     State
	boot      string // process last heard from
	draining  bool
	announced bool // the target marked itself cold, so its warm mark is to be believed
	allowed   int  // while not warm
	good      int  // good answers in a row since the last change of allowed
	slow      uint8
	changed   time.Time // when the owner last learned of a break, a cold or a draining mark
	hold      time.Duration
	holdUntil time.Time
}

// NewRamp returns the state of a target of which nothing is known.
func NewRamp(cfg Config) *Ramp {
	return &Ramp{cfg: cfg, allowed: min(cfg.Concurrency, cfg.Share), hold: firstHold}
}

// Configure replaces the limits.
func (r *Ramp) Configure(cfg Config) {
	r.cfg = cfg
	r.allowed = min(r.allowed, cfg.Share)
}

// State returns the belief about the target.
func (r *Ramp) State() State { return r.state }

// BootID returns the boot_id of the process last heard from.
func (r *Ramp) BootID() string { return r.boot }

// Draining reports whether the target said that it takes no new work.
func (r *Ramp) Draining() bool { return r.draining }

// Allowed returns the number of requests that the owner may have on the target
// at a time. An owner without the cold allowance may have none on a target that
// it does not believe to be warm.
func (r *Ramp) Allowed(now time.Time, mayUseCold bool) int {
	switch {
	case r.draining:
		return 0
	case r.state == Warm:
		return r.cfg.Share
	case mayUseCold:
		return r.allowed
	case r.state == Cold && !r.announced && !now.Before(r.holdUntil):
		// The target never announced the cold, so no mark will end it: after
		// the hold the owner tries as carefully as on a ramp.
		return r.allowed
	}
	return 0
}

// ConnectionLost records that a connection was refused, or broken by the target. What
// was believed of its process may not hold for the next.
func (r *Ramp) ConnectionLost(now time.Time) {
	if r.state == Warm {
		r.state = Unproven
	}
	r.changed = now
	r.restartRamp()
}

// ObserveReport records the marks in an answer to a request that did not run.
func (r *Ramp) ObserveReport(now, sent time.Time, boot string, mark ReportedState) {
	r.marks(now, sent, boot, mark)
}

// Observe records the end of a request.
func (r *Ramp) Observe(now time.Time, s Sample) {
	if s.BootID != "" {
		r.marks(now, s.Sent, s.BootID, s.Reported)
	}
	late := s.MedianLatency > 0 && s.Latency > slowFactor*s.MedianLatency
	switch {
	case s.Result == Failed || s.Result == Refused:
		r.bad(now)
	case s.Result == Canceled && !late:
		// Too short to tell anything.
	case r.state == Warm:
		r.watch(now, late)
	case s.Result == Answered && (!late || s.Reported == ReportedCold):
		r.goodAnswer()
	case !r.announced:
		r.good = 0
	}
}

// marks takes in what the target says about itself. Answers may arrive out of
// order: one to a request sent before the last bad news was learned cannot
// revoke it.
func (r *Ramp) marks(now, sent time.Time, boot string, mark ReportedState) {
	fresh := sent.After(r.changed)
	restarted := r.boot != "" && boot != "" && boot != r.boot
	if boot != "" {
		r.boot = boot
	}
	if mark == ReportedDraining {
		r.draining, r.changed = true, now
	} else if mark != ReportedNone && fresh {
		r.draining = false
	}
	switch {
	case mark == ReportedCold:
		if r.state != Cold || restarted {
			r.turnCold(now)
		}
		r.announced, r.changed = true, now
	case restarted:
		// A new process is cold even if it does not say so.
		r.turnCold(now)
	case mark == ReportedWarm && fresh && (r.state == Unproven || r.announced):
		r.turnWarm()
		r.hold = firstHold
	}
}

// watch looks for a warm target that turned cold without notice.
func (r *Ramp) watch(now time.Time, late bool) {
	r.slow = r.slow << 1 & (1<<slowWindow - 1)
	if late {
		r.slow |= 1
	}
	if bits.OnesCount8(r.slow) >= slowNeeded {
		r.turnCold(now)
	}
}

func (r *Ramp) turnCold(now time.Time) {
	r.state, r.announced, r.changed = Cold, false, now
	r.restartRamp()
	if now.Sub(r.holdUntil) > maxHold {
		r.hold = firstHold // the last cold is long past
	}
	r.holdUntil = now.Add(r.hold)
	r.hold = min(2*r.hold, maxHold)
}

func (r *Ramp) turnWarm() { r.state, r.announced, r.slow = Warm, false, 0 }

func (r *Ramp) restartRamp() {
	r.allowed, r.good, r.slow = min(r.cfg.Concurrency, r.cfg.Share), 0, 0
}

// goodAnswer lets the allowance grow. At the owner's whole share the target
// counts as warm, unless it still says that it is cold.
func (r *Ramp) goodAnswer() {
	if r.good++; r.good < r.cfg.Step {
		return
	}
	r.good = 0
	if r.allowed < r.cfg.Share {
		r.allowed++
	}
	if r.allowed >= r.cfg.Share && !r.announced {
		r.turnWarm()
	}
}

// bad halves the allowance of a cold target, but not below the first step.
func (r *Ramp) bad(now time.Time) {
	if r.state == Warm {
		return // refusals of a warm target say nothing about cold
	}
	r.good = 0
	r.allowed = max(min(r.cfg.Concurrency, r.cfg.Share), r.allowed/2)
	if !r.announced {
		r.holdUntil = now.Add(r.hold)
	}
}
