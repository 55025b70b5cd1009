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
	// restartAfter is how long a crashed searcher is gone.
	restartAfter = 300 * time.Millisecond
	// coldSlowdown multiplies the service time while a searcher is cold.
	coldSlowdown = 4
	// coldCapacity is the number of requests that a cold searcher bears at first;
	// it bears one more after each coldStep answers until all slots are warm.
	coldCapacity = 1
	coldStep     = 4
	// stuckFor is the service time of a stuck searcher, longer than any deadline.
	stuckFor = time.Minute
)

// Faults are the faults that a searcher shows.
type Faults struct {
	SlowRatio    float64 // fraction of requests that are stragglers
	SlowFactor   float64 // how much longer a straggler takes
	Stuck        bool    // no request ever ends
	ShedRatio    float64 // fraction of requests refused as overload
	CrashRatio   float64 // fraction of lookups that crash the process after they started to run
	KillTerm     string  // a search for this word crashes the process
	CorruptRatio float64 // fraction of answers with a wrong record, to test the checks of the load tool
}

// coldState is the state of a searcher that has not warmed up.
type coldState struct {
	active    bool
	announced bool // answers say that it is cold
	served    int  // answers since it turned cold
}

// connKey is the context key of a request's connection.
type connKey struct{}

// SetFaults replaces the faults.
func (s *Searcher) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// ChangeFaults changes some of the faults and keeps the others.
func (s *Searcher) ChangeFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// corrupt changes the text of the first record if the searcher is to answer wrong.
func (s *Searcher) corrupt(records []coverage.Record) []coverage.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(records) > 0 && s.faults.CorruptRatio > 0 && s.rng.Float64() < s.faults.CorruptRatio {
		records[0].Text = "spoiled " + records[0].Text
	}
	return records
}

// SetDraining makes the searcher refuse new work and say so.
func (s *Searcher) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = wire.TargetWarm
	if draining {
		s.state = wire.TargetDraining
	}
}

// SetRange changes the searcher's key range, as a split or merge of shards
// does. data holds the records of the whole service.
func (s *Searcher) SetRange(data *Dataset, r keyspace.Range, epoch uint64) {
	shard := data.Shard(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shard = shard
	s.covered = coverage.Covered{Range: r, Epoch: epoch, Records: uint64(shard.Len())}
}

// TurnCold makes the searcher cold without a restart. Unless announced, its
// answers go on saying that it is warm.
func (s *Searcher) TurnCold(announced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = coldState{active: true, announced: announced}
}

// Cold reports whether the searcher is still cold.
func (s *Searcher) Cold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.active
}

// SilenceConnections makes the open connections silent for good: requests on
// them get no answer, while new connections work.
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

// Crash ends the process and restarts it, cold, a little later.
func (s *Searcher) Crash() {
	s.Kill()
	time.AfterFunc(restartAfter, func() { _ = s.Restart() })
}

// killedBy crashes the searcher if a search holds the killing word.
func (s *Searcher) killedBy(terms []string) bool {
	s.mu.Lock()
	kills := s.faults.KillTerm != "" && slices.Contains(terms, s.faults.KillTerm)
	s.mu.Unlock()
	if kills {
		s.counts.KillerQueryCrashes.Add(1)
		s.Crash()
	}
	return kills
}

// crashes draws whether a lookup crashes the searcher.
func (s *Searcher) crashes() bool {
	s.mu.Lock()
	crash := s.faults.CrashRatio > 0 && s.rng.Float64() < s.faults.CrashRatio
	s.mu.Unlock()
	if crash {
		s.Crash()
	}
	return crash
}

// capacity returns the number of requests that the searcher bears at a time. The
// caller holds s.mu.
func (s *Searcher) capacity() int {
	if !s.cold.active {
		return s.spec.Slots
	}
	return coldCapacity + s.cold.served/coldStep
}

// overCold counts a request above the capacity of a cold searcher. More than
// twice the capacity crashes it.
func (s *Searcher) overCold() bool {
	s.mu.Lock()
	limit := s.capacity()
	cold := s.cold.active
	s.mu.Unlock()
	active := int(s.active.Load())
	if !cold || active <= limit {
		return false
	}
	s.counts.OverColdCapacity.Add(1)
	if active < 2*limit+1 {
		return false
	}
	s.counts.OverloadCrashes.Add(1)
	s.Crash()
	return true
}

// warmUp records an answer of a cold searcher.
func (s *Searcher) warmUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cold.active {
		s.cold.served++
		s.cold.active = s.capacity() < s.spec.Slots
	}
}

// serviceTime draws how long a request takes.
func (s *Searcher) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	took := millis(s.model.MedianMS * math.Exp(s.model.Sigma*s.rng.NormFloat64()))
	if s.cold.active {
		took *= coldSlowdown
	}
	if s.faults.SlowRatio > 0 && s.rng.Float64() < s.faults.SlowRatio {
		took = time.Duration(float64(took) * s.faults.SlowFactor)
	}
	if s.faults.Stuck {
		took = stuckFor
	}
	return took
}
