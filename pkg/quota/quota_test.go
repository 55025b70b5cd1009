package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/quota"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var (
	start = time.Unix(1000, 0)
	limit = quota.Limit{Rate: 10, Burst: 10}
)

func limitOf(uint64) (quota.Limit, bool) { return limit, true }

// ask returns the ask of a holder after a refused request.
func ask(h *quota.Holder, now time.Time) []quota.Ask {
	d, _ := h.Admit(now, 1, limit)
	Expect(d).NotTo(Equal(quota.Admitted))
	return h.Asks(now)
}

var _ = Describe("Holder", func() {
	var h *quota.Holder
	BeforeEach(func() { h = quota.NewHolder(modelBounds, 1) })

	// Guards against a grant that waited in the socket while the process was paused: its
	// tokens have lapsed at the granting host.
	It("ignores grants for asks from before a pause", func() {
		asks := ask(h, start)
		h.Reset()
		h.Granted(start.Add(10*time.Millisecond), []quota.Grant{{Tenant: 1, Seq: asks[0].Seq, Tokens: 5}})
		d, _ := h.Admit(start.Add(20*time.Millisecond), 1, limit)
		Expect(d).NotTo(Equal(quota.Admitted))
	})

	// Guards against a granting host whose answers take longer than the first repetition:
	// none would ever be accepted.
	It("accepts an answer after 150 ms", func() {
		now, granted := start, map[time.Time]quota.Grant{}
		for ; now.Before(start.Add(2 * time.Second)); now = now.Add(10 * time.Millisecond) {
			if g, ok := granted[now]; ok {
				h.Granted(now, []quota.Grant{g})
			}
			if d, _ := h.Admit(now, 1, limit); d == quota.Admitted {
				return
			}
			for _, a := range h.Asks(now) {
				granted[now.Add(150*time.Millisecond)] = quota.Grant{Tenant: 1, Seq: a.Seq, Tokens: 1}
			}
		}
		Fail("no request was admitted")
	})

	// Guards against a burst of tokens when many requests that waited are refused together.
	It("takes back no more tokens than it needs", func() {
		asks := ask(h, start)
		h.Granted(start, []quota.Grant{{Tenant: 1, Seq: asks[0].Seq, Tokens: 10}})
		for range 10 {
			_, _ = h.Admit(start, 1, limit)
		}
		later := start.Add(4 * time.Second)
		for range 10 {
			h.GiveBack(later, 1)
		}
		Expect(h.Holdings(later)[0].Tokens).To(BeNumerically("<=", 2))
	})

	// Guards against repeated grants and against grants with invalid numbers.
	It("takes a grant once and ignores invalid ones", func() {
		asks := ask(h, start)
		for _, tokens := range []float32{float32(math.NaN()), float32(math.Inf(1)), -1} {
			h.Granted(start, []quota.Grant{{Tenant: 1, Seq: asks[0].Seq, Tokens: tokens}})
			Expect(h.Holdings(start)[0].Tokens).To(BeZero())
		}
		for range 2 {
			h.Granted(start, []quota.Grant{{Tenant: 1, Seq: asks[0].Seq, Tokens: 2}})
		}
		Expect(h.Holdings(start)[0].Tokens).To(Equal(2.0))
	})

	// Guards against asks, 20 a second, for a tenant that was removed, which none answers.
	It("forgets a tenant without a limit", func() {
		ask(h, start)
		h.Retain(nil)
		_, due := h.NextAsk(start)
		Expect(due).To(BeFalse())
		Expect(h.Holdings(start)).To(BeEmpty())
	})

	// Guards against tokens that outlive their lease, and a lowered limit that does not bind.
	It("drops tokens at the end of the lease and beyond a lower limit", func() {
		asks := ask(h, start)
		h.Granted(start, []quota.Grant{{Tenant: 1, Seq: asks[0].Seq, Tokens: 10}})
		_, _ = h.Admit(start, 1, quota.Limit{Rate: 1})
		Expect(h.Holdings(start)[0].Tokens).To(BeNumerically("<=", 2))
		d, _ := h.Admit(start.Add(quota.LeaseTime+time.Millisecond), 1, limit)
		Expect(d).NotTo(Equal(quota.Admitted))
	})
})

var _ = Describe("Granter", func() {
	var g *quota.Granter
	grant := func(now time.Time, want float32) float32 {
		grants := g.Grant(now, "host", []quota.Ask{{Tenant: 1, Seq: 1, Want: want, Demand: 1}}, limitOf)
		Expect(grants).To(HaveLen(1))
		return grants[0].Tokens
	}
	BeforeEach(func() { g = quota.NewGranter(modelBounds, start.Add(-time.Hour)) })

	// Guards against a host that was paused after a restart of all hosts and grants at the full
	// rate beside the host that took over.
	It("fills at half the rate after a pause", func() {
		g.HostsChanged(start, true)
		g.Reset(start)
		grant(start, 1000)
		Expect(grant(start.Add(time.Second), 1000)).To(BeNumerically("<=", 9))
	})

	// Guards against a repeated handover that refills a bucket.
	It("adopts a bucket once", func() {
		handover := []quota.Handover{{Tenant: 1, Tokens: 10}}
		g.Adopt(start, handover, limitOf)
		Expect(grant(start, 1000)).To(Equal(float32(10)))
		g.Adopt(start, handover, limitOf)
		Expect(grant(start, 1000)).To(BeZero())
	})

	// Guards against buckets that a peer fills or empties with absurd numbers.
	It("ignores or clamps absurd asks and handovers", func() {
		for _, bad := range []float32{-1, float32(math.NaN()), float32(math.Inf(1))} {
			Expect(g.Grant(start, "host", []quota.Ask{{Tenant: 1, Want: bad}, {Tenant: 1, Held: bad}, {Tenant: 1, Demand: bad}}, limitOf)).To(BeEmpty())
			g.Adopt(start, []quota.Handover{{Tenant: 1, Tokens: bad}}, limitOf)
		}
		Expect(g.Tenants()).To(BeZero())
		g.Adopt(start, []quota.Handover{{Tenant: 1, Tokens: math.MaxFloat32}}, limitOf)
		Expect(grant(start, math.MaxFloat32)).To(Equal(float32(10)))
	})

	// Guards against state that stays for tenants that are gone.
	It("forgets tenants without a limit", func() {
		grant(start, 1)
		g.Retain(nil)
		Expect(g.Tenants()).To(BeZero())
	})

	// Guards against more than the cap without any tolerance: bucket and leases together.
	It("keeps bucket and leases within the burst without a tolerance", func() {
		g = quota.NewGranter(quota.Bounds{}, start.Add(-time.Hour))
		Expect(grant(start, 100)).To(Equal(float32(10)))
		// The tokens may all be used just before the next ask.
		Expect(grant(start.Add(2*time.Second), 100)).To(BeZero())
	})
})

var _ = Describe("Fleet", func() {
	names := []string{"a", "b", "c", "d"}

	// Guards against two sides of a partition that both grant: equal halves, and a side that
	// has not seen the others for longer than the roster keeps them.
	It("has at most one majority", func() {
		left, right := quota.NewFleet("a"), quota.NewFleet("c")
		left.Observe(start, names, nil)
		right.Observe(start, names, nil)
		later := start.Add(time.Minute)
		left.Observe(later, names[:2], nil)
		right.Observe(later, names[2:], nil)
		Expect(left.Majority(0)).To(BeTrue())
		Expect(right.Majority(0)).To(BeFalse())
	})

	// Guards against a fleet that never grants again after hosts are gone for good.
	It("forgets hosts that left or vanished long ago", func() {
		f := quota.NewFleet("d")
		f.Observe(start, names, nil)
		f.Observe(start.Add(time.Second), nil, names[:3])
		Expect(f.Majority(0)).To(BeTrue())
		f.Observe(start.Add(2*time.Second), names, nil)
		f.Observe(start.Add(10*time.Minute), nil, nil)
		Expect(f.Majority(0)).To(BeTrue())
		Expect(f.Majority(64)).To(BeFalse())
	})
})

func BenchmarkAdmit(b *testing.B) {
	h, now := quota.NewHolder(modelBounds, 1), start
	limits := map[uint64]quota.Limit{}
	for i := range uint64(1000) {
		limits[i] = limit
	}
	h.Stand(now, limits)
	h.Renew(now)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = h.Admit(now, 1, limit)
		_ = h.AskDue(now, 1)
	}
}
