package edge

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/edge/site"
	"github.com/lacewingyard/lacewingyard/internal/gossip"
	"github.com/lacewingyard/lacewingyard/internal/guard"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/quota"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

const (
	// maxStanding is the largest number of tenants of which hosts hold a token ahead of the
	// first request. With more tenants, only those with recent requests have one.
	maxStanding = 1000
	// quotaBatch is how long asks are collected for one message.
	quotaBatch = time.Millisecond
	// minKnownLarge is the number of large hosts from which a host that is one of them takes
	// them for most of the hosts that callers use.
	minKnownLarge = 3
	// pauseThreshold is the difference between the clocks from which the process counts as
	// paused.
	pauseThreshold = time.Second
)

// quotas applies the rate limits of tenants on this host, and grants tokens to other hosts. It
// implements engine.Quota.
type quotas struct {
	host *Host
	wake chan struct{} // an ask may be due

	// refreshing is held during refresh, which looks through the roster before it takes mu:
	// admissions must not wait for that.
	refreshing sync.Mutex
	fleet      *quota.Fleet

	mu       sync.Mutex
	holder   *quota.Holder
	granter  *quota.Granter
	limits   map[uint64]quota.Limit // of the tenants with a limit
	names    map[uint64]string
	config   *catalog.Config // from which limits were made
	hosts    []string        // that grant, this one included if it does
	majority bool            // whether this host sees at least half of the fleet
	leaving  bool
	// startHosts is the number of hosts that may use start tokens, as far as this host knows.
	startHosts int
	bounds     quota.Bounds
	over       map[uint64]*overLimit // tenants over their limits, at most maxOverLimit
	counts     quotaCounts           // without those of the holder
	// clockBehind is by how much the monotonic clock was behind the wall clock, both since the
	// start of the host, at the last call of dropAfterPause.
	clockBehind time.Duration
}

func quotaBounds(s *site.Settings) quota.Bounds {
	return quota.Bounds{Window: s.QuotaWindow, Overshoot: s.QuotaOvershoot, Slack: s.QuotaSlack}
}

func newQuotas(h *Host, seed uint64) *quotas {
	b := quotaBounds(&h.opts.Site)
	return &quotas{
		host: h, fleet: quota.NewFleet(h.opts.Site.Name), startHosts: roster.AssumedFleetHosts, wake: make(chan struct{}, 1), bounds: b,
		holder: quota.NewHolder(b, seed), granter: quota.NewGranter(b, time.Now()), over: map[uint64]*overLimit{},
	}
}

// setBounds replaces the bounds after a reload of the settings.
func (q *quotas) setBounds(s *site.Settings) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bounds = quotaBounds(s)
	q.holder.SetBounds(q.bounds)
	q.granter.SetBounds(q.bounds)
}

// configure puts the tenants of a configuration in force.
func (q *quotas) configure(c *catalog.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c == nil || c == q.config {
		return
	}
	q.config = c
	q.limits, q.names = make(map[uint64]quota.Limit), make(map[uint64]string)
	for i := range c.Tenants {
		if t := &c.Tenants[i]; t.Rate > 0 {
			key := quota.Key(t.Name)
			q.limits[key], q.names[key] = quota.Limit{Rate: t.Rate, Burst: t.Burst}, t.Name
		}
	}
	q.holder.Retain(q.limits)
	q.granter.Retain(q.limits)
}

// Admit implements engine.Quota.
func (q *quotas) Admit(now time.Time, t *tenant.Tenant) (quota.Decision, time.Duration) {
	key := quota.Key(t.Name)
	q.mu.Lock()
	q.dropAfterPause(now)
	decision, retryAfter := q.holder.Admit(now, key, quota.Limit{Rate: t.Rate, Burst: t.Burst})
	if decision == quota.NoToken && now.Sub(q.host.started) < roster.SettleTime &&
		q.holder.TakeStart(key, quota.Limit{Rate: t.Rate, Burst: t.Burst}, q.startHosts) {
		decision = quota.Admitted
	}
	goesOver := decision == quota.OverLimit && q.noteOverLimit(now, key, t)
	due := q.holder.AskDue(now, key)
	q.mu.Unlock()
	if goesOver {
		q.logOverLimit(t)
	}
	if due {
		q.wakeUp()
	}
	return decision, retryAfter
}

// GiveBack implements engine.Quota.
func (q *quotas) GiveBack(now time.Time, t *tenant.Tenant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropAfterPause(now)
	q.holder.GiveBack(now, quota.Key(t.Name))
}

func (q *quotas) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// startRefresh is the interval of refresh until a host knows the fleet, when hosts of which it
// hears change who grants.
const startRefresh = 100 * time.Millisecond

// refreshUntilSettled calls refresh often after a start of the host.
func (q *quotas) refreshUntilSettled(ctx context.Context) {
	for now := time.Now(); ctx.Err() == nil && now.Sub(q.host.started) < roster.SettleTime; now = time.Now() {
		guard.Run(q.host.opts.Log, "quota", func() { q.refresh(now, q.host.isOneOf(q.host.directed(now))) })
		sleep(ctx, startRefresh)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.EndStart()
}

// run sends asks until the context ends.
func (q *quotas) run(ctx context.Context) {
	timer := time.NewTimer(math.MaxInt64)
	defer timer.Stop()
	for {
		select {
		case <-q.wake:
			sleep(ctx, quotaBatch)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		guard.Run(q.host.opts.Log, "quota", q.ask)
		q.mu.Lock()
		wait, ok := q.holder.NextAsk(time.Now())
		q.mu.Unlock()
		if ok {
			timer.Reset(max(wait, quotaBatch))
		}
	}
}

// ask sends the asks that are due to the granting hosts of their tenants.
func (q *quotas) ask() {
	now := time.Now()
	self := q.host.opts.Site.Name
	q.mu.Lock()
	q.dropAfterPause(now)
	byHost := map[string][]quota.Ask{}
	for _, a := range q.holder.Asks(now) {
		q.counts.asked += float64(a.Want)
		to := quota.GrantingHost(a.Tenant, q.hosts)
		byHost[to] = append(byHost[to], a)
	}
	if own := byHost[self]; len(own) > 0 {
		q.holder.Granted(now, q.grant(now, self, own))
		delete(byHost, self)
	}
	q.mu.Unlock()
	for to, asks := range byHost {
		for batch := range slices.Chunk(asks, gossip.MaxQuotaItems) {
			q.send(to, gossip.QuotaMessage{From: self, Asks: batch})
		}
	}
}

// grant answers the asks of a host if this host may grant. The lock must be held.
func (q *quotas) grant(now time.Time, host string, asks []quota.Ask) []quota.Grant {
	if !q.majority || q.leaving {
		return nil
	}
	asks = slices.DeleteFunc(slices.Clone(asks), func(a quota.Ask) bool {
		return quota.GrantingHost(a.Tenant, q.hosts) != q.host.opts.Site.Name
	})
	return q.granter.Grant(now, host, asks, q.limitOf)
}

// limitOf returns the limit of a tenant. The lock must be held.
func (q *quotas) limitOf(key uint64) (quota.Limit, bool) {
	l, ok := q.limits[key]
	return l, ok
}

// receive handles a message of another host.
func (q *quotas) receive(m *gossip.QuotaMessage) {
	now := time.Now()
	q.mu.Lock()
	q.counts.received++
	q.dropAfterPause(now)
	q.holder.Granted(now, m.Grants)
	if !q.leaving {
		others := without(q.hosts, m.From)
		q.granter.Adopt(now, slices.DeleteFunc(m.Handovers, func(h quota.Handover) bool {
			return quota.GrantingHost(h.Tenant, others) != q.host.opts.Site.Name
		}), q.limitOf)
	}
	grants := q.grant(now, m.From, m.Asks)
	q.mu.Unlock()
	for batch := range slices.Chunk(grants, gossip.MaxQuotaItems) {
		q.send(m.From, gossip.QuotaMessage{From: q.host.opts.Site.Name, Grants: batch})
	}
}

// send sends a message to another host.
func (q *quotas) send(to string, m gossip.QuotaMessage) {
	sent := q.host.gossip.SendQuota(to, m)
	q.mu.Lock()
	defer q.mu.Unlock()
	if sent {
		q.counts.sent++
	} else {
		q.counts.unsent++
	}
}

// refresh adopts the hosts that grant now and renews the leases. directed tells whether
// callers are directed to this host.
func (q *quotas) refresh(now time.Time, directed bool) {
	q.expireOverLimit(now)
	q.refreshing.Lock()
	defer q.refreshing.Unlock()
	hosts, majority, restarted := q.host.grantingHosts(now, q.fleet)
	q.mu.Lock()
	q.dropAfterPause(now)
	if majority != q.majority && len(q.limits) > 0 {
		q.host.opts.Log.Info("hosts that grant the tokens of tenants", "hosts", len(hosts), "majority", majority, "restarted", restarted)
	}
	if !slices.Equal(hosts, q.hosts) || majority != q.majority {
		q.hosts, q.majority = hosts, majority
		q.granter.HostsChanged(now, restarted)
	}
	q.startHosts = roster.AssumedFleetHosts
	if len(hosts) >= minKnownLarge && slices.Contains(hosts, q.host.opts.Site.Name) {
		q.startHosts = 2 * len(hosts)
	}
	standing := q.limits
	// Without a majority of the fleet, each host takes callers to be directed to itself.
	if !directed || !majority || len(standing) > maxStanding {
		standing = nil
	}
	q.holder.Stand(now, standing)
	q.holder.Renew(now)
	q.granter.Forget(now)
	_, due := q.holder.NextAsk(now)
	q.mu.Unlock()
	if due {
		q.wakeUp()
	}
}

// dropAfterPause drops tokens and buckets if the process was paused since the last call: other
// hosts may have granted the same tokens meanwhile. The lock must be held.
func (q *quotas) dropAfterPause(now time.Time) {
	behind := clockBehind(q.host.started, now)
	if behind-q.clockBehind > pauseThreshold {
		q.holder.Reset()
		q.granter.Reset(now)
	}
	q.clockBehind = behind
}

// without returns the names other than one.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// clockBehind returns by how much the monotonic clock has advanced less than the wall clock
// between two times: the former stands still while the process is paused.
func clockBehind(from, to time.Time) time.Duration {
	return to.Round(0).Sub(from.Round(0)) - to.Sub(from)
}

// handOver passes the buckets of this host to the next granting hosts. It grants no more.
func (q *quotas) handOver() {
	q.mu.Lock()
	q.leaving = true
	self := q.host.opts.Site.Name
	others := without(q.hosts, self)
	byHost := map[string][]quota.Handover{}
	for _, h := range q.granter.HandOver() {
		if !q.majority || quota.GrantingHost(h.Tenant, q.hosts) != self {
			continue // another host grants its tokens by now
		}
		to := quota.GrantingHost(h.Tenant, others)
		byHost[to] = append(byHost[to], h)
	}
	q.mu.Unlock()
	for to, handovers := range byHost {
		for batch := range slices.Chunk(handovers, gossip.MaxQuotaItems) {
			q.send(to, gossip.QuotaMessage{From: self, Handovers: batch})
		}
	}
}

// recentStart is the age of a process up to which it counts as just started.
const recentStart = 10 * time.Second

// grantingHosts returns the names of the hosts that may grant tokens, in order, whether this
// host sees most of the fleet, and whether most of that has just started. They are
// the large hosts: they are few, and the set changes less than that to which callers are
// directed.
func (h *Host) grantingHosts(now time.Time, fleet *quota.Fleet) (names []string, majority, restarted bool) {
	capacities := map[string]float64{}
	if h.ready() {
		capacities[h.opts.Site.Name] = h.load.capacity
	}
	h.gossip.WithRoster(func(r *roster.Roster) {
		least := 0
		if now.Sub(h.started) < roster.SettleTime {
			least = roster.AssumedFleetHosts
		}
		alive := r.Alive(now)
		var running, left []string
		for _, peer := range r.Known() {
			switch {
			case r.IsAlive(now, peer):
				running = append(running, peer.Name)
			case peer.Leaving:
				left = append(left, peer.Name)
			}
		}
		fleet.Observe(now, running, left)
		majority = fleet.Majority(least)
		started := 0
		for _, peer := range alive {
			if now.UnixNano()-peer.Incarnation < int64(recentStart) {
				started++
			}
		}
		restarted = now.Sub(h.started) < recentStart && 4*started >= 3*len(alive)
		for _, peer := range alive {
			if peer.Ready && !peer.Leaving {
				capacities[peer.Name] = peer.Capacity
			}
		}
	})
	largest := 0.0
	for _, c := range capacities {
		largest = max(largest, c)
	}
	for name, c := range capacities {
		if c >= roster.LargeCapacityRatio*largest {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, majority, restarted
}
