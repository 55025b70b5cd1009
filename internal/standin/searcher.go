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

// Searcher stands in for one target: it caps slots and connections, answers
// real searches of its shard at an index version, and logs what it ran.
type Searcher struct {
	ID    string
	Place string

	spec    settings.Target
	service string
	model   ServiceModel
	rng     *rand.Rand // guarded by mu
	address string

	mu       sync.Mutex
	shard    *Dataset
	covered  coverage.Covered
	versions []uint64
	state    wire.TargetState
	boot     int
	conns    map[net.Conn]bool // true: the connection is silent
	runs     map[string]int    // times each lookup ran, by request identifier
	searched map[string]int    // times each search ran, by request identifier
	server   *http.Server

	faults Faults
	cold   coldState
	excess []*excess // refusals that a cancellation may still explain

	noticed time.Time // last cancellation

	observe atomic.Pointer[func(http.Header)] // told the headers of each request; nil tells nobody

	active atomic.Int64
	counts Counts
}

// Counts is the searcher's own log of what happened to it.
type Counts struct {
	Searches           atomic.Int64 // searches run
	Lookups            atomic.Int64 // lookups run
	OverSlots          atomic.Int64 // requests refused because every slot was in use
	SlotRaces          atomic.Int64 // requests refused before a cancellation that freed their slot was noticed
	OverConns          atomic.Int64 // connections refused
	OverColdCapacity   atomic.Int64 // requests above what the cold searcher bears
	OverloadCrashes    atomic.Int64 // crashes from load while cold
	KillerQueryCrashes atomic.Int64 // crashes from a killer query
	Shed               atomic.Int64 // requests shed on purpose
	Drained            atomic.Int64 // requests refused while draining
	Canceled           atomic.Int64 // requests cancelled while they ran
}

// NewSearcher starts a warm searcher on a loopback port that serves index
// version 1. shard holds the records of its range r under a partition epoch. The
// error is the one of the listener.
func NewSearcher(spec settings.Target, service string, model ServiceModel, shard *Dataset, r keyspace.Range, epoch uint64, seed uint64) (*Searcher, error) {
	s := &Searcher{
		ID: spec.ID, Place: spec.Place, spec: spec, service: service, model: model, shard: shard,
		covered:  coverage.Covered{Range: r, Epoch: epoch, Records: uint64(shard.Len())},
		rng:      rand.New(rand.NewPCG(seed, keyspace.KeyOf(spec.ID))),
		versions: []uint64{1}, state: wire.TargetWarm, conns: map[net.Conn]bool{}, runs: map[string]int{}, searched: map[string]int{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.start(listener)
	return s, nil
}

// Address returns the searcher's IP and port; it is kept over restarts.
func (s *Searcher) Address() string { return s.address }

// Counts returns the searcher's counters.
func (s *Searcher) Counts() *Counts { return &s.counts }

// MaxLookupRuns returns the largest number of times that one command ran, and its
// identifier.
func (s *Searcher) MaxLookupRuns() (id string, runs int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, n := range s.runs {
		if n > runs {
			id, runs = k, n
		}
	}
	return id, runs
}

// OnRequest calls f with the headers of each request from now on.
func (s *Searcher) OnRequest(f func(http.Header)) { s.observe.Store(&f) }

// RunCounts returns how often each search and each lookup ran, by request
// identifier. The caller must not change the maps; read them when the searcher
// gets no more requests.
func (s *Searcher) RunCounts() (searches, lookups map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.searched, s.runs
}

// Versions returns the index versions that the searcher serves, oldest first.
func (s *Searcher) Versions() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.versions)
}

// AddLookupRuns adds the number of times that each lookup ran to a sum over searchers.
func (s *Searcher) AddLookupRuns(sum map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, n := range s.runs {
		sum[k] += n
	}
}

// SetVersions sets the index versions that the searcher serves, oldest first.
func (s *Searcher) SetVersions(versions ...uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = versions
}

// Kill ends the process: connections break and new ones are refused.
func (s *Searcher) Kill() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Restart starts a killed searcher again at its address, cold and with a new
// boot_id. It fails if another process has taken the address.
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
	if s.boot++; s.boot > 1 {
		s.cold = coldState{active: true, announced: true}
	}
	s.server = server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// connState closes connections above the limit.
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

// status returns what the searcher says about itself. The caller holds s.mu.
func (s *Searcher) status() wire.TargetStatus {
	state := s.state
	if s.cold.active && s.cold.announced && state == wire.TargetWarm {
		state = wire.TargetCold
	}
	return wire.TargetStatus{State: state, BootID: fmt.Sprintf("%s#%d", s.ID, s.boot), Versions: slices.Clone(s.versions)}
}

func (s *Searcher) search(w http.ResponseWriter, r *http.Request) {
	var body target.SearchBody
	if !s.admit(w, r, &body) {
		return
	}
	release := s.releaser()
	defer release()
	s.mu.Lock()
	version := body.Version
	if version == 0 {
		version = s.versions[len(s.versions)-1]
	}
	serves := slices.Contains(s.versions, version)
	status, covered, shard := s.status(), s.covered, s.shard
	s.mu.Unlock()
	if !serves {
		refuse(w, status, outcome.VersionGone, fmt.Sprintf("index version %d is not served", version))
		return
	}
	s.counts.Searches.Add(1)
	s.mu.Lock()
	s.searched[r.Header.Get(target.HeaderRequestID)]++
	s.mu.Unlock()
	if s.killedBy(body.Terms) || !s.work(r.Context()) {
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
	release := s.releaser()
	defer release()
	s.counts.Lookups.Add(1)
	s.mu.Lock()
	s.runs[r.Header.Get(target.HeaderRequestID)]++
	status, shard := s.status(), s.shard
	version := s.versions[len(s.versions)-1]
	s.mu.Unlock()
	if s.crashes() || !s.work(r.Context()) {
		return
	}
	answer := target.LookupAnswer{TargetStatus: status, Version: version}
	if rec, ok := shard.Lookup(version, body.ID); ok {
		answer.Found, answer.Record = true, &s.corrupt([]coverage.Record{rec})[0]
	}
	release()
	writeJSON(w, http.StatusOK, answer)
}

// admit takes a slot and decodes the body. It answers the request itself and
// returns false if the request does not run.
func (s *Searcher) admit(w http.ResponseWriter, r *http.Request, body any) bool {
	if f := s.observe.Load(); f != nil {
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
	if !s.takeSlot() {
		s.countExcess(arrived)
		refuse(w, status, outcome.Overload, "every slot is in use")
		return false
	}
	if s.overCold() {
		s.active.Add(-1)
		return false
	}
	return true
}

// releaser returns a function that frees the request's slot once. The slot is
// freed before the answer is written: a client may send the next request as
// soon as it has the answer.
func (s *Searcher) releaser() func() {
	return sync.OnceFunc(func() { s.active.Add(-1) })
}

// work takes the service time. It returns false if the request was cancelled.
func (s *Searcher) work(ctx context.Context) bool {
	timer := time.NewTimer(s.serviceTime())
	defer timer.Stop()
	select {
	case <-timer.C:
		s.warmUp()
		return true
	case <-ctx.Done():
		s.counts.Canceled.Add(1)
		s.explainExcess()
		return false
	}
}

// refuse answers that the request did not run.
func refuse(w http.ResponseWriter, status wire.TargetStatus, reason outcome.Reason, message string) {
	run := false
	writeJSON(w, http.StatusServiceUnavailable, target.Refusal{TargetStatus: status, Run: &run, Reason: reason, Message: message})
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}
