package quarantine

import (
	"slices"
	"time"
)

const (
	// tallyTargets is the number of crashed targets from which a request is refused.
	tallyTargets = 3
	// tallyAttempts is the number of attempts in which they crashed. One attempt of
	// an innocent fan-out may lose several targets to another cause.
	tallyAttempts = 2
	// tallyKeep is how long a crash counts after the last one.
	tallyKeep = time.Minute
	// tallyFresh is how long a crash is told to other hosts.
	tallyFresh = 5 * time.Second
	// tallySize bounds the number of requests that are remembered.
	tallySize = 1024
)

// Crash is a target that crashed while it ran a request.
type Crash struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Target      uint64      `cbor:"2,keyasint"` // hash of its ID and start
	Attempt     uint64      `cbor:"3,keyasint"` // hash of the attempt's ID
}

// CrashCounter counts the targets that crashed under each request, on all hosts, and
// says which requests are to be refused. It is for fleets in which every host
// sends to every target; a Table finds a killer query with fewer crashes where
// queries can be run on one target first.
//
// It guards against a request that its caller repeats at one host after the other
// until no target is left. A CrashCounter is not safe for concurrent use.
type CrashCounter struct {
	crashes map[Fingerprint][]seen
}

type seen struct {
	Crash
	at time.Time
}

// NewCrashCounter returns an empty tally.
func NewCrashCounter() *CrashCounter { return &CrashCounter{crashes: map[Fingerprint][]seen{}} }

// Add records a crash and returns whether it was new.
func (t *CrashCounter) Add(now time.Time, c Crash) bool {
	known := t.current(now, c.Fingerprint)
	if slices.ContainsFunc(known, func(s seen) bool { return s.Crash == c }) {
		return false
	}
	if len(known) == 0 && len(t.crashes) >= tallySize {
		t.forget(now)
		if len(t.crashes) >= tallySize {
			return false
		}
	}
	t.crashes[c.Fingerprint] = append(known, seen{c, now})
	return true
}

// HasCrashes reports whether any crash is remembered.
func (t *CrashCounter) HasCrashes() bool { return len(t.crashes) > 0 }

// ShouldRefuse reports whether a request is known to crash its targets.
func (t *CrashCounter) ShouldRefuse(now time.Time, fp Fingerprint) bool {
	targets, attempts := map[uint64]bool{}, map[uint64]bool{}
	for _, s := range t.current(now, fp) {
		targets[s.Target] = true
		attempts[s.Attempt] = true
	}
	return len(targets) >= tallyTargets && len(attempts) >= tallyAttempts
}

// Recent returns the crashes that other hosts may not know yet, the last ones
// first, at most limit.
func (t *CrashCounter) Recent(now time.Time, limit int) []Crash {
	var fresh []seen
	for _, known := range t.crashes {
		for _, s := range known {
			if now.Sub(s.at) < tallyFresh {
				fresh = append(fresh, s)
			}
		}
	}
	slices.SortFunc(fresh, func(a, b seen) int { return b.at.Compare(a.at) })
	crashes := make([]Crash, 0, min(limit, len(fresh)))
	for _, s := range fresh[:min(limit, len(fresh))] {
		crashes = append(crashes, s.Crash)
	}
	return crashes
}

// current returns the crashes of a request, nil if the last is long ago.
func (t *CrashCounter) current(now time.Time, fp Fingerprint) []seen {
	known := t.crashes[fp]
	if len(known) > 0 && now.Sub(known[len(known)-1].at) > tallyKeep {
		delete(t.crashes, fp)
		return nil
	}
	return known
}

func (t *CrashCounter) forget(now time.Time) {
	for fp := range t.crashes {
		t.current(now, fp)
	}
}
