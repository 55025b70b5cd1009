package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// LeaseTime is how long leased tokens may be used without a renewal. It bridges the time
	// in which hosts agree on another granting host.
	LeaseTime = 5 * time.Second
	// RenewInterval is the time between two renewals of the tokens of a tenant.
	RenewInterval = time.Second
	// repeatAfter is the least time between two asks for the same tenant without a grant in
	// between. It is a few round trips between places. It doubles with each repetition up to
	// maxRepeatAfter: a grant is accepted until the ask is repeated, so that an answer slower
	// than every repetition would never be accepted.
	repeatAfter    = 50 * time.Millisecond
	maxRepeatAfter = 200 * time.Millisecond
	// holdTime is the time for which a holder keeps tokens ahead, at its recent demand. It
	// covers a lost message and its repetition.
	holdTime = 300 * time.Millisecond
	// holdDeviations is how many standard deviations of the requests in holdTime a holder keeps
	// beyond their mean: two requests of a small tenant often arrive within a round trip.
	holdDeviations = 2
	// demandTime is the time constant of the moving average of demand.
	demandTime = time.Second
	// keepTime is how long a host that holds no token ahead keeps one after a request. Tokens
	// that are kept longer are missing at the hosts that the tenant uses now.
	keepTime = 10 * time.Second
	// idleTime is how long a tenant without requests is kept.
	idleTime = time.Minute

	// rateTolerance is the fraction of the tolerance that a bucket adds to the rate in each
	// window: to refuse a request below the limit costs its caller, while one above it within
	// the tolerance is allowed.
	rateTolerance = 0.5
	// leasedTolerance is the fraction of the tolerance that hosts may hold as leases beside a
	// full bucket.
	leasedTolerance = 0.25
	// startTolerance is the fraction of the tolerance that hosts admit before they know each
	// other after a restart of all. Nothing is granted in that time.
	startTolerance = 0.4
	// takeoverTolerance is the fraction of the tolerance that a bucket holds at most when its
	// host has just become the granting host, and takeoverRate the fraction of the rate at
	// which it fills for the first window: the granting host before it may still be granting.
	takeoverTolerance = 0.2
	takeoverRate      = 0.5
	// standingReserve is the fraction of a bucket and of the leases that is kept for hosts with
	// requests when other hosts ask for tokens ahead.
	standingReserve = 0.5

	// minRetryAfter and maxRetryAfter bound the retry delay of a refused request before its
	// random part. unansweredRetryAfter is the delay while no granting host answers, as after
	// a restart of all hosts, which then takes some tenths of a second to find one.
	minRetryAfter        = 50 * time.Millisecond
	maxRetryAfter        = time.Second
	unansweredRetryAfter = 200 * time.Millisecond
)

// Decision is the decision on a request.
type Decision uint8

// The decisions.
const (
	Admitted  Decision = iota
	OverLimit          // the tenant uses all that its limit allows
	NoToken            // this host has no token; the tenant may be below its limit
)

// Limit is the limit of a tenant: requests per second, and requests above it at once.
type Limit struct{ Rate, Burst float64 }

// Bounds say how exactly limits must hold: in any Window, the requests of a tenant may
// exceed Rate × Window + Burst by the fraction Overshoot plus Slack requests.
type Bounds struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// DefaultWindow is the Window if none is stated.
const DefaultWindow = 5 * time.Second

// withDefaults returns the bounds with a Window.
func (b Bounds) withDefaults() Bounds {
	if b.Window <= 0 {
		b.Window = DefaultWindow
	}
	return b
}

// bucketSize returns how many tokens a bucket holds at most: one at least, or no request
// would ever run.
func bucketSize(l Limit) float64 { return max(1, l.Burst) }

// fillRate returns how many tokens a bucket gets a second.
func (b Bounds) fillRate(l Limit) float64 {
	return l.Rate + rateTolerance*b.tolerance(l)/b.Window.Seconds()
}

// outstanding returns how many tokens there may be at a time, in the bucket and as leases. A
// burst may come from either, so that hosts may hold all of them.
func (b Bounds) outstanding(l Limit) float64 {
	return bucketSize(l) + leasedTolerance*b.tolerance(l)
}

// tolerance returns by how many requests a tenant may exceed its limit in a window.
func (b Bounds) tolerance(l Limit) float64 {
	return b.Slack + b.Overshoot*(l.Rate*b.Window.Seconds()+l.Burst)
}

// Ask is what a host sends to the granting host of a tenant. It renews the lease of the tokens
// that the host still holds.
type Ask struct {
	_      struct{} `cbor:",toarray"`
	Tenant uint64   // Key of the tenant
	Seq    uint32   // identifies the ask in its Grant
	Held   float32  // tokens that the host holds
	Want   float32  // further tokens
	Demand float32  // requests per second of late; 0 if the host only holds tokens ahead
}

// Grant answers an Ask.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	Tenant uint64
	Seq    uint32
	Tokens float32
	// MoreAfterMS is the time in milliseconds after which the granting host expects to have
	// a token for the asking host, if it granted less than was wanted.
	MoreAfterMS uint32
}

// Handover passes the bucket of a tenant to the next granting host when a host shuts down.
type Handover struct {
	_      struct{} `cbor:",toarray"`
	Tenant uint64
	Tokens float32
}

// Key identifies a tenant in messages.
func Key(tenant string) uint64 { return xxhash.Sum64String(tenant) }

// GrantingHost returns the host that grants the tokens of a tenant: the one of the given hosts
// that ranks highest by rendezvous hashing, or "" if there are none.
func GrantingHost(tenant uint64, hosts []string) string {
	best, highest := "", uint64(0)
	for _, h := range hosts {
		if w := rank(tenant, h); best == "" || w > highest || w == highest && h < best {
			best, highest = h, w
		}
	}
	return best
}

// rank mixes the hashes of a tenant and of a host.
func rank(tenant uint64, host string) uint64 { return mix(tenant ^ xxhash.Sum64String(host)) }

func mix(x uint64) uint64 {
	x = (x ^ x>>31) * 0x7fb5d329728ea185
	x = (x ^ x>>27) * 0x81dadef4bc2dd44d
	return x ^ x>>33
}

// valid reports whether a number from another host is one that makes sense.
func valid(n float32) bool { return n >= 0 && !math.IsInf(float64(n), 1) }

func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
