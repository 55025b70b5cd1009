package daemon

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quota"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// quotaBounds is how exactly the rate limits of tenants hold: in any 5 s, the hosts together
// run at most a quarter and 20 requests more than rate_per_s and burst allow. Without a
// tolerance only one token could be leased at a time, and a limit of more than about 100
// requests/s could not be reached.
var quotaBounds = quota.Bounds{Window: quota.DefaultWindow, Overshoot: 0.25, Slack: 20}

const (
	// quotaBatch is how long asks are collected for one message.
	quotaBatch = time.Millisecond
	// quotaSettleTime is how long after its start a host may use start tokens: by then
	// heartbeats of all live hosts have arrived, which are due once a second.
	quotaSettleTime = 3 * time.Second
	// quotaStartRefresh is the interval at which a host looks for the granting hosts until then.
	quotaStartRefresh = 100 * time.Millisecond
	// quotaSendTimeout ends an exchange whose answer would come too late for its ask.
	quotaSendTimeout = 500 * time.Millisecond
	// maxQuotaSends bounds the exchanges in progress with one host. Asks are repeated.
	maxQuotaSends = 4
	// maxStandingTenants is the largest number of limited tenants of which hosts hold a token
	// ahead of the first request. With more, only those with recent requests have one.
	maxStandingTenants = 1000
	// clockPauseThreshold is the difference between the wall clock and the monotonic clock,
	// which stands still in a pause of the machine, from which tokens are dropped.
	clockPauseThreshold = time.Second
)

// quotaView is what a host knows of the hosts that grant tokens.
type quotaView struct {
	hosts     []string // that grant, in order; this one included if it does
	listed    int      // hosts in the host list
	majority  bool     // this host reaches at least half of the hosts that it should reach
	restarted bool     // most hosts have just started
	directed  bool     // callers are directed to this host
	fullMesh  bool     // every host hears every other
}

// quotas applies the rate limits of tenants on this host and grants tokens to other hosts. It
// is safe for concurrent use. Its functions may be nil in an entry host that has no peers.
type quotas struct {
	self    string
	started time.Time
	view    func(now time.Time) quotaView
	send    func(ctx context.Context, to string, m *wire.QuotaRequest) (*wire.QuotaReply, error)
	// probe makes this host find out whether it reaches another one.
	probe func(host string)
	wake  chan struct{} // an ask may be due

	mu      sync.Mutex // guards what follows
	holder  *quota.Holder
	granter *quota.Granter
	limits  map[uint64]quota.Limit // of the tenants with a limit
	current quotaView
	sending map[string]int // exchanges in progress, by host
	leaving bool
	seen    time.Time // last refresh
}

func newQuotas(self string, seed uint64, now time.Time) *quotas {
	return &quotas{self: self, started: now, wake: make(chan struct{}, 1), sending: map[string]int{},
		holder: quota.NewHolder(quotaBounds, seed), granter: quota.NewGranter(quotaBounds, now)}
}

// configure puts the limits of a configuration in force.
func (q *quotas) configure(tree *settings.Tree) {
	limits := map[uint64]quota.Limit{}
	for i := range tree.Tenants() {
		if t := &tree.Tenants()[i]; t.Rate > 0 {
			limits[quota.Key(t.Name)] = limitOf(t)
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits = limits
}

func limitOf(t *tenant.Tenant) quota.Limit { return quota.Limit{Rate: t.Rate, Burst: t.Burst} }

// admit takes a token for a request of a tenant, or returns the refusal and true. It never
// waits for another host.
func (q *quotas) admit(now time.Time, t *tenant.Tenant) (outcome.Outcome, bool) {
	if t.Rate <= 0 {
		return outcome.Outcome{}, false
	}
	key, limit := quota.Key(t.Name), limitOf(t)
	q.mu.Lock()
	decision, retryAfter := q.holder.Admit(now, key, limit)
	if decision == quota.NoToken && now.Sub(q.started) < quotaSettleTime && q.holder.TakeStart(key, limit, q.current.listed) {
		decision = quota.Admitted
	}
	due := q.holder.AskDue(now, key)
	q.mu.Unlock()
	if due {
		q.wakeUp()
	}
	var o outcome.Outcome
	switch decision {
	case quota.Admitted:
		return outcome.Outcome{}, false
	case quota.OverLimit:
		o = outcome.Refused(outcome.OverQuota, "tenant %s exceeds %g requests per second", t.Name, t.Rate)
	default:
		o = outcome.Refused(outcome.NoToken, "this host has no token for a request of tenant %s yet", t.Name)
	}
	o.RetryAfter = retryAfter
	return o, true
}

// giveBack undoes admit for a request that did not run.
func (q *quotas) giveBack(t *tenant.Tenant) {
	if t.Rate <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.GiveBack(time.Now(), quota.Key(t.Name))
}

func (q *quotas) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run renews leases and sends asks until the context ends.
func (q *quotas) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		for ctx.Err() == nil {
			now := time.Now()
			q.refresh(now)
			interval := quota.RenewInterval
			if now.Sub(q.started) < quotaSettleTime {
				interval = quotaStartRefresh
			}
			sleepUntilDone(ctx, interval)
		}
	})
	timer := time.NewTimer(math.MaxInt64)
	defer timer.Stop()
	for {
		select {
		case <-q.wake:
			sleepUntilDone(ctx, quotaBatch)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		for to, asks := range q.dueAsks(time.Now()) {
			wg.Go(func() { q.exchange(ctx, to, asks) })
		}
		q.mu.Lock()
		wait, ok := q.holder.NextAsk(time.Now())
		q.mu.Unlock()
		if ok {
			timer.Reset(max(wait, quotaBatch))
		}
	}
}

func sleepUntilDone(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// dueAsks returns the asks that are due, by granting host. It answers those for which this host
// grants itself.
func (q *quotas) dueAsks(now time.Time) map[string][]quota.Ask {
	q.mu.Lock()
	defer q.mu.Unlock()
	byHost := map[string][]quota.Ask{}
	for _, a := range q.holder.Asks(now) {
		to := quota.GrantingHost(a.Tenant, q.current.hosts)
		byHost[to] = append(byHost[to], a)
	}
	q.holder.Granted(now, q.grant(now, q.self, byHost[q.self]))
	delete(byHost, q.self)
	delete(byHost, "") // no host grants
	for to := range byHost {
		if q.sending[to] >= maxQuotaSends {
			delete(byHost, to)
			continue
		}
		q.sending[to]++
	}
	return byHost
}

// exchange sends asks to a granting host and takes the grants.
func (q *quotas) exchange(ctx context.Context, to string, asks []quota.Ask) {
	ctx, cancel := context.WithTimeout(ctx, quotaSendTimeout)
	defer cancel()
	for batch := range slices.Chunk(asks, wire.MaxQuotaItems) {
		reply, err := q.send(ctx, to, &wire.QuotaRequest{From: q.self, Asks: batch})
		if err != nil {
			break
		}
		q.mu.Lock()
		q.holder.Granted(time.Now(), reply.Grants)
		q.mu.Unlock()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.sending[to]--; q.sending[to] == 0 {
		delete(q.sending, to)
	}
}

// grant answers the asks of a host for tenants whose granting host is this one. The caller
// holds q.mu.
func (q *quotas) grant(now time.Time, host string, asks []quota.Ask) []quota.Grant {
	if !q.current.majority || q.leaving {
		return nil
	}
	own := slices.DeleteFunc(slices.Clone(asks), func(a quota.Ask) bool {
		return quota.GrantingHost(a.Tenant, q.current.hosts) != q.self
	})
	return q.granter.Grant(now, host, own, q.limit)
}

// limit returns the limit of a tenant. The caller holds q.mu.
func (q *quotas) limit(key uint64) (quota.Limit, bool) {
	l, ok := q.limits[key]
	return l, ok
}

// receive answers a message of another host.
func (q *quotas) receive(now time.Time, m *wire.QuotaRequest) *wire.QuotaReply {
	asks, handovers := m.Asks[:min(len(m.Asks), wire.MaxQuotaItems)], m.Handovers[:min(len(m.Handovers), wire.MaxQuotaItems)]
	q.mu.Lock()
	if !q.leaving {
		q.granter.Adopt(now, handovers, q.limit)
	}
	reply := &wire.QuotaReply{Grants: q.grant(now, m.From, asks)}
	probed := map[string]bool{}
	for _, a := range asks {
		if to := quota.GrantingHost(a.Tenant, q.current.hosts); to != q.self && to != "" && !q.current.fullMesh {
			probed[to] = true
		}
	}
	q.mu.Unlock()
	for host := range probed { // the sender does not reach it
		q.probe(host)
	}
	return reply
}

// refresh adopts the hosts that grant now and renews the leases.
func (q *quotas) refresh(now time.Time) {
	view := q.view(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	if clockPaused(q.seen, now) {
		q.holder.Reset()
		q.granter.Reset(now)
	}
	q.seen = now
	if !slices.Equal(view.hosts, q.current.hosts) || view.majority != q.current.majority {
		q.granter.HostsChanged(now, view.restarted)
	}
	q.current = view
	if now.Sub(q.started) >= quotaSettleTime {
		q.holder.EndStart()
	}
	standing := q.limits
	if !view.directed || !view.fullMesh || len(standing) > maxStandingTenants {
		standing = nil
	}
	q.holder.Stand(now, standing)
	q.holder.Renew(now)
	q.granter.Forget(now)
	if _, due := q.holder.NextAsk(now); due {
		q.wakeUp()
	}
}

// clockPaused reports whether the machine was paused between two times.
func clockPaused(from, to time.Time) bool {
	return !from.IsZero() && to.Round(0).Sub(from.Round(0))-to.Sub(from) > clockPauseThreshold
}

// handOver passes the buckets of this host to the next granting hosts. It grants no more.
func (q *quotas) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quotaSendTimeout)
	defer cancel()
	q.mu.Lock()
	q.leaving = true
	others := slices.DeleteFunc(slices.Clone(q.current.hosts), func(name string) bool { return name == q.self })
	byHost := map[string][]quota.Handover{}
	for _, h := range q.granter.HandOver() {
		to := quota.GrantingHost(h.Tenant, others)
		byHost[to] = append(byHost[to], h)
	}
	q.mu.Unlock()
	delete(byHost, "")
	var wg sync.WaitGroup
	for to, handovers := range byHost {
		wg.Go(func() {
			for batch := range slices.Chunk(handovers, wire.MaxQuotaItems) {
				if _, err := q.send(ctx, to, &wire.QuotaRequest{From: q.self, Handovers: batch}); err != nil {
					return // the next granting host starts with a smaller bucket
				}
			}
		})
	}
	wg.Wait()
}

// describe adds to the status of tenants what this host holds for them.
func (q *quotas) describe(now time.Time, tenants []TenantStatus) {
	q.mu.Lock()
	defer q.mu.Unlock()
	held := map[uint64]quota.Holding{}
	for _, h := range q.holder.Holdings(now) {
		held[h.Tenant] = h
	}
	for i := range tenants {
		if t := &tenants[i]; t.RatePerS > 0 {
			key := quota.Key(t.Name)
			t.Tokens, t.PerS, t.GrantingHost = held[key].Tokens, held[key].Demand, quota.GrantingHost(key, q.current.hosts)
		}
	}
}
