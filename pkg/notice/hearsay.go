package notice

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// limitReportTime is how long after an answer that names a limit a host reports it.
	limitReportTime = 2 * time.Second
	// hearsayLifetime is how long after the answer of a target a limit that other hosts
	// reported holds.
	hearsayLifetime = 5 * time.Second
	// maxReportAge bounds the age of what hosts report; older answers are of no use.
	maxReportAge = 10 * time.Minute
)

// Report is what a process of a target told one host about itself, for other hosts. Hosts
// report only what they were told by the target, never what they heard from other hosts.
type Report struct {
	Process uint64 `cbor:"1,keyasint"` // identifies the process of the target
	// Limit is in requests a second from all hosts together, 0 if none, and LimitAgeMS the time
	// since the latest answer that named it, in milliseconds.
	Limit      float64 `cbor:"2,keyasint,omitempty"`
	LimitAgeMS int64   `cbor:"3,keyasint,omitempty"`
	// Leaving is set if the target is about to end; it said so first LeavingAgeMS ago, in
	// milliseconds.
	Leaving      bool  `cbor:"4,keyasint,omitempty"`
	LeavingAgeMS int64 `cbor:"5,keyasint,omitempty"`
	// AwayMS is for how much longer the target wants no request of the reporting host, in
	// milliseconds, 0 if it does, and AwayAgeMS the time since it said so.
	AwayMS    int64 `cbor:"6,keyasint,omitempty"`
	AwayAgeMS int64 `cbor:"7,keyasint,omitempty"`
}

// Report returns what this host tells others of the target, and false if there is nothing to
// tell. The Process is left to the caller.
func (t *Target) Report(now time.Time) (Report, bool) {
	var r Report
	if t.limit > 0 && now.Sub(t.limitAt) < limitReportTime {
		r.Limit, r.LimitAgeMS = t.limit, now.Sub(t.limitAt).Milliseconds()
	}
	if t.IsLeaving() && now.Sub(t.leavingAt) < maxReportAge {
		r.Leaving, r.LeavingAgeMS = true, now.Sub(t.leavingAt).Milliseconds()
	}
	if left := t.AwayLeft(now).Milliseconds(); left > 0 {
		r.AwayMS, r.AwayAgeMS = left, now.Sub(t.backoff.saidAt).Milliseconds()
	}
	return r, r.Limit > 0 || r.Leaving || r.AwayMS > 0
}

// hearsay is what other hosts reported of a target and no answer to this host has replaced.
// It changes the order in which targets are chosen, and the pace of requests to a target with
// a limit. It never takes a target out of use: a target may turn one host away and take
// requests of another.
type hearsay struct {
	limit     float64
	limitAt   time.Time // of the answer that named the limit
	leaving   bool
	leavingAt time.Time // of the answer that said so
	awayAt    time.Time // of the answer that said so
	awayUntil time.Time
}

// Hear records what another host reported of the target. What is older than the last answer
// to this host, and what makes no sense, is ignored. position is this host's position for the
// target.
func (t *Target) Hear(now time.Time, r Report, position func() Position, rng *rand.Rand) {
	// newer returns when an answer came that another host got the given time ago, and whether
	// it tells more than those to this host.
	newer := func(ageMS int64) (time.Time, bool) {
		if ageMS < 0 || ageMS > maxReportAge.Milliseconds() {
			return time.Time{}, false
		}
		at := now.Add(-time.Duration(ageMS) * time.Millisecond)
		return at, at.After(t.answeredAt)
	}
	if at, ok := newer(r.LeavingAgeMS); ok && r.Leaving {
		t.heard.leaving, t.heard.leavingAt = true, at
	}
	if at, ok := newer(r.AwayAgeMS); ok && r.AwayMS > 0 {
		wait := time.Duration(min(r.AwayMS, maxRetryAfter.Milliseconds())) * time.Millisecond
		t.heard.awayAt, t.heard.awayUntil = at, now.Add(wait)
	}
	at, ok := newer(r.LimitAgeMS)
	if !ok || t.limit > 0 || !(r.Limit > 0) || math.IsInf(r.Limit, 1) || !at.After(t.heard.limitAt) {
		return
	}
	before := t.heard.limit
	t.heard.limit, t.heard.limitAt = max(r.Limit, leastLimit), at
	t.pace(now, before, t.heard.limit, position, rng)
}

// replaceHearsay forgets what other hosts had reported before the target answered a request
// that was sent at the given time.
func (t *Target) replaceHearsay(now, sent time.Time, said Said) {
	t.answeredAt = now
	h := &t.heard
	if said.Leaving || sent.After(h.leavingAt) {
		h.leaving = false
	}
	if said.RetryAfter > 0 || sent.After(h.awayAt) {
		h.awayUntil = time.Time{}
	}
	if h.limit > 0 && !said.Limited && sent.After(h.limitAt) {
		t.forgetHeardLimit()
	}
}

func (t *Target) forgetHeardLimit() {
	t.heard.limit = 0
	if t.limit == 0 {
		t.pacer = pacer{}
	}
}

// expireHearsay ends a limit that no host has reported for some time.
func (t *Target) expireHearsay(now time.Time) {
	if t.heard.limit > 0 && now.Sub(t.heard.limitAt) > hearsayLifetime {
		t.forgetHeardLimit()
	}
}

// Heard returns the kinds of notices that only other hosts were given.
func (t *Target) Heard(now time.Time) []Kind {
	var kinds []Kind
	if t.heard.limit > 0 && t.limit == 0 && now.Sub(t.heard.limitAt) <= hearsayLifetime {
		kinds = append(kinds, Limit)
	}
	if t.heard.leaving && !t.IsLeaving() {
		kinds = append(kinds, Leaving)
	}
	if now.Before(t.heard.awayUntil) && !t.backoff.inForce {
		kinds = append(kinds, RetryAfter)
	}
	return kinds
}

// InTurn returns at most limit of the reports, those of the processes from next on, and the
// process with which to go on the next time. It sorts the reports.
func InTurn(reports []Report, next uint64, limit int) ([]Report, uint64) {
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Process, b.Process) })
	if len(reports) <= limit {
		return reports, 0
	}
	first, _ := slices.BinarySearchFunc(reports, next, func(r Report, process uint64) int { return cmp.Compare(r.Process, process) })
	turn := slices.Concat(reports[first:], reports[:first])
	return turn[:limit], turn[limit].Process
}
