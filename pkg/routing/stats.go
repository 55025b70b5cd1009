package routing

import (
	"math"
	"time"
)

const (
	// failurePenalty is added to the cost per failure in a row, so that a failing
	// replica is used only when the others are not usable.
	failurePenalty = 50 * time.Millisecond
	// failureTTL is how long failures count. Without the limit, a path without
	// traffic would never be tried again.
	failureTTL  = 2 * time.Second
	maxFailures = 20

	// lossPenalty is added to the cost per loss in a row. A loss is an attempt that
	// was canceled after a long wait, see Canceled. A target is tried again
	// lossBackoff after its first loss, and after four times as long for each
	// further one: a straggler recovers soon, a stuck target does not.
	lossPenalty    = 50 * time.Millisecond
	lossBackoff    = 100 * time.Millisecond
	maxLossBackoff = 5 * time.Second
	maxLosses      = 20
	// minLossRatio is the wait of a canceled attempt, relative to the latency of
	// its path, above which it counts as a loss.
	minLossRatio = 2
	// trialLosses is the number of losses in a row after which a target is
	// asked only as a trial. A single loss is mostly a straggler.
	trialLosses = 2
)

// pathStats holds the observations of one path.
type pathStats struct {
	path     Path
	hostKey  hostKey
	host     *hostStats
	target   *targetStats
	latency  time.Duration // 0 before the first sample
	sampled  time.Time
	inFlight int
	failures int
	failedAt time.Time

	slots        int       // the owner's share of the target's slots
	firstOwner   bool      // whether the owner is the first in Candidate.Owners
	backoffUntil time.Time // zero if the owner did not refuse since its last answer
}

// targetStats holds the observations of a target over all its paths.
type targetStats struct {
	losses int // in a row, see Canceled
	lostAt time.Time

	cold             bool // reported in its last answer
	coldBackoffUntil time.Time
}

// stats returns the statistics of a path, which it creates if there are none.
func (r *Router) stats(p Path) *pathStats {
	if s, ok := r.paths[p]; ok {
		return s
	}
	target, ok := r.targets[p.Target]
	if !ok {
		target = &targetStats{}
		r.targets[p.Target] = target
	}
	key := hostKey{p.Place, p.Ordinal}
	host, ok := r.hosts[key]
	if !ok {
		host = &hostStats{}
		r.hosts[key] = host
	}
	s := &pathStats{path: p, hostKey: key, host: host, target: target, slots: defaultSlots}
	r.paths[p] = s
	return s
}

// SentAll records that the requests of a plan were sent.
func (r *Router) SentAll(now time.Time, plan []Assignment) {
	for _, a := range plan {
		a.stats.inFlight++
		if a.Trial {
			a.stats.target.lostAt = now // restarts the backoff: one trial at a time
		}
	}
}

// Sent records that a request was sent over a path.
func (r *Router) Sent(p Path) { r.stats(p).inFlight++ }

// Answered records an answer and its latency: the wait for a slot plus the time
// on the target, without the round trip to the owner.
func (r *Router) Answered(now time.Time, p Path, latency time.Duration) {
	s := r.stats(p)
	s.finish()
	s.failures = 0
	s.target.losses = 0
	s.host.answered(latency)
	s.addSample(now, latency)
}

// Failed records a refusal, a lost connection or a missed deadline.
func (r *Router) Failed(now time.Time, p Path) {
	s := r.stats(p)
	s.finish()
	s.failures = min(s.failures+1, maxFailures)
	s.failedAt = now
}

// Canceled records that an attempt was canceled after the given wait, which is a
// lower bound of its latency. The attempt counts as a loss if the wait without
// the round trip is long for the path; a canceled trial always counts as one.
func (r *Router) Canceled(now time.Time, p Path, waited time.Duration) {
	s := r.stats(p)
	s.finish()
	waited -= r.RoundTrip(p.Place)
	if !s.target.needsTrial() && waited <= minLossRatio*max(s.latency, defaultLatency) {
		return
	}
	// A loss does not raise the latency estimate: a raised estimate would keep
	// the next losses from being recognised.
	s.target.losses = min(s.target.losses+1, maxLosses)
	s.target.lostAt = now
}

// Forget resets latency, failures and losses of a target whose process restarted.
func (r *Router) Forget(target string) {
	for p, s := range r.paths {
		if p.Target == target {
			s.latency, s.failures = 0, 0
			s.target.losses = 0
		}
	}
}

// Keep drops the paths of targets for which keep returns false. Groups that were
// prepared before must be prepared again.
func (r *Router) Keep(keep func(target string) bool) {
	for p := range r.paths {
		if !keep(p.Target) {
			delete(r.paths, p)
			delete(r.targets, p.Target)
		}
	}
}

func (s *pathStats) finish() { s.inFlight = max(0, s.inFlight-1) }

func (s *pathStats) addSample(now time.Time, latency time.Duration) {
	s.sampled = now
	if s.latency == 0 {
		s.latency = max(latency, 1)
		return
	}
	s.latency = max(1, s.latency+time.Duration(ewmaWeight*float64(latency-s.latency)))
}

// estimate returns the expected latency. A measurement above baseline decays to
// it with age.
func (s *pathStats) estimate(now time.Time, baseline time.Duration) time.Duration {
	if s.latency <= baseline {
		return baseline
	}
	age := now.Sub(s.sampled)
	if age < estimateHalfLife/16 {
		return s.latency
	}
	return baseline + time.Duration(float64(s.latency-baseline)*math.Exp2(-float64(age)/float64(estimateHalfLife)))
}

func (s *pathStats) penalty(now time.Time) time.Duration {
	if s.failures == 0 || now.Sub(s.failedAt) >= failureTTL {
		return 0
	}
	return failurePenalty * time.Duration(s.failures)
}

func (t *targetStats) needsTrial() bool { return t.losses >= trialLosses }

func (t *targetStats) penalty(now time.Time) time.Duration {
	if t.losses == 0 {
		return 0
	}
	backoff := lossBackoff << min(2*(t.losses-1), 10)
	if now.Sub(t.lostAt) >= min(backoff, maxLossBackoff) {
		return 0
	}
	return lossPenalty * time.Duration(t.losses)
}

// Ended records the end of a request whose outcome says nothing about the path.
func (r *Router) Ended(p Path) { r.stats(p).finish() }
