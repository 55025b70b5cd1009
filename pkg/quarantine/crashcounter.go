package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// refuseCrashes is the number of crashes without an answer in between from which a
	// request is refused.
	refuseCrashes = 3
	// refuseTargets is the number of distinct targets among them. A single target that
	// fails under everything is no evidence against a request.
	refuseTargets = 2
	// refuseAttempts is the number of attempts, and of incidents, in which these targets
	// must have crashed. A loss of many targets at once ends every request on them.
	refuseAttempts = 2
	// incidentWindow is the time after a crash in which further ones may have the same
	// cause.
	incidentWindow = 100 * time.Millisecond
	// crashRetention is how long a crash counts, and how long an answer outweighs the
	// reports of other hosts.
	crashRetention = time.Minute
	// minRefusal and maxRefusal bound how long a request is refused. The time doubles each
	// time that the request then crashes a target again.
	minRefusal = time.Minute
	maxRefusal = time.Hour
	// trialTime is how long further attempts are refused while the first one after a
	// refusal is expected to end.
	trialTime = 5 * time.Second
	// shareDuration is how long a crash is reported to other hosts.
	shareDuration = 5 * time.Second
	// maxCrashedRequests bounds the number of requests that are remembered, and
	// maxCrashesPerRequest the crashes of each.
	maxCrashedRequests   = 1024
	maxCrashesPerRequest = 16
)

// Crash is a target that ended, as far as its connection shows, while it ran a request.
type Crash struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Target      uint64      `cbor:"2,keyasint"`           // hash of the target's ID and start
	Attempt     uint64      `cbor:"3,keyasint"`           // hash of the attempt's ID
	Service     uint32      `cbor:"4,keyasint,omitempty"` // hash of the target's service; 0 if not known
}

// Refusal is a request that a host refuses because it crashes its targets.
type Refusal struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	LeftMS      int64       `cbor:"2,keyasint"` // rest of the refusal, in milliseconds
	// Level is the number of refusals of the request without an answer in between, this
	// one included.
	Level uint8 `cbor:"3,keyasint"`
}

// Report is what hosts tell each other about requests that crash their targets.
type Report struct {
	Crashes  []Crash
	Refusals []Refusal
}

// CrashCounter counts the targets that crashed under each request, sent by any host,
// and decides which requests are refused. It is for fleets in which every host
// sends to every target; where a query can run on a single target first, a Table
// finds a killer query with fewer crashes.
//
// A CrashCounter stops a request that its caller repeats at one host after the
// other until no target is left. A crash is a connection that the target closed before its
// answer: a request that is alone on its target leaves no other trace. One closed
// connection says little, so a request is refused after several of them in a row on
// different targets; an answer to the request discards them. A refusal is reported for as
// long as it lasts, because a host may have started, or have been cut off, since the
// crashes. When it ends, one attempt is admitted: an answer to it clears the request, a
// crash renews the refusal for twice the time.
//
// It is not safe for concurrent use.
type CrashCounter struct {
	requests   map[Fingerprint]*crashedRequest
	nextReport Fingerprint // the lowest fingerprint of the next refusals to report
}

// crashedRequest is the state of a request that crashed targets.
type crashedRequest struct {
	crashes      []observedCrash // since the last answer, oldest first
	level        uint8           // of the latest refusal; 0 if there was none since the last answer
	refusedUntil time.Time
	trialUntil   time.Time
	answered     map[uint32]time.Time // last answer to this host, by service
	changed      time.Time
}

type observedCrash struct {
	Crash
	at time.Time
}

// NewCrashCounter returns an empty counter.
func NewCrashCounter() *CrashCounter {
	return &CrashCounter{requests: map[Fingerprint]*crashedRequest{}}
}

// Add records a crash that this host observed and returns whether it was new.
func (cc *CrashCounter) Add(now time.Time, c Crash) bool {
	return cc.add(now, c, cc.ensure(now, c.Fingerprint))
}

// Import records what another host reported and returns the number of new crashes. It
// ignores reports on requests that a target answered to this host lately.
func (cc *CrashCounter) Import(now time.Time, report Report) (crashes int) {
	for _, c := range report.Crashes {
		r := cc.ensure(now, c.Fingerprint)
		if at, ok := r.answered[c.Service]; ok && now.Sub(at) < crashRetention {
			continue
		}
		if cc.add(now, c, r) {
			crashes++
		}
	}
	for _, refusal := range report.Refusals {
		cc.importRefusal(now, refusal)
	}
	return crashes
}

// importRefusal adopts a refusal of a higher level than this host knows. One of the same
// level is the one that this host knows: its rest, which was on the way for a while, would
// never end if hosts adopted it from each other.
func (cc *CrashCounter) importRefusal(now time.Time, refusal Refusal) {
	if refusal.LeftMS <= 0 || refusal.Level == 0 {
		return
	}
	r := cc.ensure(now, refusal.Fingerprint)
	if len(r.answered) > 0 || refusal.Level <= r.level {
		return
	}
	r.level, r.changed = refusal.Level, now
	r.refusedUntil = now.Add(min(time.Duration(min(refusal.LeftMS, maxRefusal.Milliseconds()))*time.Millisecond, refusalTime(r.level)))
}

func (cc *CrashCounter) add(now time.Time, c Crash, r *crashedRequest) bool {
	r.crashes = slices.DeleteFunc(r.crashes, func(o observedCrash) bool { return now.Sub(o.at) > crashRetention })
	if slices.ContainsFunc(r.crashes, func(o observedCrash) bool { return o.Target == c.Target && o.Attempt == c.Attempt }) {
		return false
	}
	if len(r.crashes) >= maxCrashesPerRequest {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	r.crashes = append(r.crashes, observedCrash{c, now})
	r.changed = now
	switch {
	case now.Before(r.refusedUntil): // sent before the refusal
	case r.level > 0 || r.isProven():
		if r.level < 255 {
			r.level++
		}
		r.refusedUntil, r.trialUntil = now.Add(refusalTime(r.level)), time.Time{}
	}
	return true
}

// refusalTime returns how long a refusal of a level lasts.
func refusalTime(level uint8) time.Duration {
	return min(maxRefusal, minRefusal<<min(max(level, 1)-1, 8))
}

// isProven reports whether the crashes since the last answer are enough to refuse the
// request.
func (r *crashedRequest) isProven() bool {
	targets, attempts, incidents := map[uint64]bool{}, map[uint64]bool{}, 0
	var began time.Time // of the latest incident
	for _, c := range r.crashes {
		targets[c.Target], attempts[c.Attempt] = true, true
		if incidents == 0 || c.at.Sub(began) > incidentWindow {
			incidents++
			began = c.at
		}
	}
	return len(r.crashes) >= refuseCrashes && len(targets) >= refuseTargets && len(attempts) >= refuseAttempts && incidents >= refuseAttempts
}

// Answered records that a target of a service answered a request.
func (cc *CrashCounter) Answered(now time.Time, fp Fingerprint, service uint32) {
	r := cc.get(now, fp)
	if r == nil {
		return
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(o observedCrash) bool { return o.Service == service || o.Service == 0 })
	if r.answered == nil {
		r.answered = map[uint32]time.Time{}
	}
	r.answered[service], r.changed = now, now
	if len(r.crashes) == 0 {
		r.level, r.refusedUntil, r.trialUntil = 0, time.Time{}, time.Time{}
	}
}

// HasCrashes reports whether any crash is remembered, expired ones included.
func (cc *CrashCounter) HasCrashes() bool { return len(cc.requests) > 0 }

// Admit reports whether an attempt may be sent now, and if not, how long the request is
// refused. After the end of a refusal it admits one attempt in trialTime.
func (cc *CrashCounter) Admit(now time.Time, fp Fingerprint) (admitted bool, left time.Duration) {
	r := cc.get(now, fp)
	switch {
	case r == nil:
		return true, 0
	case now.Before(r.refusedUntil):
		return false, r.refusedUntil.Sub(now)
	case r.level > 0 && now.Before(r.trialUntil):
		return false, r.trialUntil.Sub(now)
	case r.level > 0:
		r.trialUntil = now.Add(trialTime)
	}
	return true, 0
}

// Refused reports whether a request is refused now, its admitted attempts included.
func (cc *CrashCounter) Refused(now time.Time, fp Fingerprint) bool {
	r := cc.get(now, fp)
	return r != nil && now.Before(r.refusedUntil)
}

// Refusals returns the refusals in force, in the order of fingerprints.
func (cc *CrashCounter) Refusals(now time.Time) []Refusal {
	var refusals []Refusal
	for fp, r := range cc.requests {
		if left := r.refusedUntil.Sub(now).Milliseconds(); left > 0 {
			refusals = append(refusals, Refusal{Fingerprint: fp, LeftMS: left, Level: r.level})
		}
	}
	slices.SortFunc(refusals, func(a, b Refusal) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return refusals
}

// Report returns what to tell other hosts now: the crashes that they may not know yet,
// those of the requests with the most crashes first, and refusals in turn, at most limit of
// each. It also frees the memory of what has expired.
func (cc *CrashCounter) Report(now time.Time, limit int) Report {
	cc.expire(now)
	return Report{Crashes: cc.recentCrashes(now, limit), Refusals: cc.refusalsInTurn(now, limit)}
}

func (cc *CrashCounter) recentCrashes(now time.Time, limit int) []Crash {
	type candidate struct {
		observedCrash
		known int // crashes of its request
	}
	var recent []candidate
	for _, r := range cc.requests {
		for _, c := range r.crashes {
			if now.Sub(c.at) < shareDuration {
				recent = append(recent, candidate{c, len(r.crashes)})
			}
		}
	}
	slices.SortFunc(recent, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.known, a.known), b.at.Compare(a.at)) })
	var crashes []Crash
	for _, c := range recent[:min(limit, len(recent))] {
		crashes = append(crashes, c.Crash)
	}
	return crashes
}

func (cc *CrashCounter) refusalsInTurn(now time.Time, limit int) []Refusal {
	refusals := cc.Refusals(now)
	if len(refusals) <= limit {
		return refusals
	}
	first, _ := slices.BinarySearchFunc(refusals, cc.nextReport, func(r Refusal, fp Fingerprint) int { return cmp.Compare(r.Fingerprint, fp) })
	inTurn := append(refusals[first:len(refusals):len(refusals)], refusals[:first]...)
	cc.nextReport = inTurn[limit].Fingerprint
	return inTurn[:limit]
}

// ensure returns the state of a request, which is new if there is none. When too many
// requests are remembered, it forgets one that is not refused, or else the one whose state
// is the oldest.
func (cc *CrashCounter) ensure(now time.Time, fp Fingerprint) *crashedRequest {
	if r := cc.get(now, fp); r != nil {
		return r
	}
	if len(cc.requests) >= maxCrashedRequests {
		cc.makeRoom(now)
	}
	r := &crashedRequest{changed: now}
	cc.requests[fp] = r
	return r
}

func (cc *CrashCounter) makeRoom(now time.Time) {
	cc.expire(now)
	if len(cc.requests) < maxCrashedRequests {
		return
	}
	var oldest Fingerprint
	var found *crashedRequest
	for fp, r := range cc.requests {
		if found == nil || cmp.Or(cmp.Compare(r.level, found.level), cmp.Compare(len(r.crashes), len(found.crashes)), r.changed.Compare(found.changed)) < 0 {
			oldest, found = fp, r
		}
	}
	delete(cc.requests, oldest)
}

func (cc *CrashCounter) expire(now time.Time) {
	maps.DeleteFunc(cc.requests, func(_ Fingerprint, r *crashedRequest) bool { return r.expired(now) })
}

// get returns the state of a request, or nil if there is none or it has expired.
func (cc *CrashCounter) get(now time.Time, fp Fingerprint) *crashedRequest {
	r := cc.requests[fp]
	if r != nil && r.expired(now) {
		delete(cc.requests, fp)
		return nil
	}
	return r
}

// expired reports whether the state has no effect any more. After a refusal it is kept for
// as long again.
func (r *crashedRequest) expired(now time.Time) bool {
	if r.level > 0 {
		return now.Sub(r.refusedUntil) > refusalTime(r.level)
	}
	return now.Sub(r.changed) > crashRetention
}
