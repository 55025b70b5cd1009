package soak

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// lossSlack is how long after its last byte was sent a request that no target got may
	// end with its connection while its host is stopping.
	lossSlack = 200 * time.Millisecond
	// afterStop is how long after the grace period a stop still explains the end of a
	// connection.
	afterStop = time.Second
	// slowService is the longest service time of a target while hosts are stopped one after
	// the other: calls are open at each moment of a stop, and some when its grace ends.
	slowService = 3500 * time.Millisecond
	// In one series of stops in usualStops, on average, targets take at most usualService.
	usualStops   = 3
	usualService = 300 * time.Millisecond
)

// plannedStop is the stop of a host by a signal.
type plannedStop struct {
	host  string // address at which callers reach it
	at    time.Time
	grace time.Duration
	ended time.Time // when its process had ended; zero before
}

// AddStop records that a host was told to stop within a grace period.
func (c *Checker) AddStop(host string, at time.Time, grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops = append(c.stops, plannedStop{host: host, at: at, grace: grace})
}

// EndStop records that the process of a host that was told to stop has ended.
func (c *Checker) EndStop(host string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.stops {
		if s := &c.stops[i]; s.host == host && s.ended.IsZero() {
			s.ended = at
		}
	}
}

// checkStops reports calls that a stopping host had read and whose connections it closed
// without an answer, unless a fault could be the cause. runs counts the runs by call.
func (c *Checker) checkStops(runs map[string]int) {
	for id, call := range c.calls {
		ended := repliedAt(call)
		if call.Left || !connectionEnded(&call.Reply) || c.disturbed(call.Sent.Add(-contactTime), ended) {
			continue
		}
		for _, s := range c.stops {
			if s.host != call.Host || ended.Before(s.at) || call.Sent.After(s.at.Add(s.grace+afterStop)) {
				continue
			}
			if runs[id] > 0 || call.Reply.Took > lossSlack {
				c.fail("call %s, sent %v after the stop of %s, had its connection closed after %v without an answer (%d runs): %v",
					id, call.Sent.Sub(s.at).Round(time.Millisecond), s.host, call.Reply.Took.Round(time.Millisecond), runs[id], call.Reply.Err)
			}
		}
	}
}

// StopCounts counts the calls that were sent to hosts while these were stopping, and what
// became of them.
type StopCounts struct {
	Calls, Served, Refused, Failed int
	Crossed                        int // further calls, which crossed the close of their connections
}

// String returns the counts as a part of a sentence.
func (c StopCounts) String() string {
	return fmt.Sprintf("%d calls to stopping hosts (%d served, %d refused, %d failed), %d crossed the close of their connections", c.Calls, c.Served, c.Refused, c.Failed, c.Crossed)
}

// CountStops returns the counts for calls that may be repeated and for those that may run once.
func (c *Checker) CountStops() (repeatable, once StopCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		if call.Left || call.Killer || !c.stopping(call.Host, call.Sent) {
			continue
		}
		counts := &repeatable
		if call.Method == http.MethodPost {
			counts = &once
		}
		if call.Reply.Status == 0 {
			if connectionEnded(&call.Reply) && !refusedConnection(call.Reply.Err) {
				counts.Crossed++
			}
			continue
		}
		counts.Calls++
		switch {
		case call.Reply.Status == http.StatusOK:
			counts.Served++
		case call.Reply.NotRun():
			counts.Refused++
		default:
			counts.Failed++
		}
	}
	return repeatable, once
}

// refusedConnection reports whether a call failed because its host took no connection.
func refusedConnection(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// stopping reports whether a host was stopping at a time. The lock must be held.
func (c *Checker) stopping(host string, at time.Time) bool {
	return slices.ContainsFunc(c.stops, func(s plannedStop) bool {
		return s.host == host && at.After(s.at) && (s.ended.IsZero() || at.Before(s.ended))
	})
}

// rollHosts stops some hosts one after the other, with stops that overlap, and starts each
// again when it has ended. Meanwhile targets take long for their work.
func (f *injector) rollHosts(ctx context.Context) {
	f.mu.Lock()
	if len(f.faulted) > 0 {
		f.mu.Unlock()
		return
	}
	order := f.rng.Perm(len(f.fleet.hosts))[:1+f.rng.IntN(len(f.fleet.hosts))]
	gap := f.randomDuration(100*time.Millisecond, f.fleet.grace)
	further := make([][]laterSignal, len(order))
	for i := range further {
		further[i] = f.laterSignals()
	}
	for _, i := range order {
		f.faulted[f.fleet.hosts[i]] = true
	}
	f.mu.Unlock()
	f.logf("%d hosts stop one after the other, every %v", len(order), gap)
	least := f.randomDuration(serviceTime, slowService)
	slowest := slowService
	if f.rng.IntN(usualStops) == 0 {
		least, slowest = serviceTime, usualService
	}
	for _, t := range f.fleet.targets[:atMostOnceTargets] {
		t.SetServiceTime(f.randomDuration(least, slowest))
	}
	f.loseTargets(ctx, time.Duration(len(order))*gap+f.fleet.grace)
	f.wg.Go(func() {
		for n, i := range order {
			f.wg.Go(func() { f.stopAndStart(f.fleet.hosts[i], further[n]) })
			sleep(ctx, gap)
		}
		sleep(ctx, f.fleet.grace)
		for _, t := range f.fleet.targets[:atMostOnceTargets] {
			t.SetServiceTime(serviceTime)
		}
	})
}

// loseTargets makes up to two targets unreachable for a time: they take no connection, or
// take requests and do not answer. Unlike a random fault, it excuses no host that is stopping:
// each call that such a host reads has to be answered, whatever its targets do.
func (f *injector) loseTargets(ctx context.Context, length time.Duration) {
	lost := f.rng.Perm(atMostOnceTargets)[:f.rng.IntN(3)]
	silent := f.rng.IntN(2) == 0
	for _, i := range lost {
		t := f.fleet.targets[i]
		f.logf("%s is lost for %v, silent: %v", t.ID, length, silent)
		f.wg.Go(func() {
			if silent {
				t.proxy.SetMode(Blackhole)
				sleep(ctx, length)
				t.proxy.SetMode(Healthy)
				return
			}
			resume := t.proxy.SuspendAccept()
			sleep(ctx, length)
			resume()
		})
	}
}

// laterSignals draws the signals that a host gets while it is stopping: none, or a series of
// repeated stops and announcements of changed settings.
func (f *injector) laterSignals() []laterSignal {
	signals := make([]laterSignal, f.rng.IntN(5))
	for i := range signals {
		signals[i] = laterSignal{f.randomDuration(0, f.fleet.grace), []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}[f.rng.IntN(3)]}
	}
	slices.SortFunc(signals, func(a, b laterSignal) int { return cmp.Compare(a.after, b.after) })
	return signals
}

// stopAndStart stops a host, checks that it ends with status 0, and starts it again.
func (f *injector) stopAndStart(h *host, further []laterSignal) {
	address, from := h.Address(h.Ports.Callers), time.Now()
	f.fleet.checker.AddStop(address, from, f.fleet.grace)
	if err := h.stop(f.fleet.grace, further...); err != nil {
		f.fleet.checker.Fail(fmt.Sprintf("%s ended with an error when it was stopped: %v", h.Name, err))
	}
	f.fleet.checker.EndStop(address, time.Now())
	f.restart(h)
	f.fleet.checker.AddHostFault(address, from, time.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.faulted, h)
}
