package routing

import (
	"math"
	"time"
)

const (
	// failurePenalty is added per recent failure, so that a failing replica
	// is used last but still used when the others are gone.
	failurePenalty = 50 * time.Millisecond
	// failureMemory is how long a failure counts. A path without traffic would
	// otherwise never be tried again.
	failureMemory = 2 * time.Second
	maxFailures   = 20

	// lossPenalty is added per loss in a row. A target is tried again
	// lossMemory after its first loss, four times as long after each further
	// one: a straggler is over soon, a stuck target stays.
	lossPenalty   = 50 * time.Millisecond
	lossMemory    = 100 * time.Millisecond
	maxLossMemory = 5 * time.Second
	maxLosses     = 20
	// lossFactor is how much longer than usual a withdrawn attempt must have
	// waited to count as a loss.
	lossFactor = 2
	// trialAfter is the number of losses in a row after which a target is
	// asked only as a trial. One loss is mostly a single straggler.
	trialAfter = 2
)

// pathStats is what is known about one path.
type pathStats struct {
	path     Path
	at       seat
	seat     *seatStats
	target   *targetStats
	latency  time.Duration // 0 before the first sample
	sampled  time.Time
	inFlight int
	failures int
	failedAt time.Time

	slots       int       // that the owner holds
	first       bool      // through the target's first listed owner
	closedUntil time.Time // zero if the owner did not refuse since its last answer
}

// targetStats is what is known about a target through any of its owners.
type targetStats struct {
	losses int // attempts in a row that a hedge overtook
	lostAt time.Time

	cold      bool // by its last answer
	coldUntil time.Time
}

// stats returns the statistics of a path and creates them if needed.
func (r *Router) stats(p Path) *pathStats {
	if s, ok := r.paths[p]; ok {
		return s
	}
	target, ok := r.targets[p.Target]
	if !ok {
		target = &targetStats{}
		r.targets[p.Target] = target
	}
	at := seat{p.Place, p.Ordinal}
	mark, ok := r.seats[at]
	if !ok {
		mark = &seatStats{}
		r.seats[at] = mark
	}
	s := &pathStats{path: p, at: at, seat: mark, target: target, slots: slotsPerPath}
	r.paths[p] = s
	return s
}

// SentAll records at a time that the requests of a plan go out.
func (r *Router) SentAll(now time.Time, plan []Assignment) {
	for _, a := range plan {
		a.stats.inFlight++
		if a.Trial {
			a.stats.target.lostAt = now // one trial at a time
		}
	}
}

// Sent records that a request went out on a path.
func (r *Router) Sent(p Path) { r.stats(p).inFlight++ }

// Answered records the latency of an answer: the wait for a slot and the time
// on the target, without the link.
func (r *Router) Answered(now time.Time, p Path, latency time.Duration) {
	s := r.stats(p)
	s.end()
	s.failures = 0
	s.target.losses = 0
	s.seat.answered(latency)
	s.sample(now, latency)
}

// Failed records a refusal, a lost connection or a missed deadline.
func (r *Router) Failed(now time.Time, p Path) {
	s := r.stats(p)
	s.end()
	s.failures = min(s.failures+1, maxFailures)
	s.failedAt = now
}

// Canceled records that the answer was no longer wanted after waiting for it
// that long, which is a lower bound of the latency. A trial that the second
// attempt overtakes is a loss however short it was.
func (r *Router) Canceled(now time.Time, p Path, waited time.Duration) {
	s := r.stats(p)
	s.end()
	waited -= r.RoundTrip(p.Place)
	if !s.target.onTrial() && waited <= lossFactor*max(s.latency, priorLatency) {
		return
	}
	// The latency stays that of answers: raised by losses, it would hide the
	// next ones.
	s.target.losses = min(s.target.losses+1, maxLosses)
	s.target.lostAt = now
}

// Forget drops what is known about a target, because its process restarted.
func (r *Router) Forget(target string) {
	for p, s := range r.paths {
		if p.Target == target {
			s.latency, s.failures = 0, 0
			s.target.losses = 0
		}
	}
}

// Keep drops the paths of targets for which keep returns false. Groups that
// were linked before must be linked again.
func (r *Router) Keep(keep func(target string) bool) {
	for p := range r.paths {
		if !keep(p.Target) {
			delete(r.paths, p)
			delete(r.targets, p.Target)
		}
	}
}

func (s *pathStats) end() { s.inFlight = max(0, s.inFlight-1) }

func (s *pathStats) sample(now time.Time, latency time.Duration) {
	s.sampled = now
	if s.latency == 0 {
		s.latency = max(latency, 1)
		return
	}
	s.latency = max(1, s.latency+time.Duration(ewmaWeight*float64(latency-s.latency)))
}

// estimate returns the expected latency. An old measurement returns to the
// usual latency of the group.
func (s *pathStats) estimate(now time.Time, usual time.Duration) time.Duration {
	if s.latency <= usual {
		return usual
	}
	age := now.Sub(s.sampled)
	if age < forgetAfter/16 {
		return s.latency
	}
	return usual + time.Duration(float64(s.latency-usual)*math.Exp2(-float64(age)/float64(forgetAfter)))
}

func (s *pathStats) penalty(now time.Time) time.Duration {
	if s.failures == 0 || now.Sub(s.failedAt) >= failureMemory {
		return 0
	}
	return failurePenalty * time.Duration(s.failures)
}

func (t *targetStats) onTrial() bool { return t.losses >= trialAfter }

func (t *targetStats) penalty(now time.Time) time.Duration {
	if t.losses == 0 {
		return 0
	}
	memory := lossMemory << min(2*(t.losses-1), 10)
	if now.Sub(t.lostAt) >= min(memory, maxLossMemory) {
		return 0
	}
	return lossPenalty * time.Duration(t.losses)
}

// Ended records the end of a request that says nothing about the path.
func (r *Router) Ended(p Path) { r.stats(p).end() }
