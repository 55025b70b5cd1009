package roster_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// restart plays a restart of all hosts in virtual time, in steps of a millisecond. All
// share the link of the store. A host sends the state to a few others at a time, and
// names hosts that have it to the rest.
type restart struct {
	hosts, seeds int
	startWithin  time.Duration // all hosts start within this time
	readTime     time.Duration // of the store's link for one read
	pullTime     time.Duration // of a host's link for one pull
	sending      int           // whole states that a host sends at a time
	wait         func(seed bool, fleet int, draw float64) time.Duration
}

// play returns how long after its start each host has the state, in order, and the number
// of reads of the store.
func (r restart) play(seed uint64) (had []time.Duration, reads int) {
	const rtt, readLatency, pullWait = 7 * time.Millisecond, 40 * time.Millisecond, 250 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 1))
	type host struct {
		start, state, busy time.Duration // state: when it has the state; busy: when its link is free
		pullFrom, retryAt  time.Duration // when it first tried to pull, and when it tries again
		draw               float64
		pulling, reading   bool
		fleet              int
	}
	hosts := make([]host, r.hosts)
	for i := range hosts {
		hosts[i] = host{start: time.Duration(rng.Int64N(int64(r.startWithin))), state: time.Hour, draw: rng.Float64()}
	}
	var storeFree time.Duration
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		started := float64(min(now, r.startWithin)) / float64(r.startWithin)
		for i := range hosts {
			h := &hosts[i]
			if now < h.start || now >= h.state {
				continue
			}
			for s := range r.seeds { // each greets the seeds, which reply
				if s == i || now < max(hosts[s].start, h.start)+rtt {
					continue
				}
				h.fleet = max(h.fleet, int(float64(r.hosts)*started))
				source := &hosts[s]
				if h.pullFrom > 0 { // refused before
					if source = &hosts[rng.IntN(r.hosts)]; now < source.state+rtt {
						continue
					}
				}
				if h.pulling || now < h.retryAt || now < source.state+rtt {
					continue
				}
				if h.pullFrom == 0 {
					h.pullFrom = now
				}
				if source.busy-now >= time.Duration(r.sending)*r.pullTime {
					h.retryAt = now + 10*time.Millisecond + time.Duration(rng.Int64N(int64(10*time.Millisecond)))
					continue
				}
				h.pulling = true
				source.busy = max(source.busy, now) + r.pullTime
				h.state = min(h.state, source.busy+rtt)
			}
			turn := now >= h.start+r.wait(i < r.seeds, h.fleet, h.draw) && (h.pullFrom == 0 || now >= h.pullFrom+pullWait)
			if !h.reading && turn {
				h.reading = true
				reads++
				storeFree = max(storeFree, now) + r.readTime
				h.state = min(h.state, storeFree+readLatency)
			}
		}
	}
	for i := range hosts {
		had = append(had, hosts[i].state-hosts[i].start)
	}
	slices.Sort(had)
	return had, reads
}

var _ = Describe("FirstReadWait", func() {
	atOnce := func(seed bool, _ int, _ float64) time.Duration {
		if seed {
			return 0
		}
		return roster.FirstReadDelay
	}

	// Guards against a restart of all hosts at which hundreds of reads hold each other up.
	It("lets most hosts of a large fleet pull the state from a peer", func() {
		for seed := range uint64(5) {
			large := restart{hosts: 295, seeds: 3, startWithin: 50 * time.Millisecond, readTime: 2400 * time.Microsecond, pullTime: 8 * time.Millisecond}
			large.sending, large.wait = large.hosts, atOnce
			before, readsBefore := large.play(seed)
			large.sending, large.wait = 4, roster.FirstReadWait
			had, reads := large.play(seed)
			seen := fmt.Sprintf("seed %d: middle host %v, last %v, %d reads; at once: %v, %v, %d", seed, had[147], had[294], reads, before[147], before[294], readsBefore)
			GinkgoWriter.Println(seen)
			Expect(reads).To(BeNumerically("<", readsBefore/2), seen)
			Expect(had[147]).To(BeNumerically("<", before[147]/2), seen)
			Expect(had[294]).To(BeNumerically("<", before[294]/2), seen)
		}
	})

	// Guards against a fleet without its seeds that waits for them.
	It("does not wait if no other host is heard", func() {
		Expect(roster.FirstReadWait(false, 1, 0.999)).To(Equal(roster.FirstReadDelay))
		Expect(roster.FirstReadWait(false, 0, 0.999)).To(Equal(roster.FirstReadDelay))
	})

	// Guards against a small fleet that waits for the sake of large ones.
	It("hardly delays small fleets", func() {
		had, _ := restart{hosts: 7, seeds: 3, startWithin: 450 * time.Millisecond, readTime: 200 * time.Microsecond, pullTime: time.Millisecond, sending: 4, wait: roster.FirstReadWait}.play(1)
		Expect(had[6]).To(BeNumerically("<", 130*time.Millisecond))
		Expect(roster.FirstReadWait(false, 7, 0.999)).To(BeNumerically("<", 40*time.Millisecond))
		Expect(roster.FirstReadWait(true, 1300, 0.999)).To(BeZero())
	})
})

// Guards against a fleet that is taken for as large as it once was: each host would tell the
// others what it had heard from them.
var _ = Describe("HeardHosts", func() {
	It("forgets the size of a fleet that has shrunk", func() {
		start := time.Unix(1000, 0)
		a, b := roster.New("a", "p", start), roster.New("b", "p", start)
		a.Observe(start, roster.State{Name: "b", Incarnation: 1, Place: "p", KnownHosts: 300})
		Expect(a.HeardHosts()).To(Equal(300))
		for i := range uint64(3) {
			b.Observe(start, roster.State{Name: "a", Incarnation: 1, Sequence: 1 + i, Place: "p", KnownHosts: a.Size()})
			a.Observe(start, roster.State{Name: "b", Incarnation: 1, Sequence: 1 + i, Place: "p", KnownHosts: b.Size()})
		}
		Expect(a.HeardHosts()).To(Equal(2))
		Expect(b.HeardHosts()).To(Equal(2))
	})
})

// Guards against an old state that is taken while the store could give a new one, and against
// a host that serves nobody while the store is away.
var _ = DescribeTable("TakesFirstState", func(sinceStart, age time.Duration, want bool) {
	Expect(roster.TakesFirstState(sinceStart, age, 2*time.Second)).To(Equal(want))
},
	Entry("a state confirmed lately, at once", time.Duration(0), time.Second, true),
	Entry("an old state, not at once", time.Duration(0), 3*time.Second, false),
	Entry("an old state, once the store had time to answer", time.Second, time.Hour, true),
)
