package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

const (
	// readyTimeout is the time within which all hosts must be ready after their start.
	readyTimeout = 20 * time.Second
	// recoveryTime is the time after the last fault after which callers must be served.
	recoveryTime = 12 * time.Second
	// observationTime is the time after recoveryTime in which served calls are counted.
	observationTime = 3 * time.Second
	// minServedRatio is the fraction of the calls in observationTime that must succeed.
	minServedRatio = 0.9
)

// Options are the parameters of a run.
type Options struct {
	Binary        string // path of the lacewingyard executable
	Dir           string // existing directory for settings files and the output of the hosts
	Seed          uint64
	Hosts         int
	Callers       int
	Keepers       int           // callers that open connections ahead and keep them until they are closed
	Grace         time.Duration // between SIGTERM and SIGKILL when a host is stopped
	FaultDuration time.Duration // time during which faults are injected
	HeldBodies    int           // callers that hold bodies open, in each such fault; 0: no such fault
	PlannedOnly   bool          // make planned changes, among them stops of hosts, and inject no faults
	Logf          func(format string, args ...any)
}

// Report is the result of a run.
type Report struct {
	Calls, Served, Runs int   // calls sent, calls answered with status 200, and executions of requests on targets
	PeakMemory          int64 // most memory that a host used, in bytes
	RepeatableInStops   StopCounts
	OnceInStops         StopCounts
	Tenants             TenantCounts
	Routes              RouteCounts
	Rollbacks           RollbackCounts
	CheckedChanges      int // planned changes for which the time to take effect was checked
	Violations          []string
}

// Run starts a fleet with a fake platform, injects the faults of one seed and returns
// the results. A violation is part of the report, not an error; an error means that the
// fleet did not start or was not ready in time.
func Run(ctx context.Context, o Options) (Report, error) {
	s, err := newTestFleet(o.Binary, o.Dir, o.Hosts, o.Grace)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	for _, h := range s.hosts {
		if err := s.startHost(h); err != nil {
			return Report{}, err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return Report{}, err
	}
	calling, stopCalling := context.WithCancel(ctx)
	var callers sync.WaitGroup
	callers.Go(func() { s.watchMemory(calling) })
	var nextID atomic.Int64
	for i := range o.Callers {
		c := &caller{fleet: s, place: fmt.Sprint("p", i%places), rng: rand.New(rand.NewPCG(o.Seed, uint64(i))),
			client: &http.Client{Transport: httpanswer.NewTransport(&http.Transport{})}, nextID: &nextID, tenant: i}
		callers.Go(func() { c.run(calling) })
	}
	s.startKeepers(calling, &callers, o.Keepers, o.Seed, &nextID)
	faults, stopFaults := context.WithTimeout(ctx, o.FaultDuration)
	inj := &injector{fleet: s, rng: rand.New(rand.NewPCG(o.Seed, 1<<32)), tenantRng: rand.New(rand.NewPCG(o.Seed, 1<<34)), logf: o.Logf, plannedOnly: o.PlannedOnly, crowd: o.HeldBodies, faulted: map[*host]bool{}, drained: map[string]bool{}, noticed: map[*target]bool{}, unwritten: platformtest.Lost{}}
	inj.began = time.Now()
	callers.Go(func() { inj.changeRoutes(calling, rand.New(rand.NewPCG(o.Seed, 1<<35))) })
	s.startProbers(calling, &callers, o.Seed)
	inj.run(faults)
	s.checker.EndFaults(time.Now())
	stopFaults()
	sleep(ctx, recoveryTime)
	recovered := time.Now()
	sleep(ctx, observationTime)
	stopCalling()
	callers.Wait()
	r := s.report(recovered)
	r.CheckedChanges, r.Rollbacks = inj.checkedChanges, inj.rollbacks
	return r, nil
}

func (s *testFleet) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, h := range s.hosts {
		for !platformtest.Ready(ctx, s.client, h.Address(h.Ports.Ready)) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%s is not ready after %v", h.Name, readyTimeout)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func (s *testFleet) report(recovered time.Time) Report {
	runs := s.runLog.Runs()
	s.checker.Finish(runs)
	var received []platformtest.Run
	for _, t := range s.targets {
		received = append(received, t.Arrivals()...)
	}
	s.checker.CheckNotices(received)
	s.checkOutput()
	s.checker.CheckKeys(received)
	s.checker.CheckRoutes()
	r := Report{Runs: len(runs), PeakMemory: s.peakMemory, Violations: s.checker.CheckCaps(runs)}
	r.Calls, r.Served = s.checker.Served(time.Time{})
	r.Tenants, r.Routes = s.checker.CountTenants(), s.checker.CountRoutes()
	r.RepeatableInStops, r.OnceInStops = s.checker.CountStops()
	if sent, served := s.checker.ServedOfEntitled(recovered); float64(served) < minServedRatio*float64(sent) || sent == 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("of %d calls after the recovery time only %d were served", sent, served))
	}
	return r
}
