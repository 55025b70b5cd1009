package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/quota"
)

// The fleet model plays hosts that limit one tenant, in virtual time. It does what
// internal/edge/quota.go does with the decisions of this package.
const (
	modelTenant    = 42
	modelLoss      = 0.02
	modelMaxDelay  = 10 * time.Millisecond
	settleTime     = 3 * time.Second // roster.SettleTime
	assumedHosts   = 64              // roster.AssumedFleetHosts
	recentStart    = 10 * time.Second
	startRefresh   = 100 * time.Millisecond
	failureTimeout = 2500 * time.Millisecond
	farTimeout     = 5 * time.Second
	pauseThreshold = time.Second
)

var modelBounds = quota.Bounds{Window: 5 * time.Second, Overshoot: 0.25, Slack: 20}

// scheme is how hosts decide on requests.
type scheme int

const (
	leases     scheme = iota
	wholeLimit        // naive: each host has the whole limit
	equalShare        // naive: each host has an equal share
)

type modelHost struct {
	name            string
	holder          *quota.Holder
	granter         *quota.Granter
	members         []*modelHost // that this host takes for alive, itself included
	fleet           *quota.Fleet
	hosts           []string // that grant, by this host's roster
	majority        bool
	seenHosts       []string // that grant, of members
	startHosts      int
	started         time.Duration
	lost, seenLost  time.Duration // by which its clock is behind, and at the last check
	life            int           // incarnation
	down, paused    bool
	hidden          bool // others take it for dead once they look
	group           int  // of a partition
	directed, large bool
	inbox           []func()
	askAt           time.Duration
	bucket          bucket // of the naive schemes
}

// bucket is a token bucket.
type bucket struct {
	tokens, rate, size float64
	filled             time.Duration
}

func (b *bucket) take(now time.Duration) bool {
	b.tokens, b.filled = min(b.size, b.tokens+b.rate*(now-b.filled).Seconds()), now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

type modelEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type model struct {
	now    time.Duration
	seq    int
	events modelEvents
	rng    *rand.Rand
	scheme scheme
	limit  quota.Limit
	hosts  []*modelHost
	byName map[string]*modelHost
	large  int // the first hosts are the large ones

	reference      bucket // which requests are below the cap
	runs           []time.Duration
	below, refused int // requests below the cap
	measuredFrom   time.Duration
}

func newModel(seed uint64, size int, l quota.Limit, s scheme) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), scheme: s, limit: l, byName: map[string]*modelHost{}, large: max(3, size/8)}
	m.reference = bucket{tokens: max(1, l.Burst), rate: l.Rate, size: max(1, l.Burst)}
	for i := range size {
		h := &modelHost{name: fmt.Sprint("host-", i), directed: i < min(size, 6+size/50), large: i < m.large}
		m.hosts = append(m.hosts, h)
		m.byName[h.name] = h
	}
	for _, h := range m.hosts {
		m.start(h)
		h.started = -time.Minute
		m.sees(h, m.hosts)
	}
	return m
}

// at calls do at a time unless the host has restarted or stopped by then. A paused host does
// it once it wakes.
func (m *model) at(h *modelHost, at time.Duration, do func()) {
	m.seq++
	life := h.life
	heap.Push(&m.events, modelEvent{at, m.seq, func() {
		switch {
		case h.down || h.life != life:
		case h.paused:
			h.inbox = append(h.inbox, do)
		default:
			do()
		}
	}})
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{m.now + d, m.seq, do})
}

func (m *model) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= until {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
}

func (m *model) clock(h *modelHost) time.Time { return time.Unix(1000, 0).Add(m.now - h.lost) }

func (m *model) start(h *modelHost) {
	h.life++
	h.down, h.paused, h.majority, h.inbox, h.hosts, h.askAt = false, false, false, nil, nil, 0
	h.started, h.startHosts = m.now, assumedHosts
	h.holder = quota.NewHolder(modelBounds, m.rng.Uint64())
	h.granter = quota.NewGranter(modelBounds, m.clock(h))
	h.fleet = quota.NewFleet(h.name)
	m.sees(h, []*modelHost{h})
	n := float64(len(m.hosts))
	if m.scheme == wholeLimit {
		n = 1
	}
	h.bucket = bucket{tokens: max(1, m.limit.Burst/n), rate: m.limit.Rate / n, size: max(1, m.limit.Burst/n), filled: m.now}
	if m.scheme == leases {
		m.at(h, m.now+time.Duration(m.rng.Int64N(int64(startRefresh))), func() { m.refresh(h) })
	}
}

// sees sets which hosts a host takes for alive.
func (m *model) sees(h *modelHost, members []*modelHost) {
	h.members, h.seenHosts = members, nil
	names := make([]string, len(members))
	for i, o := range members {
		names[i] = o.name
		if o.large {
			h.seenHosts = append(h.seenHosts, o.name)
		}
	}
	h.fleet.Observe(m.clock(h), names, nil)
}

// check drops tokens after a pause, as quotas.checkPause does.
func (m *model) check(h *modelHost) {
	if h.lost-h.seenLost > pauseThreshold {
		h.holder.Reset()
		h.granter.Reset(m.clock(h))
	}
	h.seenLost = h.lost
}

func (m *model) refresh(h *modelHost) {
	m.check(h)
	now, hosts := m.clock(h), h.seenHosts
	settled := m.now-h.started >= settleTime
	least, restarted := 0, false
	if !settled {
		least = assumedHosts
	}
	if m.now-h.started < recentStart {
		started := 0
		for _, o := range h.members {
			if o != h && m.now-o.started < recentStart {
				started++
			}
		}
		restarted = 4*started >= 3*(len(h.members)-1)
	}
	majority := h.fleet.Majority(least)
	if !slices.Equal(hosts, h.hosts) || majority != h.majority {
		h.hosts, h.majority = hosts, majority
		h.granter.HostsChanged(now, restarted)
	}
	h.startHosts = assumedHosts
	if len(hosts) >= 3 && slices.Contains(hosts, h.name) {
		h.startHosts = 2 * len(hosts)
	}
	if h.directed {
		h.holder.Stand(now, map[uint64]quota.Limit{modelTenant: m.limit})
	}
	h.holder.Renew(now)
	h.granter.Forget(now)
	m.scheduleAsk(h)
	next := time.Second
	if !settled {
		next = startRefresh
	}
	m.at(h, m.now+next, func() { m.refresh(h) })
}

func (m *model) scheduleAsk(h *modelHost) {
	wait, ok := h.holder.NextAsk(m.clock(h))
	at := m.now + max(wait, time.Millisecond)
	if !ok || h.askAt > m.now && h.askAt <= at {
		return
	}
	h.askAt = at
	m.at(h, at, func() {
		if h.askAt == at {
			h.askAt = 0
			m.ask(h)
		}
	})
}

func (m *model) ask(h *modelHost) {
	m.check(h)
	now := m.clock(h)
	if asks := h.holder.Asks(now); len(asks) > 0 {
		to := m.byName[quota.GrantingHost(modelTenant, h.hosts)]
		switch to {
		case nil:
		case h:
			h.holder.Granted(now, m.grant(h, h, asks))
		default:
			m.send(h, to, func() {
				if grants := m.grant(to, h, asks); len(grants) > 0 {
					m.send(to, h, func() {
						m.check(h)
						h.holder.Granted(m.clock(h), grants)
						m.scheduleAsk(h)
					})
				}
			})
		}
	}
	m.scheduleAsk(h)
}

func (m *model) grant(g, from *modelHost, asks []quota.Ask) []quota.Grant {
	m.check(g)
	if !g.majority || quota.GrantingHost(modelTenant, g.hosts) != g.name {
		return nil
	}
	return g.granter.Grant(m.clock(g), from.name, asks, func(uint64) (quota.Limit, bool) { return m.limit, true })
}

func (m *model) send(from, to *modelHost, do func()) {
	if m.rng.Float64() < modelLoss || from.group != to.group {
		return
	}
	m.at(to, m.now+time.Duration(m.rng.Int64N(int64(modelMaxDelay))), do)
}

// request plays a request of the tenant at a host.
func (m *model) request(h *modelHost) {
	if h.down || h.paused {
		return
	}
	var d quota.Decision
	switch {
	case m.scheme != leases:
		if d = quota.OverLimit; h.bucket.take(m.now) {
			d = quota.Admitted
		}
	default:
		m.check(h)
		d, _ = h.holder.Admit(m.clock(h), modelTenant, m.limit)
		if d == quota.NoToken && m.now-h.started < settleTime && h.holder.TakeStart(modelTenant, m.limit, h.startHosts) {
			d = quota.Admitted
		}
		m.scheduleAsk(h)
	}
	below := m.reference.take(m.now)
	if d == quota.Admitted {
		m.runs = append(m.runs, m.now)
	}
	if m.now < m.measuredFrom || !below {
		return
	}
	m.below++
	if d != quota.Admitted {
		m.refused++
	}
}

// requests sends Poisson arrivals at a rate to hosts that pick chooses.
func (m *model) requests(rate float64, until time.Duration, pick func() *modelHost) {
	var next func()
	next = func() {
		m.request(pick())
		if d := time.Duration(m.rng.ExpFloat64() / rate * float64(time.Second)); m.now+d < until {
			m.after(d, next)
		}
	}
	m.after(0, next)
}

// excess returns by how many runs the worst window exceeds the cap; it is negative if the cap
// holds.
func (m *model) excess() float64 {
	highest := 0
	for first, last := 0, 0; last < len(m.runs); last++ {
		for m.runs[last]-m.runs[first] >= modelBounds.Window {
			first++
		}
		highest = max(highest, last-first+1)
	}
	base := m.limit.Rate*modelBounds.Window.Seconds() + m.limit.Burst
	return float64(highest) - (base*(1+modelBounds.Overshoot) + modelBounds.Slack)
}
