package quarantine

import (
	"slices"
	"time"
)

const (
	// refuseTargets is the number of distinct crashed targets from which a request
	// is refused.
	refuseTargets = 3
	// refuseAttempts is the number of attempts in which these targets must have
	// crashed. A single attempt that fans out may lose several targets to another
	// cause.
	refuseAttempts = 2
	// crashRetention is how long the crashes of a request count after its last one.
	crashRetention = time.Minute
	// shareDuration is how long a crash is shared with other hosts.
	shareDuration = 5 * time.Second
	// maxCrashedRequests bounds the number of requests that are remembered.
	maxCrashedRequests = 1024
)

// Crash is a target that crashed while it ran a request.
type Crash struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Target      uint64      `cbor:"2,keyasint"` // hash of the target's ID and start
	Attempt     uint64      `cbor:"3,keyasint"` // hash of the attempt's ID
}

// CrashCounter counts the targets that crashed under each request, sent by any host,
// and decides which requests are refused. It is for fleets in which every host
// sends to every target; where a query can run on a single target first, a Table
// finds a killer query with fewer crashes.
//
// A CrashCounter stops a request that its caller repeats at one host after the
// other until no target is left. It is not safe for concurrent use.
type CrashCounter struct {
	crashes map[Fingerprint][]observedCrash
}

type observedCrash struct {
	Crash
	at time.Time
}

// NewCrashCounter returns an empty counter.
func NewCrashCounter() *CrashCounter {
	return &CrashCounter{crashes: map[Fingerprint][]observedCrash{}}
}

// Add records a crash and returns whether it was new.
func (cc *CrashCounter) Add(now time.Time, c Crash) bool {
	known := cc.current(now, c.Fingerprint)
	if slices.ContainsFunc(known, func(s observedCrash) bool { return s.Crash == c }) {
		return false
	}
	if len(known) == 0 && len(cc.crashes) >= maxCrashedRequests {
		cc.expire(now)
		if len(cc.crashes) >= maxCrashedRequests {
			return false
		}
	}
	cc.crashes[c.Fingerprint] = append(known, observedCrash{c, now})
	return true
}

// HasCrashes reports whether any crash is remembered, expired ones included.
func (cc *CrashCounter) HasCrashes() bool { return len(cc.crashes) > 0 }

// ShouldRefuse reports whether a request crashed so many targets that it is to be
// refused.
func (cc *CrashCounter) ShouldRefuse(now time.Time, fp Fingerprint) bool {
	targets, attempts := map[uint64]bool{}, map[uint64]bool{}
	for _, s := range cc.current(now, fp) {
		targets[s.Target] = true
		attempts[s.Attempt] = true
	}
	return len(targets) >= refuseTargets && len(attempts) >= refuseAttempts
}

// Recent returns the crashes that other hosts may not know yet, newest first, at
// most limit of them.
func (cc *CrashCounter) Recent(now time.Time, limit int) []Crash {
	var recent []observedCrash
	for _, known := range cc.crashes {
		for _, s := range known {
			if now.Sub(s.at) < shareDuration {
				recent = append(recent, s)
			}
		}
	}
	slices.SortFunc(recent, func(a, b observedCrash) int { return b.at.Compare(a.at) })
	crashes := make([]Crash, 0, min(limit, len(recent)))
	for _, s := range recent[:min(limit, len(recent))] {
		crashes = append(crashes, s.Crash)
	}
	return crashes
}

// current returns the crashes of a request, or nil if they have expired.
func (cc *CrashCounter) current(now time.Time, fp Fingerprint) []observedCrash {
	known := cc.crashes[fp]
	if len(known) > 0 && now.Sub(known[len(known)-1].at) > crashRetention {
		delete(cc.crashes, fp)
		return nil
	}
	return known
}

func (cc *CrashCounter) expire(now time.Time) {
	for fp := range cc.crashes {
		cc.current(now, fp)
	}
}
