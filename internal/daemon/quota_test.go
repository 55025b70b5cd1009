package daemon

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/quota"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// quotaFleet is a set of hosts with quotas, a network without delay and virtual time.
type quotaFleet struct {
	now   time.Time
	names []string
	hosts map[string]*quotas
	side  map[string]int // hosts of different sides do not reach each other
}

const limitedName = "anna"

func newQuotaFleet(n int, limit quota.Limit) *quotaFleet {
	f := &quotaFleet{now: time.Now(), hosts: map[string]*quotas{}, side: map[string]int{}}
	for i := range n {
		name := fmt.Sprint("host-", i)
		f.names = append(f.names, name)
		// Settled hosts, so that no start tokens are used.
		q := newQuotas(name, uint64(i), f.now.Add(-time.Minute))
		q.limits = map[uint64]quota.Limit{quota.Key(limitedName): limit}
		q.view = func(time.Time) quotaView { return f.view(name) }
		q.send = func(_ context.Context, to string, m *wire.QuotaRequest) (*wire.QuotaReply, error) {
			return f.hosts[to].receive(f.now, m), nil
		}
		f.hosts[name] = q
	}
	return f
}

func (f *quotaFleet) view(of string) quotaView {
	v := quotaView{listed: len(f.names), fullMesh: true, directed: true}
	for _, name := range f.names {
		if f.side[name] == f.side[of] && !f.hosts[name].leaving {
			v.hosts = append(v.hosts, name)
		}
	}
	v.majority = 2*len(v.hosts) >= len(f.names)
	return v
}

// step advances the time and exchanges what is due.
func (f *quotaFleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	for _, name := range f.names {
		q := f.hosts[name]
		if f.now.Sub(q.seen) >= quotaStartRefresh {
			q.refresh(f.now)
		}
		for to, asks := range q.dueAsks(f.now) {
			if f.side[to] == f.side[name] {
				q.holder.Granted(f.now, f.hosts[to].receive(f.now, &wire.QuotaRequest{From: name, Asks: asks}).Grants)
			}
			q.sending[to]--
		}
	}
}

// drive sends requests to all hosts of a side and returns when each admitted one was sent.
func (f *quotaFleet) drive(d time.Duration, side int, t *tenant.Tenant) (admitted []time.Time) {
	const interval = 10 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.step(interval)
		for _, name := range f.names {
			if f.side[name] != side {
				continue
			}
			if _, refused := f.hosts[name].admit(f.now, t); !refused {
				admitted = append(admitted, f.now)
			}
		}
	}
	return admitted
}

// mostInWindow returns the largest number of times within any quota.DefaultWindow.
func mostInWindow(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= quota.DefaultWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

var _ = Describe("quotas", func() {
	limited := &tenant.Tenant{Name: limitedName, Rate: 20, Burst: 10}
	limit := quota.Limit{Rate: 20, Burst: 10}
	limitOfWindow := 20*quota.DefaultWindow.Seconds() + 10
	most := limitOfWindow*(1+quotaBounds.Overshoot) + quotaBounds.Slack

	// Guards against a limit that holds for each host alone or for each side of a partition,
	// and against a partition that leaves no side with requests.
	It("hold a limit over all hosts, also in a partition", func() {
		f := newQuotaFleet(5, limit)
		whole := f.drive(20*time.Second, 0, limited)
		Expect(mostInWindow(whole)).To(BeNumerically("<=", most))
		Expect(len(whole)).To(BeNumerically(">=", 20*20), "the limit itself")
		f.side["host-0"], f.side["host-1"] = 1, 1
		f.drive(quota.LeaseTime, 1, limited) // the few hosts use what they hold
		Expect(f.drive(10*time.Second, 1, limited)).To(BeEmpty(), "fewer than half of the hosts must grant nothing")
		majority := f.drive(10*time.Second, 0, limited)
		Expect(mostInWindow(majority)).To(BeNumerically("<=", most))
		Expect(len(majority)).To(BeNumerically(">=", 10*20*7/10))
	})

	// Guards against grants of a host that by its own view is not the granting host, and
	// against values of a peer that make no sense.
	It("grant only own tenants, and nothing for absurd asks", func() {
		f := newQuotaFleet(3, limit)
		f.step(quotaStartRefresh)
		key := quota.Key(limitedName)
		granting := quota.GrantingHost(key, f.names)
		ask := func(to string, a quota.Ask) []quota.Grant {
			return f.hosts[to].receive(f.now, &wire.QuotaRequest{From: "host-9", Asks: []quota.Ask{a}}).Grants
		}
		for _, name := range f.names {
			grants := ask(name, quota.Ask{Tenant: key, Want: 1, Demand: 1})
			Expect(grants).To(HaveLen(map[bool]int{true: 1}[name == granting]), name)
		}
		for _, bad := range []float32{-1, float32(math.NaN()), float32(math.Inf(1))} {
			Expect(ask(granting, quota.Ask{Tenant: key, Want: bad, Demand: 1})).To(BeEmpty())
		}
		Expect(ask(granting, quota.Ask{Tenant: key + 1, Want: 1})).To(BeEmpty(), "a tenant without a limit")
		grants := ask(granting, quota.Ask{Tenant: key, Want: math.MaxFloat32, Demand: 1})
		Expect(float64(grants[0].Tokens)).To(BeNumerically("<=", limit.Burst))
		many := f.hosts[granting].receive(f.now, &wire.QuotaRequest{Asks: slices.Repeat([]quota.Ask{{Tenant: key}}, 2*wire.MaxQuotaItems)})
		Expect(many.Grants).To(HaveLen(wire.MaxQuotaItems))
	})

	// Guards against a host that shuts down and still grants, beside the one that it passed
	// its buckets to.
	It("pass the buckets of a host that shuts down to the next one", func(ctx context.Context) {
		f := newQuotaFleet(3, limit)
		before := f.drive(10*time.Second, 0, limited)
		key := quota.Key(limitedName)
		leaving := quota.GrantingHost(key, f.names)
		f.hosts[leaving].handOver(ctx)
		Expect(f.hosts[leaving].granter.Tenants()).To(BeZero())
		Expect(f.hosts[leaving].receive(f.now, &wire.QuotaRequest{From: "host-9", Asks: []quota.Ask{{Tenant: key, Want: 1, Demand: 1}}}).Grants).To(BeEmpty())
		after := f.drive(10*time.Second, 0, limited)
		Expect(mostInWindow(append(before, after...))).To(BeNumerically("<=", most))
		Expect(len(after)).To(BeNumerically(">=", 10*20*7/10))
	})

	// Guards against a token that a request keeps although it did not run.
	It("give back the token of a request that did not run", func() {
		f := newQuotaFleet(1, limit)
		f.drive(quota.DefaultWindow, 0, limited)
		f.step(2 * time.Second)
		q := f.hosts["host-0"]
		for range 100 {
			_, refused := q.admit(f.now, limited)
			Expect(refused).To(BeFalse())
			q.giveBack(limited)
		}
	})
})
