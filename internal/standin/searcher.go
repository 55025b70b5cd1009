package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/target"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Searcher is a fake of one target. It enforces the limits of slots and connections,
// answers searches and lookups in its shard at an index version, and counts the runs
// of each request. It is safe for concurrent use.
type Searcher struct {
	ID    string
	Place string

	spec    settings.Target
	service string
	model   ServiceModel
	rng     *rand.Rand // guarded by mu
	address string

	mu         sync.Mutex
	shard      *Dataset
	covered    coverage.Covered
	versions   []uint64
	state      wire.TargetState
	bootCount  int
	conns      map[net.Conn]bool // true if the connection is silent
	lookupRuns map[string]int    // number of runs of each lookup, by request ID
	searchRuns map[string]int    // number of runs of each search, by request ID
	server     *http.Server

	faults   Faults
	cold     coldState
	refusals []*slotRefusal // refusals that a later cancellation may still account for

	lastCancel time.Time // when the last cancellation was detected

	onRequest atomic.Pointer[func(http.Header)] // called with the headers of each request; may be nil

	slotsInUse atomic.Int64
	counts     Counts
}

// Counts holds counters of a searcher since its creation, over all restarts.
type Counts struct {
	Searches           atomic.Int64 // searches run
	Lookups            atomic.Int64 // lookups run
	OverSlots          atomic.Int64 // requests refused because every slot was in use, without those of SlotRaces
	SlotRaces          atomic.Int64 // requests refused before the cancellation that freed their slot was detected
	OverConns          atomic.Int64 // connections refused
	OverColdCapacity   atomic.Int64 // requests above the capacity of a cold searcher
	OverloadCrashes    atomic.Int64 // requests that crashed a cold searcher by load; several may meet one crash
	KillerQueryCrashes atomic.Int64 // crashes by a killer query
	Shed               atomic.Int64 // requests refused by ShedRatio
	Drained            atomic.Int64 // requests refused while draining
	Canceled           atomic.Int64 // requests cancelled while they ran
}

// NewSearcher starts a warm searcher on a loopback port that serves index version 1.
// shard holds the records of its key range r in a partition epoch. A listener that
// cannot be opened is an error.
func NewSearcher(spec settings.Target, service string, model ServiceModel, shard *Dataset, r keyspace.Range, epoch uint64, seed uint64) (*Searcher, error) {
	s := &Searcher{
		ID: spec.ID, Place: spec.Place, spec: spec, service: service, model: model, shard: shard,
		covered:  coverage.Covered{Range: r, Epoch: epoch, Records: uint64(shard.Len())},
		rng:      rand.New(rand.NewPCG(seed, keyspace.KeyOf(spec.ID))),
		versions: []uint64{1}, state: wire.TargetWarm, conns: map[net.Conn]bool{}, lookupRuns: map[string]int{}, searchRuns: map[string]int{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.start(listener)
	return s, nil
}

// Address returns the searcher's IP address and port. Restarts do not change it.
func (s *Searcher) Address() string { return s.address }

// Counts returns the searcher's counters.
func (s *Searcher) Counts() *Counts { return &s.counts }

// MaxLookupRuns returns the largest number of runs of one lookup, and the request ID of
// that lookup.
func (s *Searcher) MaxLookupRuns() (id string, runs int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, n := range s.lookupRuns {
		if n > runs {
			id, runs = k, n
		}
	}
	return id, runs
}

// OnRequest sets a function that is called with the headers of each request. f must be
// safe for concurrent use.
func (s *Searcher) OnRequest(f func(http.Header)) { s.onRequest.Store(&f) }

// RunCounts returns the number of runs of each search and of each lookup by request ID.
// The caller must not modify the maps, and may read them only when the searcher
// receives no more requests.
func (s *Searcher) RunCounts() (searches, lookups map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.searchRuns, s.lookupRuns
}

// Versions returns the index versions that the searcher serves, oldest first.
func (s *Searcher) Versions() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.versions)
}

// AddLookupRuns adds the number of runs of each lookup to sum, by request ID.
func (s *Searcher) AddLookupRuns(sum map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, n := range s.lookupRuns {
		sum[k] += n
	}
}

// SetVersions sets the index versions that the searcher serves, oldest first.
func (s *Searcher) SetVersions(versions ...uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = versions
}

// Kill closes the listener and all connections, as the end of the process would.
func (s *Searcher) Kill() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Restart starts a killed searcher at its address, cold and with a new boot_id. It
// returns an error if the address is in use.
func (s *Searcher) Restart() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.start(listener)
	return nil
}

func (s *Searcher) start(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /search", s.search)
	mux.HandleFunc("POST /lookup", s.lookup)
	server := &http.Server{
		Handler: mux, ConnState: s.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	s.mu.Lock()
	if s.bootCount++; s.bootCount > 1 {
		s.cold = coldState{active: true, announced: true}
	}
	s.server = server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// connState tracks the open connections and closes those above the limit.
func (s *Searcher) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(s.conns) >= s.spec.Connections {
			s.counts.OverConns.Add(1)
			_ = conn.Close()
			return
		}
		s.conns[conn] = false
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// status returns the status that the searcher reports. The caller holds s.mu.
func (s *Searcher) status() wire.TargetStatus {
	state := s.state
	if s.cold.active && s.cold.announced && state == wire.TargetWarm {
		state = wire.TargetCold
	}
	return wire.TargetStatus{State: state, BootID: fmt.Sprintf("%s#%d", s.ID, s.bootCount), Versions: slices.Clone(s.versions)}
}

func (s *Searcher) search(w http.ResponseWriter, r *http.Request) {
	var body target.SearchBody
	if !s.admit(w, r, &body) {
		return
	}
	release := s.slotReleaser()
	defer release()
	s.mu.Lock()
	version := body.Version
	if version == 0 {
		version = s.versions[len(s.versions)-1]
	}
	served := slices.Contains(s.versions, version)
	status, covered, shard := s.status(), s.covered, s.shard
	s.mu.Unlock()
	if !served {
		refuse(w, status, outcome.VersionGone, fmt.Sprintf("index version %d is not served", version))
		return
	}
	s.counts.Searches.Add(1)
	s.mu.Lock()
	s.searchRuns[r.Header.Get(target.HeaderRequestID)]++
	s.mu.Unlock()
	if s.crashOnKillTerm(body.Terms) || !s.awaitServiceTime(r.Context()) {
		return
	}
	records := shard.Search(version, body.Terms, body.Limit)
	release()
	writeJSON(w, http.StatusOK, target.SearchAnswer{
		TargetStatus: status, Version: version, Covered: []coverage.Covered{covered},
		Records: s.corrupt(records),
	})
}

func (s *Searcher) lookup(w http.ResponseWriter, r *http.Request) {
	var body target.LookupBody
	if !s.admit(w, r, &body) {
		return
	}
	release := s.slotReleaser()
	defer release()
	s.counts.Lookups.Add(1)
	s.mu.Lock()
	s.lookupRuns[r.Header.Get(target.HeaderRequestID)]++
	status, shard := s.status(), s.shard
	version := s.versions[len(s.versions)-1]
	s.mu.Unlock()
	if s.crashOnLookup() || !s.awaitServiceTime(r.Context()) {
		return
	}
	answer := target.LookupAnswer{TargetStatus: status, Version: version}
	if rec, ok := shard.Lookup(version, body.ID); ok {
		answer.Found, answer.Record = true, &s.corrupt([]coverage.Record{rec})[0]
	}
	release()
	writeJSON(w, http.StatusOK, answer)
}

// admit decodes the body and acquires a slot. If the request is not to run, admit
// refuses it, or leaves it without an answer after a crash or on a silent connection,
// and returns false.
func (s *Searcher) admit(w http.ResponseWriter, r *http.Request, body any) bool {
	if f := s.onRequest.Load(); f != nil {
		(*f)(r.Header)
	}
	if s.silent(r.Context()) {
		<-r.Context().Done()
		return false
	}
	s.mu.Lock()
	status := s.status()
	shed := s.faults.ShedRatio > 0 && s.rng.Float64() < s.faults.ShedRatio
	s.mu.Unlock()
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		refuse(w, status, outcome.Invalid, err.Error())
		return false
	}
	if status.State == wire.TargetDraining {
		s.counts.Drained.Add(1)
		refuse(w, status, outcome.Draining, "draining")
		return false
	}
	if shed {
		s.counts.Shed.Add(1)
		refuse(w, status, outcome.Overload, "shedding load")
		return false
	}
	arrived := time.Now()
	if !s.acquireSlot() {
		s.countRefusal(arrived)
		refuse(w, status, outcome.Overload, "every slot is in use")
		return false
	}
	if s.crashOnOverload() {
		s.slotsInUse.Add(-1)
		return false
	}
	return true
}

// slotReleaser returns a function that releases the request's slot once. The slot is
// released before the answer is written, because a client may send the next request as
// soon as it has the answer.
func (s *Searcher) slotReleaser() func() {
	return sync.OnceFunc(func() { s.slotsInUse.Add(-1) })
}

// awaitServiceTime waits for the service time of a request. It returns false if the
// request is cancelled before that.
func (s *Searcher) awaitServiceTime(ctx context.Context) bool {
	timer := time.NewTimer(s.serviceTime())
	defer timer.Stop()
	select {
	case <-timer.C:
		s.countWarmupAnswer()
		return true
	case <-ctx.Done():
		s.counts.Canceled.Add(1)
		s.attributeRefusals()
		return false
	}
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, status wire.TargetStatus, reason outcome.Reason, message string) {
	run := false
	writeJSON(w, http.StatusServiceUnavailable, target.Refusal{TargetStatus: status, Run: &run, Reason: reason, Message: message})
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}
