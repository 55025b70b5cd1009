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
}

// run starts faults one after the other, which last and overlap, until the context
// ends, and returns once all are over.
func (f *storm) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.one(ctx)
		pause(ctx, time.Duration(100+f.rng.IntN(900))*time.Millisecond)
	}
	f.wg.Wait()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (f *storm) one(ctx context.Context) {
	length := time.Duration(500+f.rng.IntN(3500)) * time.Millisecond
	switch f.rng.IntN(11) {
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
		f.drain(ctx, f.target())
	case 9:
		h := f.site.hosts[f.rng.IntN(len(f.site.hosts))]
		f.say("reload %s", h.Name)
		h.signal(syscall.SIGHUP)
	default:
		f.reconfigure()
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
	const contact = 4 * time.Second
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
	link := Delayed + Link(f.rng.IntN(int(links-Delayed)))
	f.harm(length)
	f.say("link %d to %s for %v", link, what, length)
	f.wg.Go(func() {
		p.Set(link)
		pause(ctx, length)
		p.Set(Open)
	})
}

func (f *storm) store(ctx context.Context, length time.Duration) {
	f.harm(length)
	if f.rng.IntN(3) == 0 {
		f.say("the store drops its history")
		f.site.store.Compact()
		return
	}
	mode := platformtest.Busy + platformtest.Mode(f.rng.IntN(2))
	f.say("store in mode %d for %v", mode, length)
	f.wg.Go(func() {
		f.site.store.SetMode(mode)
		pause(ctx, length)
		f.site.store.SetMode(platformtest.Sound)
	})
}

// answers makes a target slow, refuse, or lose a part of its answers.
func (f *storm) answers(ctx context.Context, t *target, length time.Duration) {
	kind := f.rng.IntN(3)
	f.say("answers of %s, kind %d, for %v", t.ID, kind, length)
	f.wg.Go(func() {
		switch kind {
		case 0:
			t.SetWork(20 * serviceTime)
		case 1:
			t.SetRefuse(true)
		default:
			t.SetLose(3)
		}
		pause(ctx, length)
		t.SetWork(serviceTime)
		t.SetRefuse(false)
		t.SetLose(0)
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
		pause(ctx, drainAllowed+2*time.Second)
		f.mu.Lock()
		harmed := f.harmed.After(since)
		f.mu.Unlock()
		if !harmed {
			f.site.check.Closed(t.ID, since.Add(drainAllowed))
		}
	})
}

func (f *storm) reconfigure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng.IntN(3) > 0 || f.sets >= 3 {
		f.say("a new version of the configuration")
		f.site.publish()
		return
	}
	f.sets++
	f.say("a new set of shards")
	if err := f.site.newSet(fmt.Sprint("set", f.sets, "-")); err != nil {
		f.say("no new set: %v", err)
	}
}
