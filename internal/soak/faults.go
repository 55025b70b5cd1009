package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

// drainAllowed is the time after the store's answer within which a target that
// drains may still get requests: the bound in the settings plus what a machine
// with many processes adds.
const drainAllowed = 3*time.Second + 500*time.Millisecond

// evacuateAllowed is the same for an evacuation, and applyAllowed for a
// configuration.
const (
	evacuateAllowed = 5*time.Second + 500*time.Millisecond
	applyAllowed    = drainAllowed
)

const (
	// contact is the time after a fault from which hosts are held to what they must
	// do in time.
	contact = 4 * time.Second
	// changeSpan is how long there are planned changes only, and judgeSpan how long
	// the last of them takes to be judged.
	changeSpan = 5 * time.Second
	judgeSpan  = evacuateAllowed + 3*time.Second
)

// storm injects faults until it is stopped.
type storm struct {
	site *site
	rng  *rand.Rand
	say  func(format string, args ...any)

	mu      sync.Mutex
	wg      sync.WaitGroup
	busy    map[*host]bool  // hosts with a fault of their process
	harmed  time.Time       // until when drains are not judged
	drained map[string]bool // services of which a target drains
	sets    int
	emptied string // the place that is evacuated
	judged  int    // changes of which it was checked that they were in force in time
}

// run starts faults one after the other, which last and overlap, until the context
// ends, and returns once all are over. After some seconds of faults there are some
// of planned changes only: what hosts must do in time is judged if nothing kept
// them from it.
func (f *storm) run(ctx context.Context) {
	calm := time.Now().Add(f.between(4*time.Second, 8*time.Second))
	for ctx.Err() == nil {
		if time.Now().Before(calm) {
			f.fault(ctx)
		} else {
			f.calm(ctx)
			calm = time.Now().Add(f.between(4*time.Second, 8*time.Second))
		}
		pause(ctx, f.between(100*time.Millisecond, time.Second))
	}
	f.wg.Wait()
}

// calm waits until no fault excuses anything, makes planned changes, and waits until
// they were judged.
func (f *storm) calm(ctx context.Context) {
	f.mu.Lock()
	harmed := f.harmed
	f.mu.Unlock()
	pause(ctx, time.Until(harmed))
	f.say("calm")
	for until := time.Now().Add(changeSpan); time.Now().Before(until) && ctx.Err() == nil; {
		f.change(ctx)
		pause(ctx, f.between(300*time.Millisecond, 1500*time.Millisecond))
	}
	pause(ctx, judgeSpan)
}

// between draws a time.
func (f *storm) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.rng.Int64N(int64(most-least)))
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// fault starts one fault or change.
func (f *storm) fault(ctx context.Context) {
	length := f.between(500*time.Millisecond, 4*time.Second)
	switch f.rng.IntN(13) {
	case 0:
		f.process(ctx, "pause", length, func(h *host) { h.signal(syscall.SIGSTOP) }, func(h *host) { h.signal(syscall.SIGCONT) })
	case 1:
		f.process(ctx, "kill", length, (*host).kill, f.restart)
	case 2:
		f.process(ctx, "end", 0, (*host).stop, f.restart)
	case 3, 4:
		f.link(ctx, "target", f.target().proxy, length)
	case 5:
		f.link(ctx, "store of a host", f.site.hosts[f.rng.IntN(len(f.site.hosts))].store, length)
	case 6:
		f.store(ctx, length)
	case 7:
		f.answers(ctx, f.target(), length)
	case 8:
		f.killAll(ctx)
	default:
		f.change(ctx)
	}
}

// change makes one planned change.
func (f *storm) change(ctx context.Context) {
	switch f.rng.IntN(4) {
	case 0:
		f.drain(ctx, f.target())
	case 1:
		h := f.site.hosts[f.rng.IntN(len(f.site.hosts))]
		f.say("reload %s", h.Name)
		h.signal(syscall.SIGHUP)
	case 2:
		f.evacuate(ctx)
	default:
		f.reconfigure(ctx)
	}
}

// target returns a target of the set in force, or one that runs requests once.
func (f *storm) target() *target {
	f.mu.Lock()
	defer f.mu.Unlock()
	recent := f.site.targets[max(0, len(f.site.targets)-places*shardsOfSet):]
	if f.rng.IntN(3) == 0 {
		recent = f.site.targets[:onceTargets]
	}
	return recent[f.rng.IntN(len(recent))]
}

// harm records a fault that excuses late knowledge until some time after it.
func (f *storm) harm(length time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until := time.Now().Add(length + contact); until.After(f.harmed) {
		f.harmed = until
	}
}

// process harms a host's process for a while. At least half of the hosts are left
// alone.
func (f *storm) process(ctx context.Context, what string, length time.Duration, begin, end func(*host)) {
	f.mu.Lock()
	h := f.site.hosts[f.rng.IntN(len(f.site.hosts))]
	if f.busy[h] || 2*(len(f.busy)+1) > len(f.site.hosts) {
		f.mu.Unlock()
		return
	}
	f.busy[h] = true
	f.mu.Unlock()
	f.harm(length + grace)
	f.say("%s %s for %v", what, h.Name, length)
	f.wg.Go(func() {
		begin(h)
		pause(ctx, length)
		end(h)
		f.mu.Lock()
		delete(f.busy, h)
		f.mu.Unlock()
	})
}

func (f *storm) restart(h *host) {
	if err := f.site.startHost(h); err != nil {
		f.say("a host did not start: %v", err)
	}
}

func (f *storm) link(ctx context.Context, what string, p *Proxy, length time.Duration) {
	link := Delayed + LinkMode(f.rng.IntN(int(links-Delayed)))
	f.harm(length)
	f.say("link %d to %s for %v", link, what, length)
	f.wg.Go(func() {
		p.SetMode(link)
		pause(ctx, length)
		p.SetMode(Healthy)
	})
}

func (f *storm) store(ctx context.Context, length time.Duration) {
	f.harm(length)
	if f.rng.IntN(3) == 0 {
		f.say("the store drops its history")
		f.site.store.Compact()
		return
	}
	mode := platformtest.Unavailable + platformtest.Mode(f.rng.IntN(2))
	f.say("store in mode %d for %v", mode, length)
	f.wg.Go(func() {
		f.site.store.SetMode(mode)
		pause(ctx, length)
		f.site.store.SetMode(platformtest.Healthy)
	})
}

// answers makes a target slow, refuse, or lose a part of its answers.
func (f *storm) answers(ctx context.Context, t *target, length time.Duration) {
	kind := f.rng.IntN(3)
	f.say("answers of %s, kind %d, for %v", t.ID, kind, length)
	f.wg.Go(func() {
		switch kind {
		case 0:
			t.SetServiceTime(20 * serviceTime)
		case 1:
			t.SetRefuse(true)
		default:
			t.SetDropEvery(3)
		}
		pause(ctx, length)
		t.SetServiceTime(serviceTime)
		t.SetRefuse(false)
		t.SetDropEvery(0)
	})
}

// drain makes a target report that it drains, one of each service at most. It is
// judged only if no fault could keep hosts from knowing.
func (f *storm) drain(ctx context.Context, t *target) {
	f.mu.Lock()
	if f.drained[t.Service] {
		f.mu.Unlock()
		return
	}
	f.drained[t.Service] = true
	f.mu.Unlock()
	f.say("%s drains", t.ID)
	f.wg.Go(func() {
		f.site.store.Put(t.Key(), t.Entry("draining"))
		since := time.Now()
		if f.unharmed(ctx, since, drainAllowed+2*time.Second) {
			f.site.check.ForbidRuns(t.ID, since.Add(drainAllowed), time.Time{})
		}
	})
}

// unharmed waits for a while and reports whether no fault since a time could keep
// hosts from knowing.
func (f *storm) unharmed(ctx context.Context, since time.Time, wait time.Duration) bool {
	pause(ctx, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.harmed.After(since) || ctx.Err() != nil {
		return false
	}
	f.judged++
	return true
}

// evacuate takes a place out of service for a while, one at a time.
func (f *storm) evacuate(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.emptied != "" {
		return
	}
	place := fmt.Sprint("p", f.rng.IntN(places))
	f.emptied = place
	f.say("%s is evacuated", place)
	f.wg.Go(func() {
		f.site.store.Put(platformtest.EvacuationKey(place), struct{}{})
		since := time.Now()
		judged := f.unharmed(ctx, since, evacuateAllowed+2*time.Second)
		until := time.Now()
		f.site.store.Delete(platformtest.EvacuationKey(place))
		f.mu.Lock()
		defer f.mu.Unlock()
		f.emptied = ""
		for _, t := range f.site.targets {
			if judged && t.Place == place {
				f.site.check.ForbidRuns(t.ID, since.Add(evacuateAllowed), until)
			}
		}
	})
}

// killAll ends all hosts at once, unless one is harmed already.
func (f *storm) killAll(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.busy) > 0 {
		return
	}
	for _, h := range f.site.hosts {
		f.busy[h] = true
	}
	f.say("all hosts are killed")
	f.wg.Go(func() {
		f.harm(grace)
		for _, h := range f.site.hosts {
			h.kill()
		}
		pause(ctx, 300*time.Millisecond)
		for _, h := range f.site.hosts {
			f.restart(h)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		clear(f.busy)
	})
}

func (f *storm) reconfigure(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng.IntN(3) > 0 || f.sets >= 3 {
		f.say("a new version of the configuration")
		f.site.publish()
		return
	}
	f.sets++
	f.say("a new set of shards")
	old := f.site.shards
	if err := f.site.newSet(fmt.Sprint("set", f.sets, "-")); err != nil {
		f.say("no new set: %v", err)
		return
	}
	since := time.Now()
	f.wg.Go(func() {
		if f.unharmed(ctx, since, applyAllowed+2*time.Second) {
			f.site.check.RetireShardSet(old, since.Add(applyAllowed))
		}
	})
}
