package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

const (
	// readyLimit is the time within which hosts take callers after their start.
	readyLimit = 20 * time.Second
	// recovery is the time after the last fault from which callers must be served.
	recovery = 12 * time.Second
	// measured is how long they are watched then.
	measured = 3 * time.Second
	// leastServed is the fraction of calls that must succeed then.
	leastServed = 0.9
)

// Options of a run.
type Options struct {
	Binary        string // of lacewingyard
	Dir           string // for settings and the output of the hosts
	Seed          uint64
	Hosts         int
	Callers       int
	FaultDuration time.Duration // of the faults
	Logf          func(format string, args ...any)
}

// Report is the result of a run.
type Report struct {
	Calls, Served, Runs int
	CheckedChanges      int // changes of which it was checked that they were in force in time
	Violations          []string
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	s, err := newSite(o.Binary, o.Dir, o.Hosts)
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
	var next atomic.Int64
	for i := range o.Callers {
		c := &caller{site: s, place: fmt.Sprint("p", i%places), rng: rand.New(rand.NewPCG(o.Seed, uint64(i))),
			client: &http.Client{Transport: &http.Transport{}}, next: &next}
		callers.Go(func() { c.run(calling) })
	}
	faults, stopFaults := context.WithTimeout(ctx, o.FaultDuration)
	storm := &storm{site: s, rng: rand.New(rand.NewPCG(o.Seed, 1<<32)), say: o.Logf, busy: map[*host]bool{}, drained: map[string]bool{}}
	storm.run(faults)
	stopFaults()
	pause(ctx, recovery)
	recovered := time.Now()
	pause(ctx, measured)
	stopCalling()
	callers.Wait()
	r := s.report(recovered)
	r.CheckedChanges = storm.judged
	return r, nil
}

func (s *site) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyLimit)
	for _, h := range s.hosts {
		for !platformtest.Ready(ctx, s.client, h.Address(h.Ports.Ready)) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%s is not ready after %v", h.Name, readyLimit)
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func (s *site) report(recovered time.Time) Report {
	runs := s.log.Runs()
	r := Report{Runs: len(runs), Violations: s.check.Finish(runs)}
	r.Calls, r.Served = s.check.Served(time.Time{})
	if sent, served := s.check.Served(recovered); float64(served) < leastServed*float64(sent) || sent == 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("of %d calls after the recovery time %d were served", sent, served))
	}
	return r
}
