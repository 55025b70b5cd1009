package soak

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

// Bounds of the platform on what targets say about themselves.
const (
	// contactTime is how long hosts have to adapt to a limit, and to a request that ends its
	// targets.
	contactTime = 4 * time.Second
	// drainBound is how long after its first notice a leaving target may get requests.
	drainBound = 3 * time.Second
	// noticeDelay is how long after an answer with a notice requests of its host may still
	// arrive.
	noticeDelay = 500 * time.Millisecond
	// In any limitWindow a target may get limitExcess times its limit and limitExtra requests.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitExtra  = 5
	// maxTurnedAway is how many requests of a host may reach a target that wants none of it.
	maxTurnedAway = 2
	// maxLateKillers is how many requests that end their targets may reach one later than
	// contactTime after the third target has ended.
	maxLateKillers = 3
)

// NoticeKind is what a target says about itself.
type NoticeKind uint8

// The kinds of notices.
const (
	NoticeLeaving NoticeKind = iota
	NoticeLimit
	NoticeRetryAfter
	noticeKinds
)

// Notice is a span of time in which a target says something about itself.
type Notice struct {
	Target, Service string
	Kind            NoticeKind
	From, Until     time.Time
	Limit           float64       // requests a second, of NoticeLimit
	RetryAfter      time.Duration // of NoticeRetryAfter
}

// AddNotice records what a target said.
func (c *Checker) AddNotice(n Notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices = append(c.notices, n)
}

// AddHostFault records that the process of a host was faulted, or cut off, in a span of time;
// host is the address at which callers reach it.
func (c *Checker) AddHostFault(host string, from, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostFaults[host] = append(c.hostFaults[host], interval{from, until})
}

// AddDisturbance records that faults could keep hosts from answers in a span of time.
func (c *Checker) AddDisturbance(from, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances = append(c.disturbances, interval{from, until})
}

// arrival is a request that reached a target, and the call that it belongs to.
type arrival struct {
	platformtest.Run
	call *Call
}

// CheckNotices checks the requests that reached targets against what the targets said, and
// returns all violations found so far. It must be called after Finish.
func (c *Checker) CheckNotices(received []platformtest.Run) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	received = slices.Clone(received)
	slices.SortFunc(received, func(a, b platformtest.Run) int { return a.At.Compare(b.At) })
	byTarget := map[string][]arrival{}
	perShard := map[[2]string]int{} // requests by ID and service
	var killers []arrival
	for _, r := range received {
		call := c.calls[r.ID]
		if call == nil {
			continue // reported by Finish
		}
		a := arrival{r, call}
		byTarget[r.Target] = append(byTarget[r.Target], a)
		perShard[[2]string{r.ID, r.Service}]++
		if call.Killer {
			killers = append(killers, a)
		}
	}
	for _, n := range c.notices {
		told := func(a arrival) bool { return delivered(a, perShard) }
		switch n.Kind {
		case NoticeLeaving:
			c.checkLeaving(n, byTarget[n.Target], told)
		case NoticeLimit:
			c.checkLimit(n, byTarget[n.Target], told)
		case NoticeRetryAfter:
			c.checkRetryAfter(n, byTarget[n.Target])
		}
	}
	c.checkKillers(killers)
	return c.violations
}

// delivered reports whether the caller's reply shows that the host got the answer of a target.
func delivered(a arrival, perShard map[[2]string]int) bool {
	if a.call.Reply.Status != 200 {
		return false
	}
	if a.call.Method == "POST" {
		return true
	}
	if a.call.forwarded() {
		return perShard[[2]string{a.ID, a.Service}] == 1
	}
	return perShard[[2]string{a.ID, a.Service}] == 1 && slices.Contains(a.call.Reply.Parts, platformtest.Digest(a.Service, a.ID))
}

// faultedSince reports whether a host had a fault that began or lasted in a span of time.
func (c *Checker) faultedSince(host string, from, until time.Time) bool {
	return slices.ContainsFunc(c.hostFaults[host], func(f interval) bool { return f.from.Before(until) && f.until.After(from) })
}

// disturbed reports whether a disturbance overlaps a span of time.
func (c *Checker) disturbed(from, until time.Time) bool {
	return slices.ContainsFunc(c.disturbances, func(d interval) bool { return d.from.Before(until) && d.until.After(from) })
}

// repliedAt returns when the caller had the reply to a call.
func repliedAt(call *Call) time.Time { return call.Sent.Add(call.Reply.Took) }

// checkLeaving reports requests to a target that callers sent later than drainBound after
// their host had passed on an answer with the notice.
func (c *Checker) checkLeaving(n Notice, arrivals []arrival, told func(arrival) bool) {
	since := map[string]time.Time{} // by host: when it had passed on such an answer
	for _, a := range arrivals {
		if at, ok := since[a.call.Host]; ok && a.call.Sent.After(at.Add(drainBound)) && !c.faultedSince(a.call.Host, at, a.At) {
			c.fail("call %s reached target %s through %s %v after it had said that it leaves", a.ID, n.Target, a.call.Host, a.call.Sent.Sub(at))
		}
		if a.At.After(n.From) && told(a) {
			at := repliedAt(a.call)
			if known, ok := since[a.call.Host]; !ok || at.Before(known) || c.faultedSince(a.call.Host, known, a.At) {
				since[a.call.Host] = at
			}
		}
	}
}

// checkLimit reports a window in which a target got more than it had named, from hosts that
// it had told and that had no fault.
func (c *Checker) checkLimit(n Notice, arrivals []arrival, told func(arrival) bool) {
	since := map[string]time.Time{}
	var first time.Time
	var counted []time.Time
	for _, a := range arrivals {
		if a.At.Before(n.From) || a.At.After(n.Until) {
			continue
		}
		if at, ok := since[a.call.Host]; ok && a.At.After(at.Add(noticeDelay)) && a.At.After(first.Add(contactTime)) && !c.faultedSince(a.call.Host, n.From, a.At) {
			counted = append(counted, a.At)
		}
		if _, ok := since[a.call.Host]; !ok && told(a) {
			since[a.call.Host] = repliedAt(a.call)
			if first.IsZero() {
				first = a.At
			}
		}
	}
	allowed := limitExcess*n.Limit*limitWindow.Seconds() + limitExtra
	for i := range counted {
		end, _ := slices.BinarySearchFunc(counted[i:], counted[i].Add(limitWindow), time.Time.Compare)
		if float64(end) > allowed {
			c.fail("target %s got %d requests in %v, more than the %.0f that its limit of %.1f/s allows", n.Target, end, limitWindow, allowed, n.Limit)
			return
		}
	}
}

// checkRetryAfter reports requests of a host that reached a target in the time for which it had
// turned the host away.
func (c *Checker) checkRetryAfter(n Notice, arrivals []arrival) {
	for i, first := range arrivals {
		if !first.At.After(n.From) || first.At.After(n.Until) {
			continue
		}
		from, until := first.At.Add(noticeDelay), first.At.Add(n.RetryAfter)
		if c.faultedSince(first.call.Host, first.At, until) || c.disturbed(first.At, until) {
			continue
		}
		in := 0
		for _, a := range arrivals[i:] {
			if a.call.Host == first.call.Host && a.At.After(from) && a.At.Before(until) {
				in++
			}
		}
		if in > maxTurnedAway {
			c.fail("%d requests reached target %s through %s in the %v for which it had turned it away", in, n.Target, first.call.Host, n.RetryAfter)
			return
		}
	}
}

// checkKillers reports requests that end their targets and reached one later than contactTime
// after the third, through hosts without a fault.
func (c *Checker) checkKillers(killers []arrival) {
	if len(killers) < 3 {
		return
	}
	late := 0
	for _, k := range killers[3:] {
		inTouch := k.At.Add(-contactTime)
		if k.At.Sub(killers[2].At) > contactTime && !c.faultedSince(k.call.Host, inTouch, k.At) && !c.disturbed(inTouch, k.At) {
			late++
		}
	}
	if late > maxLateKillers {
		c.fail("a request that ends its targets reached %d of them later than %v after the third", late, contactTime)
	}
}

// giveNotice makes a target give a notice for a time, or until the end of the run if it
// leaves. It does nothing if another target of the service leaves already.
func (f *injector) giveNotice(ctx context.Context, t *target) {
	n := Notice{Target: t.ID, Service: t.Service, Kind: NoticeKind(f.rng.IntN(int(noticeKinds))), From: time.Now()}
	length := f.randomDuration(contactTime+limitWindow, 3*limitWindow)
	f.mu.Lock()
	if n.Kind == NoticeLeaving && f.drained[t.Service] || f.noticed[t] {
		f.mu.Unlock()
		return
	}
	f.drained[t.Service] = f.drained[t.Service] || n.Kind == NoticeLeaving
	f.noticed[t] = true
	f.mu.Unlock()
	f.logf("%s gives notice %d", t.ID, n.Kind)
	f.wg.Go(func() {
		switch n.Kind {
		case NoticeLeaving:
			t.SetLeaving(true)
			f.fleet.checker.AddNotice(n)
			return
		case NoticeLimit:
			n.Limit = 4
			t.SetLimit(strconv.FormatFloat(n.Limit, 'f', 1, 64))
		default:
			n.RetryAfter = 2 * time.Second
			t.SetRetryAfter(strconv.FormatFloat(n.RetryAfter.Seconds(), 'f', 1, 64))
		}
		sleep(ctx, length)
		n.Until = time.Now()
		t.SetLimit("")
		t.SetRetryAfter("")
		f.fleet.checker.AddNotice(n)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.noticed, t)
	})
}
