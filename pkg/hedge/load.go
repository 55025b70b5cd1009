package hedge

import (
	"math"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

const (
	// loadMemory is the time constant with which old results lose weight.
	loadMemory = time.Second
	// maxQueueRatio is the mean wait for a slot, relative to the mean service
	// time, above which a service is overloaded. At 60 % of capacity with 1 %
	// stragglers two slots give about 1.2 (Pollaczek-Khinchine); above
	// capacity the wait grows to the deadline.
	maxQueueRatio = 3
	// maxRefusedRatio is the fraction of results refused for load above which
	// a service is overloaded.
	maxRefusedRatio = 0.02
	// minRefused is the weight of refusals below which they may be chance: a
	// target whose slot is still held by a withdrawn request refuses the next.
	minRefused = 5
	// minResults is the weight of results below which nothing is concluded.
	minResults = 20
)

// Load judges from results whether a service is overloaded.
type Load struct {
	at      time.Time
	results float64
	refused float64
	queued  float64 // seconds
	served  float64 // seconds
}

// Observe records the result of a sub-request with its wait for a slot and its
// time on the target.
func (l *Load) Observe(now time.Time, o outcome.Outcome, queued, served time.Duration) {
	if gone := now.Sub(l.at); gone > 0 {
		keep := math.Exp(-float64(gone) / float64(loadMemory))
		l.results, l.refused, l.queued, l.served = l.results*keep, l.refused*keep, l.queued*keep, l.served*keep
		l.at = now
	}
	l.results++
	l.queued += queued.Seconds()
	l.served += served.Seconds()
	if RefusedForLoad(o) {
		l.refused++
	}
}

// Overloaded reports whether hedges would make an overload worse.
func (l *Load) Overloaded(now time.Time) bool {
	weight := l.results * math.Exp(-float64(max(0, now.Sub(l.at)))/float64(loadMemory))
	if weight < minResults {
		return false
	}
	return l.refused > max(minRefused, maxRefusedRatio*l.results) || l.queued > maxQueueRatio*l.served
}

// RefusedForLoad reports whether a sub-request did not run because a queue was
// full or its wait for a slot outlasted the deadline.
func RefusedForLoad(o outcome.Outcome) bool {
	return o.DidNotRun() && (o.Reason == outcome.Overload || o.Reason == outcome.Deadline)
}

// RetryIsFree reports whether another replica may be asked without a token
// after a refusal. The first refusal of a sub-request is free, because the
// target did not run it and so the targets bear no extra work. A refusal for
// load while the service is overloaded is not: the other replicas would refuse
// as well and the messages would multiply. A refused index version is free
// every time: a roll meets all groups of a query at once, and with tokens the
// query would wait for them instead of finding the version that is served. The
// first attempt that ended on a silent connection is free as well: the target
// mostly never got it, and with tokens a burst of silent connections spends the
// budget and leaves groups without an answer until the deadline.
func RetryIsFree(o outcome.Outcome, earlier int, overloaded bool) bool {
	if o.Reason == outcome.Silent {
		return earlier == 0 && !overloaded
	}
	if !o.DidNotRun() || overloaded && RefusedForLoad(o) {
		return false
	}
	return earlier == 0 || o.Reason == outcome.VersionGone
}
