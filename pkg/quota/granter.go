package quota

import (
	"maps"
	"math"
	"time"
)

// continuous is the time between two asks for a tenant within which a host counts as its
// granting host all the while: the holders renew their leases more often.
const continuous = 3 * RenewInterval

const (
	// desertedAfter is the silence after which a holder counts as asking another host. It is
	// longer than the interval of renewals and a repetition.
	desertedAfter = RenewInterval + 2*maxRepeatAfter
	// minDeserted is the number of hosts with leases from which their silence is taken for
	// that: a tenant of one or two hosts may just have stopped.
	minDeserted = 3
)

// Granter grants the tokens of the tenants for which this host is the granting host.
type Granter struct {
	bounds  Bounds
	changed time.Time // when the hosts that grant last changed, or this host started
	// restarted is set if the hosts that granted before have restarted, so that none of them
	// grants beside this one.
	restarted bool
	tenants   map[uint64]*account
}

// account is the bucket of a tenant and the leases from it.
type account struct {
	tokens  float64
	filled  time.Time // up to when the bucket is filled
	since   time.Time // when this host became the granting host
	lastAsk time.Time
	leases  map[string]*lease // by host
}

// lease is what a host holds.
type lease struct {
	tokens float64
	asked  time.Time // last ask
	lapses time.Time
	unmet  time.Time // last ask that was not granted in full, despite demand
}

// NewGranter returns a Granter of a host that starts now.
func NewGranter(b Bounds, now time.Time) *Granter {
	return &Granter{bounds: b.withDefaults(), changed: now, tenants: map[uint64]*account{}}
}

// SetBounds replaces the bounds.
func (g *Granter) SetBounds(b Bounds) { g.bounds = b.withDefaults() }

// HostsChanged records that other hosts grant than before, so that this host may have become
// the granting host of some tenants. restarted is set if most hosts have just started: those
// that granted before have lost their buckets then.
func (g *Granter) HostsChanged(now time.Time, restarted bool) {
	g.changed, g.restarted = now, restarted
}

// Reset forgets all buckets: during a pause of the process, other hosts may have granted.
func (g *Granter) Reset(now time.Time) {
	g.changed, g.restarted = now, false
	clear(g.tenants)
}

// Grant answers the asks of a host. limitOf returns the limit of a tenant, and false if there is
// none. Asks for such tenants, and those with numbers that make no sense, get no answer.
func (g *Granter) Grant(now time.Time, host string, asks []Ask, limitOf func(uint64) (Limit, bool)) []Grant {
	var grants []Grant
	for _, ask := range asks {
		l, ok := limitOf(ask.Tenant)
		if !ok || !valid(ask.Held) || !valid(ask.Want) || !valid(ask.Demand) {
			continue
		}
		tokens, moreAfter := g.grant(now, host, &ask, l)
		grants = append(grants, Grant{Tenant: ask.Tenant, Seq: ask.Seq, Tokens: float32(tokens), MoreAfterMS: uint32(moreAfter.Milliseconds())})
	}
	return grants
}

// grant returns the tokens for an ask, and when to expect more if it wants more.
func (g *Granter) grant(now time.Time, host string, ask *Ask, l Limit) (tokens float64, moreAfter time.Duration) {
	a := g.account(now, ask.Tenant, l)
	a.lastAsk = now
	mine, ok := a.leases[host]
	if !ok {
		mine = &lease{}
		a.leases[host] = mine
	}
	// A host holds no more than it was granted, unless another host granted it.
	held := min(float64(ask.Held), l.Rate+l.Burst+1)
	mine.tokens, mine.asked, mine.lapses = held, now, now.Add(LeaseTime+RenewInterval)
	want := min(math.Ceil(float64(ask.Want)), l.Rate+l.Burst+1)
	leased, waiting := a.leased(now)
	most := g.bounds.outstanding(l)
	if g.takesOver(now, a) {
		most = max(1, most/2)
	}
	available := min(a.tokens, most-leased)
	if ask.Demand == 0 {
		available = min(available, a.tokens-standingReserve*bucketSize(l), standingReserve*most-leased)
	}
	tokens = max(0, math.Floor(min(want, available)))
	a.tokens -= tokens
	mine.tokens += tokens
	mine.unmet = time.Time{}
	if tokens < want {
		if ask.Demand > 0 {
			mine.unmet = now
		}
		short := max(0, 1-a.tokens) + float64(waiting)
		moreAfter = min(max(time.Millisecond, seconds(short/max(g.bounds.fillRate(l), 1e-3))), maxRetryAfter)
	}
	return tokens, moreAfter
}

// account returns the filled bucket of a tenant.
func (g *Granter) account(now time.Time, tenant uint64, l Limit) *account {
	a, ok := g.tenants[tenant]
	size := bucketSize(l)
	if !ok || now.Sub(a.lastAsk) > continuous && now.Sub(g.changed) < g.bounds.Window+continuous {
		a = &account{tokens: size, filled: now, leases: map[string]*lease{}}
		if now.Sub(g.changed) < g.bounds.Window+continuous {
			a.tokens = max(1, min(size, takeoverTolerance*g.bounds.tolerance(l)))
			if !g.restarted {
				a.since = now
			}
		}
		g.tenants[tenant] = a
	}
	rate := g.bounds.fillRate(l)
	if a.deserted(now) {
		a.since = now
	}
	if g.takesOver(now, a) {
		rate *= takeoverRate
	}
	leased, _ := a.leased(now)
	a.tokens = min(a.tokens+rate*now.Sub(a.filled).Seconds(), size, max(0, g.bounds.outstanding(l)-leased))
	a.filled = now
	return a
}

// takesOver reports whether another host may still be granting as well.
func (g *Granter) takesOver(now time.Time, a *account) bool {
	return !a.since.IsZero() && now.Sub(a.since) < g.bounds.Window
}

// deserted reports whether all but one of several hosts with leases have stopped asking: they
// may take this host for dead and ask another one, while this host still grants to itself.
func (a *account) deserted(now time.Time) bool {
	asking := 0
	for _, l := range a.leases {
		if now.Sub(l.asked) < desertedAfter {
			asking++
		}
	}
	return len(a.leases) >= minDeserted && asking <= 1
}

// leased returns the tokens that hosts hold, and the number of hosts that wait for tokens.
func (a *account) leased(now time.Time) (tokens float64, waiting int) {
	for host, l := range a.leases {
		if now.After(l.lapses) {
			delete(a.leases, host)
			continue
		}
		tokens += l.tokens
		if !l.unmet.IsZero() && now.Sub(l.unmet) < maxRetryAfter {
			waiting++
		}
	}
	return tokens, waiting
}

// Forget drops the buckets of tenants for which nobody asks.
func (g *Granter) Forget(now time.Time) {
	for tenant, a := range g.tenants {
		if now.Sub(a.lastAsk) > idleTime {
			delete(g.tenants, tenant)
		}
	}
}

// Retain drops the buckets of tenants without a limit.
func (g *Granter) Retain(limits map[uint64]Limit) {
	maps.DeleteFunc(g.tenants, func(tenant uint64, _ *account) bool { _, ok := limits[tenant]; return !ok })
}

// HandOver empties the buckets and returns what was in them, for the next granting hosts.
func (g *Granter) HandOver() []Handover {
	var out []Handover
	for tenant, a := range g.tenants {
		out = append(out, Handover{Tenant: tenant, Tokens: float32(a.tokens)})
	}
	clear(g.tenants)
	return out
}

// Adopt takes over buckets from a granting host that shuts down. That host grants no more, so
// the buckets fill at the full rate. A bucket from which this host has granted keeps its own
// tokens: the message may be late or a repetition.
func (g *Granter) Adopt(now time.Time, handovers []Handover, limitOf func(uint64) (Limit, bool)) {
	for _, h := range handovers {
		l, ok := limitOf(h.Tenant)
		if !ok || !valid(h.Tokens) {
			continue
		}
		_, known := g.tenants[h.Tenant]
		a := g.account(now, h.Tenant, l)
		if !known {
			a.tokens, a.lastAsk = min(float64(h.Tokens), bucketSize(l)), now
		}
		a.since = time.Time{}
	}
}

// Tenants returns the number of tenants with a bucket on this host.
func (g *Granter) Tenants() int { return len(g.tenants) }
