package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

// drainDeadline is the time within which a draining target may still receive requests,
// from the return of the call that writes the target's entry to the store. The value is
// the bound in the settings plus an allowance for scheduling delays on a machine with many
// processes.
const drainDeadline = 3*time.Second + 500*time.Millisecond

// evacuationDeadline and configDeadline are the corresponding times for an evacuated
// place and for a new configuration.
const (
	evacuationDeadline = 5*time.Second + 500*time.Millisecond
	configDeadline     = drainDeadline
)

const (
	// disturbanceMargin is the time after the end of a fault for which hosts may still
	// miss the deadlines of changes.
	disturbanceMargin = 4 * time.Second
	// changePeriod is the length of a period with planned changes only, and checkPeriod
	// the time after that within which the last change has been checked.
	changePeriod = 5 * time.Second
	checkPeriod  = evacuationDeadline + 3*time.Second
	// The first fault, and one in crowdFaults of the others on average, is a crowd of callers
	// that hold bodies open, if there are to be any.
	crowdFaults = 8
)

// injector injects faults and makes planned changes.
type injector struct {
	fleet *testFleet
	rng   *rand.Rand // of run
	// tenantRng draws the changes of tenants, which go on beside all else.
	tenantRng *rand.Rand
	logf      func(format string, args ...any)

	plannedOnly bool // no faults
	crowd       int  // callers that hold bodies open, in each such fault; 0: no such fault
	crowds      int  // such faults so far

	mu             sync.Mutex
	wg             sync.WaitGroup
	faulted        map[*host]bool   // hosts with a fault of their process
	disturbedUntil time.Time        // deadlines of changes made before are not checked
	drained        map[string]bool  // services with a target that drains or leaves
	noticed        map[*target]bool // targets that give a notice
	shardSets      int              // started after the first one
	evacuating     string           // the evacuated place; empty for none
	checkedChanges int              // changes for which the time to take effect was checked

	began       time.Time         // when faults began
	rollingBack bool              // whether a rollback of the store is going on
	unwritten   platformtest.Lost // writes that the store lost and that will be written again
	rewritten   time.Time         // when the last of these was written again or overtaken
	quietUntil  time.Time         // the configuration does not change before
	rollbacks   RollbackCounts
}

// run starts faults, which overlap, until the context ends, and returns once all have
// ended. Periods of faults of 4 to 8 s alternate with periods of planned changes only,
// because the deadlines of changes can be checked only if no fault delays the hosts.
func (f *injector) run(ctx context.Context) {
	faultsUntil := time.Now().Add(f.randomDuration(4*time.Second, 8*time.Second))
	if f.plannedOnly {
		faultsUntil = time.Now()
	}
	f.wg.Go(func() { f.changeTenants(ctx) })
	for ctx.Err() == nil {
		if time.Now().Before(faultsUntil) {
			f.injectFault(ctx)
		} else {
			f.makePlannedChanges(ctx)
			if !f.plannedOnly {
				faultsUntil = time.Now().Add(f.randomDuration(4*time.Second, 8*time.Second))
			}
		}
		sleep(ctx, f.randomDuration(100*time.Millisecond, time.Second))
	}
	f.wg.Wait()
}

// makePlannedChanges waits until no fault can delay the hosts, makes planned changes,
// and waits until these have been checked.
func (f *injector) makePlannedChanges(ctx context.Context) {
	f.mu.Lock()
	disturbedUntil := f.disturbedUntil
	f.mu.Unlock()
	sleep(ctx, time.Until(disturbedUntil))
	f.logf("planned changes only")
	f.rollHosts(ctx)
	for until := time.Now().Add(changePeriod); time.Now().Before(until) && ctx.Err() == nil; {
		f.makeChange(ctx)
		sleep(ctx, f.randomDuration(300*time.Millisecond, 1500*time.Millisecond))
	}
	sleep(ctx, checkPeriod)
}

// randomDuration draws a duration in [least, most).
func (f *injector) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(f.rng.Int64N(int64(most-least)))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// injectFault starts one fault or change.
func (f *injector) injectFault(ctx context.Context) {
	length := f.randomDuration(500*time.Millisecond, 4*time.Second)
	if f.crowd > 0 && (f.crowds == 0 || f.rng.IntN(crowdFaults) == 0) {
		f.holdBodies(ctx, length)
		return
	}
	if f.firstRollbackDue() {
		f.rollBackStore(ctx)
		return
	}
	switch f.rng.IntN(17) {
	case 0:
		f.processFault(ctx, "pause", length, func(h *host) { h.signal(syscall.SIGSTOP) }, func(h *host) { h.signal(syscall.SIGCONT) })
	case 1:
		f.processFault(ctx, "kill", length, (*host).kill, f.restart)
	case 2:
		f.processFault(ctx, "stop", 0, func(h *host) { _ = h.stop(f.fleet.grace) }, f.restart) // a fault beside it may end the process
	case 3, 4:
		f.linkFault(ctx, "target", f.target().proxy, length)
	case 5:
		h := f.fleet.hosts[f.rng.IntN(len(f.fleet.hosts))]
		f.fleet.checker.AddHostFault(h.Address(h.Ports.Callers), time.Now(), time.Now().Add(length))
		f.linkFault(ctx, "store of a host", h.storeProxy, length)
	case 6:
		f.storeFault(ctx, length)
	case 7:
		f.answerFault(ctx, f.target(), length)
	case 8:
		f.killAll(ctx)
	case 9, 10:
		f.giveNotice(ctx, f.target())
	case 11, 12:
		f.rollBackStore(ctx)
	default:
		f.makeChange(ctx)
	}
}

// makeChange makes one planned change.
func (f *injector) makeChange(ctx context.Context) {
	switch f.rng.IntN(6) {
	case 0:
		f.drain(ctx, f.target())
	case 4, 5:
		f.giveNotice(ctx, f.target())
	case 1:
		f.reload(f.fleet.hosts[f.rng.IntN(len(f.fleet.hosts))])
	case 2:
		f.evacuate(ctx)
	default:
		f.reconfigure(ctx)
	}
}

// reload announces changed settings to a host, unless its process has a fault or is stopping.
func (f *injector) reload(h *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faulted[h] {
		return
	}
	f.logf("%s reloads its settings", h.Name)
	h.signal(syscall.SIGHUP)
}

// target draws a target of the current set of shards or, in one of three cases, of the
// at-most-once service.
func (f *injector) target() *target {
	f.mu.Lock()
	defer f.mu.Unlock()
	recent := f.fleet.targets[max(0, len(f.fleet.targets)-places*shardsPerSet):]
	if f.rng.IntN(3) == 0 {
		recent = f.fleet.targets[:atMostOnceTargets]
	}
	return recent[f.rng.IntN(len(recent))]
}

// recordDisturbance suspends the checks of deadlines for a fault of the given length and
// for disturbanceMargin after it.
func (f *injector) recordDisturbance(length time.Duration) {
	until := time.Now().Add(length + disturbanceMargin)
	f.fleet.checker.AddDisturbance(time.Now(), until)
	f.mu.Lock()
	defer f.mu.Unlock()
	if until.After(f.disturbedUntil) {
		f.disturbedUntil = until
	}
}

// processFault injects a fault into a host's process for a given time. It does nothing
// if the drawn host has a fault already, or if more than half of the hosts would have one.
func (f *injector) processFault(ctx context.Context, what string, length time.Duration, begin, end func(*host)) {
	f.mu.Lock()
	h := f.fleet.hosts[f.rng.IntN(len(f.fleet.hosts))]
	if f.faulted[h] || 2*(len(f.faulted)+1) > len(f.fleet.hosts) {
		f.mu.Unlock()
		return
	}
	f.faulted[h] = true
	f.mu.Unlock()
	f.recordDisturbance(length + f.fleet.grace)
	f.logf("%s %s for %v", what, h.Name, length)
	f.wg.Go(func() {
		from := time.Now()
		begin(h)
		sleep(ctx, length)
		end(h)
		f.fleet.checker.AddHostFault(h.Address(h.Ports.Callers), from, time.Now())
		f.mu.Lock()
		delete(f.faulted, h)
		f.mu.Unlock()
	})
}

func (f *injector) restart(h *host) {
	if err := f.fleet.startHost(h); err != nil {
		f.logf("restart failed: %v", err)
	}
}

func (f *injector) linkFault(ctx context.Context, what string, p *Proxy, length time.Duration) {
	mode := Delayed + LinkMode(f.rng.IntN(int(linkModes-Delayed)))
	f.recordDisturbance(length)
	f.logf("link mode %d to %s for %v", mode, what, length)
	f.wg.Go(func() {
		p.SetMode(mode)
		sleep(ctx, length)
		p.SetMode(Healthy)
	})
}

func (f *injector) storeFault(ctx context.Context, length time.Duration) {
	f.recordDisturbance(length)
	if f.rng.IntN(3) == 0 {
		f.logf("store compacts its history")
		f.fleet.store.Compact()
		return
	}
	mode := platformtest.Unavailable + platformtest.Mode(f.rng.IntN(2))
	f.logf("store in mode %d for %v", mode, length)
	f.wg.Go(func() {
		from := time.Now()
		f.fleet.store.SetMode(mode)
		sleep(ctx, length)
		f.fleet.store.SetMode(platformtest.Healthy)
		f.fleet.checker.AddStoreFault(from, time.Now())
	})
}

// notRunStatuses mean "not run" to callers.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// answerFault makes a target slow, refuse requests, drop every third answer or fail every third
// request after it has run.
func (f *injector) answerFault(ctx context.Context, t *target, length time.Duration) {
	kind, status := f.rng.IntN(4), notRunStatuses[f.rng.IntN(len(notRunStatuses))]
	f.logf("answers of %s with fault %d for %v", t.ID, kind, length)
	f.wg.Go(func() {
		switch kind {
		case 0:
			t.SetServiceTime(20 * serviceTime)
		case 1:
			t.SetRefuse(true)
		case 2:
			t.SetDropEvery(3)
		default:
			t.SetFailEvery(3, status)
		}
		sleep(ctx, length)
		t.SetServiceTime(serviceTime)
		t.SetRefuse(false)
		t.SetDropEvery(0)
		t.SetFailEvery(0, 0)
	})
}

// drain makes a target report that it is draining until the end of the run. It does
// nothing if another target of the service is draining already.
// The deadline counts from the time from which no fault could delay the hosts.
func (f *injector) drain(ctx context.Context, t *target) {
	f.mu.Lock()
	if f.drained[t.Service] {
		f.mu.Unlock()
		return
	}
	f.drained[t.Service] = true
	f.mu.Unlock()
	f.logf("%s is draining", t.ID)
	f.wg.Go(func() {
		f.fleet.store.Put(t.Key(), t.Entry("draining"))
		if since, ok := f.awaitInForce(ctx, time.Now(), drainDeadline); ok {
			f.fleet.checker.ForbidRuns(t.ID, since.Add(drainDeadline), time.Time{})
		}
	})
}

// awaitUndisturbed waits and reports whether the deadline of a change made at since can
// be checked, because no fault could delay the hosts and the run has not ended.
func (f *injector) awaitUndisturbed(ctx context.Context, since time.Time, wait time.Duration) bool {
	sleep(ctx, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disturbedUntil.After(since) || ctx.Err() != nil {
		return false
	}
	f.checkedChanges++
	return true
}

// awaitInForce waits until a change that was made at since, and that stays, has had time to take
// effect without a fault that could delay the hosts, or make the store lose the change. It returns
// since when that time counts, or false if the run has ended before.
func (f *injector) awaitInForce(ctx context.Context, since time.Time, deadline time.Duration) (time.Time, bool) {
	for !f.awaitUndisturbed(ctx, since, time.Until(since.Add(deadline+2*time.Second))) {
		if ctx.Err() != nil {
			return since, false
		}
		f.mu.Lock()
		since = f.disturbedUntil
		f.mu.Unlock()
	}
	return since, true
}

// evacuate takes a random place out of service temporarily. It does nothing while a place
// is evacuated already.
func (f *injector) evacuate(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuating != "" {
		return
	}
	place := fmt.Sprint("p", f.rng.IntN(places))
	f.evacuating = place
	f.logf("place %s is evacuated", place)
	f.wg.Go(func() {
		f.fleet.store.Put(platformtest.EvacuationKey(place), struct{}{})
		since := time.Now()
		checked := f.awaitUndisturbed(ctx, since, evacuationDeadline+2*time.Second)
		until := time.Now()
		f.fleet.store.Delete(platformtest.EvacuationKey(place))
		f.mu.Lock()
		defer f.mu.Unlock()
		f.evacuating = ""
		for _, t := range f.fleet.targets {
			if checked && t.Place == place {
				f.fleet.checker.ForbidRuns(t.ID, since.Add(evacuationDeadline), until)
			}
		}
	})
}

// killAll kills all hosts at once and restarts them, unless a host has a fault of its
// process already.
func (f *injector) killAll(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faulted) > 0 {
		return
	}
	for _, h := range f.fleet.hosts {
		f.faulted[h] = true
	}
	f.logf("all hosts are killed")
	f.wg.Go(func() {
		f.recordDisturbance(f.fleet.grace)
		from := time.Now()
		for _, h := range f.fleet.hosts {
			h.kill()
		}
		sleep(ctx, 300*time.Millisecond)
		for _, h := range f.fleet.hosts {
			f.restart(h)
			f.fleet.checker.AddHostFault(h.Address(h.Ports.Callers), from, time.Now())
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		clear(f.faulted)
	})
}

func (f *injector) reconfigure(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.quiet() {
		return
	}
	if f.rng.IntN(3) > 0 || f.shardSets >= 3 {
		f.logf("new version of the configuration with the same shards")
		f.fleet.publish()
		return
	}
	f.shardSets++
	f.logf("new set of shards")
	old := f.fleet.shards
	if err := f.fleet.newShardSet(fmt.Sprint("set", f.shardSets, "-")); err != nil {
		f.logf("starting a new set of shards failed: %v", err)
		return
	}
	since := time.Now()
	f.wg.Go(func() {
		if since, ok := f.awaitInForce(ctx, since, configDeadline); ok {
			f.fleet.checker.RetireShardSet(old, since.Add(configDeadline))
		}
	})
}
