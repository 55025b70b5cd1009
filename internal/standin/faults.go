package standin

import (
	"context"
	"math"
	"net"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
)

const (
	// restartDelay is the time from a crash to the restart of the searcher.
	restartDelay = 300 * time.Millisecond
	// coldSlowdown multiplies the service time while a searcher is cold.
	coldSlowdown = 4
	// initialColdCapacity is the number of concurrent requests that a searcher can run
	// when it becomes cold. The capacity grows by one after each answersPerSlot
	// answers, until it reaches the number of slots.
	initialColdCapacity = 1
	answersPerSlot      = 4
	// stuckServiceTime is longer than any deadline.
	stuckServiceTime = time.Minute
)

// Faults selects the faults that a searcher injects. Ratios are from 0 to 1; the
// zero value injects none.
type Faults struct {
	SlowRatio    float64 // fraction of requests that are stragglers
	SlowFactor   float64 // factor of a straggler's service time
	Stuck        bool    // requests do not complete within any deadline
	ShedRatio    float64 // fraction of requests refused as overload
	CrashRatio   float64 // fraction of lookups that crash the process after they started to run
	KillTerm     string  // a search for this word crashes the process; empty for none
	CorruptRatio float64 // fraction of answers with a wrong record, to test the checks of the load tool
}

// coldState describes the warm-up of a searcher.
type coldState struct {
	active    bool
	announced bool // the reported state is cold
	answers   int  // since the searcher became cold
}

// connKey is the context key for the connection of a request.
type connKey struct{}

// SetFaults replaces all faults.
func (s *Searcher) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// ChangeFaults calls change with the current faults, which change may modify. change
// must not call methods of the searcher.
func (s *Searcher) ChangeFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// corrupt changes the text of the first record in a fraction CorruptRatio of the
// answers.
func (s *Searcher) corrupt(records []coverage.Record) []coverage.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(records) > 0 && s.faults.CorruptRatio > 0 && s.rng.Float64() < s.faults.CorruptRatio {
		records[0].Text = "spoiled " + records[0].Text
	}
	return records
}

// SetDraining makes the searcher report that it is draining and refuse new requests; if
// draining is false, the searcher is in service again.
func (s *Searcher) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = wire.TargetWarm
	if draining {
		s.state = wire.TargetDraining
	}
}

// SetRange changes the searcher's key range and partition epoch, as a split or merge
// of shards does. data holds the records of the whole service.
func (s *Searcher) SetRange(data *Dataset, r keyspace.Range, epoch uint64) {
	shard := data.Shard(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shard = shard
	s.covered = coverage.Covered{Range: r, Epoch: epoch, Records: uint64(shard.Len())}
}

// TurnCold makes the searcher cold without a restart. Unless announced, it continues
// to report that it is warm.
func (s *Searcher) TurnCold(announced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = coldState{active: true, announced: announced}
}

// Cold reports whether the searcher is cold.
func (s *Searcher) Cold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.active
}

// SilenceConnections makes the open connections permanently silent: requests on them
// get no answer. New connections work.
func (s *Searcher) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		s.conns[conn] = true
	}
}

// silent reports whether a request came on a silent connection.
func (s *Searcher) silent(ctx context.Context) bool {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[conn]
}

// Crash kills the searcher and restarts it, cold, after 300 ms.
func (s *Searcher) Crash() {
	s.Kill()
	time.AfterFunc(restartDelay, func() { _ = s.Restart() })
}

// crashOnKillTerm crashes the searcher and returns true if a search contains
// KillTerm.
func (s *Searcher) crashOnKillTerm(terms []string) bool {
	s.mu.Lock()
	kills := s.faults.KillTerm != "" && slices.Contains(terms, s.faults.KillTerm)
	s.mu.Unlock()
	if kills {
		s.counts.KillerQueryCrashes.Add(1)
		s.Crash()
	}
	return kills
}

// crashOnLookup crashes the searcher and returns true for a fraction CrashRatio of
// the lookups.
func (s *Searcher) crashOnLookup() bool {
	s.mu.Lock()
	crash := s.faults.CrashRatio > 0 && s.rng.Float64() < s.faults.CrashRatio
	s.mu.Unlock()
	if crash {
		s.Crash()
	}
	return crash
}

// capacity returns the number of requests that the searcher can run concurrently. The
// caller holds s.mu.
func (s *Searcher) capacity() int {
	if !s.cold.active {
		return s.spec.Slots
	}
	return initialColdCapacity + s.cold.answers/answersPerSlot
}

// crashOnOverload counts a request above the capacity of a cold searcher. If more than
// twice the capacity is in use, it also crashes the searcher and returns true. It returns
// false for a warm searcher.
func (s *Searcher) crashOnOverload() bool {
	s.mu.Lock()
	limit := s.capacity()
	cold := s.cold.active
	s.mu.Unlock()
	inUse := int(s.slotsInUse.Load())
	if !cold || inUse <= limit {
		return false
	}
	s.counts.OverColdCapacity.Add(1)
	if inUse < 2*limit+1 {
		return false
	}
	s.counts.OverloadCrashes.Add(1)
	s.Crash()
	return true
}

// countWarmupAnswer records an answer of a cold searcher. The searcher is warm once
// its capacity reaches the number of slots.
func (s *Searcher) countWarmupAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cold.active {
		s.cold.answers++
		s.cold.active = s.capacity() < s.spec.Slots
	}
}

// serviceTime draws the service time of a request from a log-normal distribution and
// applies the faults.
func (s *Searcher) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := millis(s.model.MedianMS * math.Exp(s.model.Sigma*s.rng.NormFloat64()))
	if s.cold.active {
		d *= coldSlowdown
	}
	if s.faults.SlowRatio > 0 && s.rng.Float64() < s.faults.SlowRatio {
		d = time.Duration(float64(d) * s.faults.SlowFactor)
	}
	if s.faults.Stuck {
		d = stuckServiceTime
	}
	return d
}
