package quota_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/quota"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	calmLoad  = 0.7 // of the limit
	abuseLoad = 7.5
	faultAt   = 10 * time.Second
	modelEnd  = 25 * time.Second
	// maxRefused is the stated target for the share of requests below the cap that are
	// refused in calm.
	maxRefused = 0.02
	// smallSeeds is the number of runs with a small tenant in a small fleet, in which the
	// tokens of a change of the granting host are the largest part of the cap.
	smallSeeds = 10
)

var (
	small, large = quota.Limit{Rate: 4, Burst: 8}, quota.Limit{Rate: 200, Burst: 100}
	calmCases    = []struct {
		size     int
		limit    quota.Limit
		callers  string
		duration time.Duration
	}{
		{7, small, "one host", 300 * time.Second}, {7, small, "even", 300 * time.Second}, {7, large, "even", 20 * time.Second},
		{71, small, "one host", 300 * time.Second}, {71, small, "uneven", 300 * time.Second}, {71, large, "even", 20 * time.Second},
		{300, small, "one host", 100 * time.Second}, {300, small, "uneven", 100 * time.Second}, {300, large, "even", 20 * time.Second},
		{1300, small, "uneven", 60 * time.Second}, {1300, large, "even", 15 * time.Second}, {1300, large, "one host", 15 * time.Second},
	}
	modelCases = []struct {
		size    int
		limit   quota.Limit
		callers string
	}{
		{7, small, "all hosts"}, {7, large, "uneven"}, {71, small, "uneven"}, {71, large, "all hosts"},
		{300, small, "uneven"}, {300, large, "all hosts"}, {1300, large, "uneven"},
	}
)

// callers are ways in which requests spread over hosts.
var callers = map[string]func(m *model) func() *modelHost{
	"even": func(m *model) func() *modelHost {
		return func() *modelHost { return m.hosts[m.rng.IntN(min(len(m.hosts), 6+len(m.hosts)/50))] }
	},
	"one host": func(m *model) func() *modelHost { return func() *modelHost { return m.hosts[1] } },
	"uneven": func(m *model) func() *modelHost {
		return func() *modelHost {
			if m.rng.IntN(10) > 0 {
				return m.hosts[1]
			}
			return m.hosts[m.rng.IntN(3)]
		}
	},
	"all hosts": func(m *model) func() *modelHost {
		return func() *modelHost { return m.hosts[m.rng.IntN(len(m.hosts))] }
	},
}

func (m *model) granting() *modelHost {
	var names []string
	for _, h := range m.hosts[:m.large] {
		if !h.down {
			names = append(names, h.name)
		}
	}
	return m.byName[quota.GrantingHost(modelTenant, names)]
}

// noticed makes each host see the hosts that it can reach, at a random time in a range.
func (m *model) noticed(from, to time.Duration) {
	for _, h := range m.hosts {
		if h.down {
			continue
		}
		m.at(h, m.now+from+time.Duration(m.rng.Int64N(int64(to-from))), func() {
			var members []*modelHost
			for _, o := range m.hosts {
				if !o.down && !o.paused && o.group == h.group && (o == h || !o.hidden) {
					members = append(members, o)
				}
			}
			m.sees(h, members)
		})
	}
}

// faults are what happens at faultAt.
var faults = map[string]func(m *model){
	"none": func(*model) {},
	"restart of all hosts": func(m *model) {
		for _, h := range m.hosts {
			h.down = true
			m.after(time.Duration(m.rng.Int64N(int64(time.Second))), func() { m.start(h) })
		}
		m.after(time.Second, func() { m.noticed(0, 1500*time.Millisecond) })
	},
	"kill of the granting host": func(m *model) {
		m.granting().down = true
		m.noticed(failureTimeout, farTimeout)
	},
	"kill of two granting hosts in turn": func(m *model) {
		for i := range 2 {
			m.after(time.Duration(i)*4*time.Second, func() {
				m.granting().down = true
				m.noticed(failureTimeout, farTimeout)
			})
		}
	},
	"partition into halves": func(m *model) { m.partition(2) },
	"partition into thirds": func(m *model) { m.partition(3) },
	"pause of the granting host": func(m *model) {
		g := m.granting()
		m.pause(g, 8*time.Second)
		m.noticed(failureTimeout, farTimeout)
		m.after(8*time.Second, func() { m.noticed(0, 1500*time.Millisecond) })
	},
	"short pauses of all hosts": func(m *model) {
		for _, h := range m.hosts {
			m.after(time.Duration(m.rng.Int64N(int64(2*time.Second))), func() {
				m.pause(h, 1100*time.Millisecond+time.Duration(m.rng.Int64N(int64(time.Second))))
			})
		}
	},
	// Hosts drop and take back the granting host at different times, in turn.
	"disagreeing rosters": func(m *model) {
		g := m.granting()
		for i := range 4 {
			m.after(time.Duration(i)*3*time.Second, func() {
				g.hidden = i%2 == 0
				m.noticed(0, 2*time.Second)
			})
		}
	},
}

func (m *model) partition(parts int) {
	for i, h := range m.hosts {
		h.group = i % parts
	}
	m.noticed(failureTimeout, farTimeout)
	m.after(12*time.Second, func() {
		for _, h := range m.hosts {
			h.group = 0
		}
		m.noticed(0, 1500*time.Millisecond)
	})
}

// pause stops a host and its clock for a time.
func (m *model) pause(h *modelHost, d time.Duration) {
	h.paused = true
	m.after(d, func() {
		h.paused = false
		h.lost += d
		for _, do := range h.inbox {
			m.at(h, m.now, do)
		}
		h.inbox = nil
	})
}

var _ = Describe("Fleet model", func() {
	// Guards against a tenant that gets more than its cap in some window while hosts fail.
	for fault, play := range faults {
		It(fmt.Sprintf("holds the cap with %s", fault), func() {
			for _, c := range modelCases {
				seeds := uint64(1)
				if c.size <= 71 && c.limit == small {
					seeds = smallSeeds
				}
				for seed := range seeds {
					m := newModel(seed+1, c.size, c.limit, leases)
					m.requests(abuseLoad*c.limit.Rate, modelEnd, callers[c.callers](m))
					m.after(faultAt, func() { play(m) })
					m.run(modelEnd)
					fmt.Fprintf(GinkgoWriter, "%d hosts, rate %g, %s: excess %.1f, runs %d\n", c.size, c.limit.Rate, c.callers, m.excess(), len(m.runs))
					Expect(m.excess()).To(BeNumerically("<=", 0), "%+v, seed %d", c, seed+1)
					Expect(m.runs).NotTo(BeEmpty())
				}
			}
		})
	}

	// Guards against refusals of a tenant that stays below its limit.
	It("refuses few requests below the cap in calm", func() {
		for _, c := range calmCases {
			m := newModel(1, c.size, c.limit, leases)
			m.measuredFrom = 5 * time.Second
			m.requests(calmLoad*c.limit.Rate, c.duration, callers[c.callers](m))
			m.run(c.duration)
			fmt.Fprintf(GinkgoWriter, "%d hosts, rate %g, %s: refused %d of %d below the cap\n", c.size, c.limit.Rate, c.callers, m.refused, m.below)
			Expect(float64(m.refused)).To(BeNumerically("<=", maxRefused*float64(m.below)), "%+v", c)
		}
	})

	// Guards against checks that a tier without leases passes as well.
	It("fails with the whole limit on each host and with equal shares", func() {
		m := newModel(1, 71, large, wholeLimit)
		m.requests(abuseLoad*large.Rate, 10*time.Second, callers["all hosts"](m))
		m.run(10 * time.Second)
		Expect(m.excess()).To(BeNumerically(">", 0), "each host has the whole limit")
		m = newModel(1, 71, large, equalShare)
		m.requests(calmLoad*large.Rate, 20*time.Second, callers["uneven"](m))
		m.run(20 * time.Second)
		Expect(float64(m.refused)).To(BeNumerically(">", maxRefused*float64(m.below)), "equal shares")
	})
})
