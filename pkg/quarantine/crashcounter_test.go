package quarantine_test

import (
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("CrashCounter", func() {
	const fp = quarantine.Fingerprint(7)
	start := time.Unix(1000, 0)
	crash := func(target, attempt uint64) quarantine.Crash {
		return quarantine.Crash{Fingerprint: fp, Target: target, Attempt: attempt, Service: 1}
	}
	// crashing returns a counter with crashes of three targets in three attempts, and the
	// time of the last one.
	crashing := func() (*quarantine.CrashCounter, time.Time) {
		counter, now := quarantine.NewCrashCounter(), start
		for i := range uint64(3) {
			now = start.Add(time.Duration(i) * time.Second)
			counter.Add(now, crash(i, i))
		}
		return counter, now
	}

	// Guards against a request that a caller repeats until all targets are down.
	It("refuses a request that crashed targets three times in a row", func() {
		counter, now := crashing()
		Expect(counter.Refused(now, fp)).To(BeTrue())
		Expect(counter.Refused(now, fp+1)).To(BeFalse())
		admitted, left := counter.Admit(now, fp)
		Expect(admitted).To(BeFalse())
		Expect(left).To(Equal(time.Minute))
	})

	// Guards against a target that is back at once, under the same entry, and is lost again.
	It("counts a target again that crashes in another attempt", func() {
		counter := quarantine.NewCrashCounter()
		counter.Add(start, crash(1, 1))
		counter.Add(start.Add(time.Second), crash(2, 2))
		Expect(counter.Refused(start.Add(time.Second), fp)).To(BeFalse())
		counter.Add(start.Add(2*time.Second), crash(1, 3))
		Expect(counter.Refused(start.Add(2*time.Second), fp)).To(BeTrue())
	})

	// Guards against refusing a request whose targets were lost to another cause.
	DescribeTable("does not refuse a request", func(add func(c *quarantine.CrashCounter)) {
		counter := quarantine.NewCrashCounter()
		add(counter)
		Expect(counter.Refused(start.Add(10*time.Second), fp)).To(BeFalse())
		admitted, _ := counter.Admit(start.Add(10*time.Second), fp)
		Expect(admitted).To(BeTrue())
	},
		Entry("that lost targets in one attempt", func(c *quarantine.CrashCounter) {
			for i := range uint64(8) {
				c.Add(start.Add(time.Duration(i)*time.Second), crash(i, 1))
			}
		}),
		Entry("whose attempts were under way when many targets were lost at once", func(c *quarantine.CrashCounter) {
			for i := range uint64(8) {
				c.Add(start.Add(time.Duration(i)*10*time.Millisecond), crash(i, i))
			}
		}),
		Entry("that failed on one target only", func(c *quarantine.CrashCounter) {
			for i := range uint64(8) {
				c.Add(start.Add(time.Duration(i)*time.Second), crash(1, i))
			}
		}),
		Entry("that was answered in between", func(c *quarantine.CrashCounter) {
			for i := range uint64(8) {
				c.Add(start.Add(time.Duration(i)*time.Second), crash(i, i))
				if i%2 == 1 {
					c.Answered(start.Add(time.Duration(i)*time.Second), fp, 1)
				}
			}
		}),
		Entry("whose crashes are long ago", func(c *quarantine.CrashCounter) {
			c.Add(start.Add(-2*time.Minute), crash(1, 1))
			c.Add(start.Add(-time.Minute-time.Second), crash(2, 2))
			c.Add(start.Add(5*time.Second), crash(3, 3))
		}),
	)

	// Guards against an answer of one shard that hides the crashes of another.
	It("keeps the crashes of a service when another one answers", func() {
		counter, now := crashing()
		counter.Answered(now, fp, 2)
		Expect(counter.Refused(now, fp)).To(BeTrue())
		counter.Answered(now, fp, 1)
		Expect(counter.Refused(now, fp)).To(BeFalse())
	})

	// Guards against a request that is sent to a target each minute for ever, and against one
	// that is refused for ever although it does not crash targets any more.
	It("admits one attempt after a refusal, and refuses for twice the time after a further crash", func() {
		counter, now := crashing()
		admit := func() bool { admitted, _ := counter.Admit(now, fp); return admitted }
		now = now.Add(time.Minute)
		Expect(admit()).To(BeTrue())
		Expect(admit()).To(BeFalse(), "one attempt at a time")
		counter.Add(now, crash(9, 9))
		now = now.Add(2*time.Minute - time.Second)
		Expect(admit()).To(BeFalse())
		now = now.Add(time.Second)
		Expect(admit()).To(BeTrue())
		counter.Answered(now, fp, 1)
		Expect(admit()).To(BeTrue())
		Expect(admit()).To(BeTrue())
	})

	// Guards against counting a crash again each time that another host repeats it.
	It("counts a crash that another host reports only once, and reports it for a short time", func() {
		a, now := crashing()
		b := quarantine.NewCrashCounter()
		report := a.Report(now, 8)
		Expect(b.Import(now, report)).To(Equal(3))
		Expect(b.Import(now, report)).To(BeZero())
		Expect(b.Refused(now, fp)).To(BeTrue())
		Expect(a.Report(now.Add(30*time.Second), 8).Crashes).To(BeEmpty())
	})

	// Guards against a host that started, or was cut off, after the crashes.
	It("reports a refusal for as long as it lasts", func() {
		a, now := crashing()
		now = now.Add(50 * time.Second)
		b := quarantine.NewCrashCounter()
		b.Import(now, a.Report(now, 8))
		Expect(b.Refused(now, fp)).To(BeTrue())
		Expect(b.Refused(now.Add(11*time.Second), fp)).To(BeFalse())
	})

	// Guards against hosts that prolong a refusal by reporting it to each other.
	It("does not prolong a refusal by reports that arrive late", func() {
		a, now := crashing()
		b := quarantine.NewCrashCounter()
		for i := range 400 {
			at := now.Add(time.Duration(i) * 500 * time.Millisecond)
			fromA, fromB := a.Report(at, 8), b.Report(at, 8)
			b.Import(at.Add(100*time.Millisecond), fromA)
			a.Import(at.Add(100*time.Millisecond), fromB)
			if at.Sub(now) > 61*time.Second {
				Expect(a.Refused(at, fp)).To(BeFalse())
				Expect(b.Refused(at, fp)).To(BeFalse())
			}
		}
	})

	// Guards against a host that refuses what it serves because of the trouble of another.
	It("ignores reports on a request that a target answered lately", func() {
		a, now := crashing()
		b := quarantine.NewCrashCounter()
		b.Add(start, crash(1, 1))
		b.Answered(start, fp, 1)
		Expect(b.Import(now, a.Report(now, 8))).To(BeZero())
		Expect(b.Refused(now, fp)).To(BeFalse())
	})

	// Guards against reports that make no sense.
	It("bounds the refusals of other hosts", func() {
		counter := quarantine.NewCrashCounter()
		counter.Import(start, quarantine.Report{Refusals: []quarantine.Refusal{
			{Fingerprint: 1, LeftMS: -5, Level: 1}, {Fingerprint: 2, LeftMS: 1 << 62, Level: 1}, {Fingerprint: 3, LeftMS: 1 << 62, Level: 255}, {Fingerprint: 4, LeftMS: 5},
		}})
		Expect(counter.Refused(start, 1)).To(BeFalse())
		Expect(counter.Refused(start.Add(2*time.Minute), 2)).To(BeFalse())
		Expect(counter.Refused(start.Add(2*time.Hour), 3)).To(BeFalse())
		Expect(counter.Refused(start, 4)).To(BeFalse())
	})

	// Guards against refusals that are never reported while there are many.
	It("reports all refusals in turn", func() {
		counter := quarantine.NewCrashCounter()
		for i := range uint64(50) {
			counter.Import(start, quarantine.Report{Refusals: []quarantine.Refusal{{Fingerprint: quarantine.Fingerprint(i), LeftMS: 50_000, Level: 1}}})
		}
		reported := map[quarantine.Fingerprint]bool{}
		for range 7 {
			for _, r := range counter.Report(start, 8).Refusals {
				reported[r.Fingerprint] = true
			}
		}
		Expect(reported).To(HaveLen(50))
	})

	// Guards against unbounded memory, and against a killer that is forgotten, or not
	// reported, under many requests that lost a connection.
	It("holds a bounded number of requests and reports the most suspicious ones", func() {
		counter, now := crashing()
		suspect := quarantine.Fingerprint(1 << 40)
		for i := range uint64(2) {
			counter.Add(now, quarantine.Crash{Fingerprint: suspect, Target: i, Attempt: i})
		}
		for i := range 5000 {
			counter.Add(now.Add(time.Duration(i)*time.Millisecond), quarantine.Crash{Fingerprint: quarantine.Fingerprint(100 + i), Target: 1})
		}
		Expect(len(counter.Report(now, 5000).Crashes)).To(BeNumerically("<=", 1024+3), "1,024 requests, two of them with more than one crash")
		Expect(counter.Refused(now, fp)).To(BeTrue())
		var suspects int
		for _, c := range counter.Report(now, 8).Crashes {
			if c.Fingerprint == suspect {
				suspects++
			}
		}
		Expect(suspects).To(Equal(2))
	})
})

// fleetOfCounters plays hosts that send a killer request in turn and report to some others
// each half second, in virtual time.
type fleetOfCounters struct {
	now   time.Time
	rng   *rand.Rand
	hosts []*quarantine.CrashCounter
}

// step advances the time by half a second, after which each host reports to three others.
func (f *fleetOfCounters) step() {
	f.now = f.now.Add(500 * time.Millisecond)
	for _, h := range f.hosts {
		report := h.Report(f.now, 8)
		for range 3 {
			f.hosts[f.rng.IntN(len(f.hosts))].Import(f.now, report)
		}
	}
}

var _ = Describe("CrashCounters of a fleet", func() {
	// Guards against a request that each host has to learn about by itself.
	DescribeTable("let few killer requests pass after the third crash, over five minutes", func(hosts int, seed uint64) {
		f := &fleetOfCounters{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1))}
		for range hosts {
			f.hosts = append(f.hosts, quarantine.NewCrashCounter())
		}
		var crashes []time.Time
		for i := range uint64(600) {
			for part := range uint64(3) {
				// One in ten hosts that get the request has just started.
				h := f.rng.IntN(hosts)
				if f.rng.IntN(10) == 0 && f.now.Sub(time.Unix(1000, 0)) > 5*time.Second {
					f.hosts[h] = quarantine.NewCrashCounter()
					f.hosts[h].Import(f.now, f.hosts[(h+1+f.rng.IntN(hosts-1))%hosts].Report(f.now, 8))
				}
				if admitted, _ := f.hosts[h].Admit(f.now, 7); admitted {
					crashes = append(crashes, f.now)
					f.hosts[h].Add(f.now, quarantine.Crash{Fingerprint: 7, Target: uint64(f.rng.IntN(40)), Attempt: 3*i + part, Service: 1})
				}
			}
			f.step()
		}
		late := 0
		for _, at := range crashes {
			if at.Sub(crashes[2]) > 4*time.Second && at.Sub(crashes[2]) < time.Minute {
				late++
			}
		}
		Expect(late).To(BeNumerically("<=", 3), "%d crashes", len(crashes))
		// Refusals end after 1, 3 and 7 minutes; each end costs the crashes of the hosts that
		// send before they hear of the first.
		Expect(len(crashes)).To(BeNumerically("<", 60))
	},
		Entry("of 2 hosts", 2, uint64(1)), Entry("of 7 hosts", 7, uint64(2)), Entry("of 60 hosts", 60, uint64(3)), Entry("of 295 hosts", 295, uint64(4)),
	)
})
