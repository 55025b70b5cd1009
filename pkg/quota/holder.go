package quota

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Holder decides on the requests of one host from the tokens that it holds, and on what to
// ask for.
type Holder struct {
	bounds  Bounds
	rng     *rand.Rand
	tenants map[uint64]*holding
	due     map[uint64]struct{} // tenants for which an ask may be due
	started map[uint64]int      // start tokens used, by tenant
	salt    uint64              // of the choice of start tokens
	counts  HolderCounts
}

// HolderCounts counts what a Holder did, in tokens or requests.
type HolderCounts struct {
	Admitted, Refused, Asked, Granted, Lapsed int64
}

// holding is what a host holds for a tenant.
type holding struct {
	limit    Limit
	tokens   float64
	lapses   time.Time // when the tokens lapse unless they are renewed
	demand   float64   // requests per second, moving average as of lastSeen
	lastSeen time.Time // last request
	seq      uint32    // of the latest ask
	asked    time.Time // when it was sent
	answered bool      // a grant for it has arrived
	repeats  int       // asks without an answer before the latest
	moreAt   time.Time // when the granting host expects to have a token
	ahead    bool      // the latest ask was for tokens ahead of any request
	refused  time.Time // last refusal
	standing bool      // a token is held although there is no demand
}

// NewHolder returns a Holder without tokens.
func NewHolder(b Bounds, seed uint64) *Holder {
	return &Holder{bounds: b.withDefaults(), rng: rand.New(rand.NewPCG(seed, ^seed)), tenants: map[uint64]*holding{}, due: map[uint64]struct{}{},
		started: map[uint64]int{}, salt: seed}
}

// SetBounds replaces the bounds.
func (h *Holder) SetBounds(b Bounds) { h.bounds = b.withDefaults() }

// Counts returns the counters since the start.
func (h *Holder) Counts() HolderCounts { return h.counts }

// Admit decides whether a request of a tenant may run, and takes a token for it if it may.
// Otherwise it returns after which time the caller should come back.
func (h *Holder) Admit(now time.Time, tenant uint64, l Limit) (d Decision, retryAfter time.Duration) {
	x := h.holding(now, tenant, l)
	x.demand = x.demandAt(now) + 1/demandTime.Seconds()
	x.lastSeen = now
	h.lapse(now, x)
	admitted := x.tokens >= 1
	if admitted {
		x.tokens--
		h.counts.Admitted++
	} else {
		x.refused = now
		h.counts.Refused++
	}
	if x.missing(now) > 0 {
		h.due[tenant] = struct{}{}
	}
	switch {
	case admitted:
		return Admitted, 0
	case x.short(now):
		return OverLimit, h.spread(min(max(x.moreAt.Sub(now), minRetryAfter), maxRetryAfter))
	case !x.answered && now.Sub(x.asked) > repeatAfter || x.asked.IsZero():
		return NoToken, h.spread(unansweredRetryAfter)
	default:
		return NoToken, h.spread(minRetryAfter)
	}
}

// short reports whether the granting host had fewer tokens than requests needed lately.
func (x *holding) short(now time.Time) bool {
	return !x.ahead && x.moreAt.After(now.Add(-repeatAfter))
}

// spread adds a random part to a retry delay, because the callers of a tenant are often
// refused together.
func (h *Holder) spread(after time.Duration) time.Duration {
	return after + time.Duration(h.rng.Int64N(int64(after)))
}

// TakeStart admits a request of a tenant for which Admit found NoToken although this host has
// just started. Hosts do not know each other then, and none grants for a second or more. Each
// host may admit its share of a part of the tolerance of the limit in that time; a share below
// one request is a probability. fleet is the number of hosts that may do so.
func (h *Holder) TakeStart(tenant uint64, l Limit, fleet int) bool {
	if fleet <= 0 {
		return false
	}
	drawn := float64(mix(tenant^h.salt)>>11) / (1 << 53)
	if float64(h.started[tenant])+drawn >= startTolerance*h.bounds.tolerance(l)/float64(fleet) {
		return false
	}
	h.started[tenant]++
	h.counts.Admitted++
	h.counts.Refused--
	return true
}

// EndStart ends the time in which TakeStart may be called.
func (h *Holder) EndStart() { clear(h.started) }

// GiveBack returns the token of a request that did not run. Tokens beyond the need are dropped:
// those of many requests that waited long and are refused together would exceed the leases.
func (h *Holder) GiveBack(now time.Time, tenant uint64) {
	if x, ok := h.tenants[tenant]; ok && !now.After(x.lapses) && x.tokens < x.target(now) {
		x.tokens++
	}
}

// Retain forgets the tenants without a limit, for which no host grants tokens.
func (h *Holder) Retain(limits map[uint64]Limit) {
	maps.DeleteFunc(h.tenants, func(tenant uint64, _ *holding) bool { _, ok := limits[tenant]; return !ok })
	maps.DeleteFunc(h.due, func(tenant uint64, _ struct{}) bool { _, ok := limits[tenant]; return !ok })
}

// Stand makes the host hold a token of each of the given tenants although it has no requests
// of them, so that their first one is not refused. It replaces the tenants of the call
// before.
func (h *Holder) Stand(now time.Time, limits map[uint64]Limit) {
	for key, x := range h.tenants {
		if _, ok := limits[key]; !ok {
			x.standing = false
		}
	}
	for key, l := range limits {
		x := h.holding(now, key, l)
		x.standing = true
	}
}

// holding returns what is held for a tenant, within its present limit.
func (h *Holder) holding(now time.Time, tenant uint64, l Limit) *holding {
	x, ok := h.tenants[tenant]
	if !ok {
		x = &holding{answered: true}
		h.tenants[tenant] = x
	}
	if x.limit != l {
		x.limit = l
		x.tokens = min(x.tokens, x.maxTokens())
	}
	return x
}

// maxTokens is the largest number of tokens that a host has a use for.
func (x *holding) maxTokens() float64 {
	return math.Ceil(x.limit.Rate*holdTime.Seconds()) + x.limit.Burst + 1
}

func (x *holding) demandAt(now time.Time) float64 {
	if x.lastSeen.IsZero() {
		return 0
	}
	return x.demand * math.Exp(-now.Sub(x.lastSeen).Seconds()/demandTime.Seconds())
}

// target returns how many tokens the host should hold.
func (x *holding) target(now time.Time) float64 {
	least := 0.0
	if x.standing || now.Sub(x.lastSeen) < keepTime {
		least = 1
	}
	mean := x.demandAt(now) * holdTime.Seconds()
	return min(max(least, math.Ceil(mean+holdDeviations*math.Sqrt(mean))), x.maxTokens())
}

// missing returns how many tokens the host should ask for.
func (x *holding) missing(now time.Time) float64 { return max(0, x.target(now)-x.tokens) }

// lapse drops the tokens of a lease that has run out.
func (h *Holder) lapse(now time.Time, x *holding) {
	if x.tokens > 0 && now.After(x.lapses) {
		h.counts.Lapsed += int64(x.tokens)
		x.tokens = 0
	}
}

// Renew marks the tenants whose leases are to be renewed, and forgets those without use. It
// should be called about as often as RenewInterval.
func (h *Holder) Renew(now time.Time) {
	for key, x := range h.tenants {
		h.lapse(now, x)
		if !x.standing && now.Sub(x.lastSeen) > idleTime {
			delete(h.tenants, key)
			delete(h.due, key)
			continue
		}
		// What is held beyond the target is of more use at other hosts.
		x.tokens = min(x.tokens, x.target(now))
		if now.Sub(x.asked) >= RenewInterval-repeatAfter {
			h.due[key] = struct{}{}
		}
	}
}

// Asks returns the asks that are due, by tenant. The calling code sends each to the granting
// host of its tenant.
func (h *Holder) Asks(now time.Time) []Ask {
	var asks []Ask
	for key := range h.due {
		x := h.tenants[key]
		h.lapse(now, x)
		if now.Before(x.nextAsk(now)) {
			continue
		}
		if x.answered && x.missing(now) == 0 && now.Sub(x.asked) < RenewInterval-repeatAfter {
			delete(h.due, key)
			continue
		}
		x.seq++
		if x.repeats++; x.answered {
			x.repeats = 0
		}
		demand := x.demandFor(now)
		x.asked, x.answered, x.ahead = now, false, demand == 0
		h.counts.Asked++
		asks = append(asks, Ask{Tenant: key, Seq: x.seq, Held: float32(x.tokens), Want: float32(x.missing(now)), Demand: float32(demand)})
	}
	slices.SortFunc(asks, func(a, b Ask) int {
		if a.Tenant < b.Tenant {
			return -1
		}
		return 1
	})
	return asks
}

// demandFor returns the demand to tell the granting host: none if the last request was longer
// ago than tokens are held for.
func (x *holding) demandFor(now time.Time) float64 {
	if d := x.demandAt(now); d >= 0.05 {
		return d
	}
	return 0
}

// nextAsk returns when the tenant may be asked for at the earliest.
func (x *holding) nextAsk(now time.Time) time.Time {
	next := x.asked
	if !x.answered {
		next = x.asked.Add(min(repeatAfter<<min(x.repeats, 8), maxRepeatAfter))
	}
	// Requests that came since do not wait for the answer to an ask ahead of them, and
	// renewals do not wait for tokens.
	if x.moreAt.After(next) && !(x.ahead && x.lastSeen.After(x.asked)) {
		next = x.moreAt
	}
	if renewal := x.asked.Add(RenewInterval); renewal.Before(next) {
		next = renewal
	}
	return next
}

// AskDue reports whether Asks would ask for a tenant now.
func (h *Holder) AskDue(now time.Time, tenant uint64) bool {
	_, due := h.due[tenant]
	return due && !now.Before(h.tenants[tenant].nextAsk(now))
}

// NextAsk returns the time until the next call of Asks is of use, false if none is due.
func (h *Holder) NextAsk(now time.Time) (time.Duration, bool) {
	wait, ok := time.Duration(math.MaxInt64), false
	for key := range h.due {
		wait, ok = min(wait, max(0, h.tenants[key].nextAsk(now).Sub(now))), true
	}
	return wait, ok
}

// Granted records grants. Those that do not answer the latest ask of their tenant are ignored:
// the granting host may count the tokens of an older one as lapsed.
func (h *Holder) Granted(now time.Time, grants []Grant) {
	for _, g := range grants {
		x, ok := h.tenants[g.Tenant]
		if !ok || x.answered || g.Seq != x.seq || now.Sub(x.asked) > RenewInterval || !valid(g.Tokens) {
			continue
		}
		x.answered = true
		h.lapse(now, x)
		x.lapses = x.asked.Add(LeaseTime)
		x.tokens = min(x.tokens+float64(g.Tokens), x.maxTokens())
		x.moreAt = time.Time{}
		if g.MoreAfterMS > 0 {
			x.moreAt = now.Add(min(time.Duration(g.MoreAfterMS)*time.Millisecond, maxRetryAfter))
		}
		h.counts.Granted += int64(g.Tokens)
		if x.missing(now) == 0 {
			delete(h.due, g.Tenant)
		}
	}
}

// Reset drops all tokens: after a pause of the process, their leases may have run out by the
// clocks of other hosts. Grants for earlier asks may have waited as long and are ignored.
func (h *Holder) Reset() {
	for _, x := range h.tenants {
		x.tokens, x.lapses, x.answered = 0, time.Time{}, true
	}
}

// Holding describes what the host holds for a tenant.
type Holding struct {
	Tenant uint64
	Tokens float64
	Demand float64 // requests per second
	// OverLimit is set if a request was refused within the last second.
	OverLimit bool
}

// Holdings returns what the host holds for tenants with recent requests, those with the
// highest demand first.
func (h *Holder) Holdings(now time.Time) []Holding {
	var out []Holding
	for key, x := range h.tenants {
		if now.Sub(x.lastSeen) < idleTime {
			out = append(out, Holding{Tenant: key, Tokens: x.tokens, Demand: x.demandAt(now), OverLimit: !x.refused.IsZero() && now.Sub(x.refused) < time.Second})
		}
	}
	slices.SortFunc(out, func(a, b Holding) int {
		switch {
		case a.Demand > b.Demand:
			return -1
		case a.Demand < b.Demand:
			return 1
		case a.Tenant < b.Tenant:
			return -1
		default:
			return 1
		}
	})
	return out
}
