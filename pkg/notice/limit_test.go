package notice_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/notice"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	limitWindow = 4 * time.Second
	// limitExcess and limitExtra state how many requests above its limit a target may get in
	// a window.
	limitExcess = 1.5
	limitExtra  = 5
	// contactTime is how long hosts have to adapt once a target names a limit.
	contactTime = 4 * time.Second
)

// limitedPlay plays hosts in virtual time that send to one target as soon as it takes a
// request. The target names a limit from the beginning and answers after 10 ms.
type limitedPlay struct {
	places, hostsHere int // number of places, and of hosts in each
	limit             float64
	demand            float64 // requests a second of each host
	// idleUntil is a time until which hosts other than those of the target's place have no
	// requests; after it all of them do.
	idleUntil time.Duration
	lacking   float64 // fraction of the others that each host does not know
	seed      uint64
}

// run returns the times of the requests in a minute, in order.
func (p limitedPlay) run() []time.Duration {
	const step, answerTime = 5 * time.Millisecond, 10 * time.Millisecond
	rng := rand.New(rand.NewPCG(p.seed, 7))
	var all []notice.Host
	for i := range p.places * p.hostsHere {
		all = append(all, notice.Host{Name: fmt.Sprint("h", i), Place: fmt.Sprint("p", i%p.places)})
	}
	type host struct {
		target   notice.Target
		position notice.Position
		answers  []time.Duration // arrival of the open answers
	}
	hosts := make([]host, len(all))
	for i := range hosts {
		known := slices.DeleteFunc(slices.Clone(all), func(h notice.Host) bool { return h != all[i] && rng.Float64() < p.lacking })
		hosts[i].position = notice.PositionOf(all[i], known, "t", "p0")
	}
	var sent []time.Duration
	for now := time.Duration(0); now < time.Minute; now += step {
		for i := range hosts {
			h := &hosts[i]
			for len(h.answers) > 0 && h.answers[0] <= now {
				h.target.Observe(at(now), at(now-answerTime), notice.Said{Limit: p.limit, Limited: true}, func() notice.Position { return h.position }, rng)
				h.answers = h.answers[1:]
			}
			if all[i].Place != "p0" && now < p.idleUntil {
				// The hosts elsewhere have heard of the limit before.
				if now > 0 && now <= step {
					h.target.Observe(at(now), at(0), notice.Said{Limit: p.limit, Limited: true}, func() notice.Position { return h.position }, rng)
				}
				continue
			}
			if rng.Float64() < p.demand*step.Seconds() && h.target.Decide(at(now), drain, rng).Allowed {
				h.target.Sent(at(now))
				h.answers = append(h.answers, now+answerTime)
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// mostInWindow returns the largest number of requests in a window that begins once hosts
// had the time to adapt.
func mostInWindow(sent []time.Duration) (most int) {
	for i, from := range sent {
		if from < contactTime {
			continue
		}
		end, _ := slices.BinarySearch(sent[i:], from+limitWindow)
		most = max(most, end)
	}
	return most
}

var _ = Describe("A limit that a target names", func() {
	// Guards against hosts that each keep to the limit alone, and against a share that
	// leaves most of the limit unused.
	DescribeTable("is kept by all hosts together, and mostly used",
		func(p limitedPlay, leastUsed float64) {
			for seed := range uint64(5) {
				p.seed = seed
				sent := p.run()
				allowed := limitExcess*p.limit*limitWindow.Seconds() + limitExtra
				Expect(float64(mostInWindow(sent))).To(BeNumerically("<=", allowed), "seed %d", seed)
				steady := len(sent) - countBefore(sent, 10*time.Second)
				Expect(float64(steady)/50/p.limit).To(BeNumerically(">=", leastUsed), "seed %d", seed)
			}
		},
		Entry("by 2 hosts", limitedPlay{places: 2, hostsHere: 1, limit: 8, demand: 60}, 0.8),
		Entry("by 6 hosts", limitedPlay{places: 3, hostsHere: 2, limit: 8, demand: 20}, 0.8),
		Entry("by 8 hosts", limitedPlay{places: 3, hostsHere: 3, limit: 33, demand: 20}, 0.8),
		Entry("by 8 hosts, little", limitedPlay{places: 3, hostsHere: 3, limit: 0.7, demand: 20}, 0.6),
		Entry("by 60 hosts", limitedPlay{places: 3, hostsHere: 20, limit: 18, demand: 2}, 0.6),
		Entry("by 300 hosts", limitedPlay{places: 5, hostsHere: 60, limit: 16, demand: 1}, 0.4),
		Entry("by 300 hosts, little", limitedPlay{places: 5, hostsHere: 60, limit: 2, demand: 5}, 0.5),
		Entry("by 300 hosts of which the far ones come at once", limitedPlay{places: 5, hostsHere: 60, limit: 16, demand: 20, idleUntil: 30 * time.Second}, 0.4),
		Entry("by hosts that do not know a tenth of the others", limitedPlay{places: 3, hostsHere: 20, limit: 18, demand: 5, lacking: 0.1}, 0.6),
	)

	// Guards against many hosts without a share that each saved up a request while they had
	// no callers.
	It("is kept by hosts that come back at the same time after an hour", func() {
		const hosts, limit = 1300, 16.0
		rng := newRand()
		sent := 0
		for rank := range hosts {
			p := notice.Position{Hosts: hosts, Group: hosts, Rank: rank}
			var t notice.Target
			t.Observe(at(0), at(0), notice.Said{Limit: limit, Limited: true}, func() notice.Position { return p }, rng)
			for now := at(time.Hour); now.Before(at(time.Hour + limitWindow)); now = now.Add(20 * time.Millisecond) {
				if t.Decide(now, drain, rng).Allowed {
					t.Sent(now)
					sent++
				}
			}
		}
		Expect(sent).To(BeNumerically("<=", int(limitExcess*limit*limitWindow.Seconds()+limitExtra)))
	})

	// Guards against hosts that never hear that the limit is no longer named.
	It("leaves each host a request now and then", func() {
		for rank := -1; rank < 60; rank++ {
			rate := notice.HostRate(16, notice.Position{Hosts: 300, Group: 60, Rank: rank, Local: true})
			Expect(rate).To(BeNumerically(">", 0))
			Expect(1/rate).To(BeNumerically("<", 600), "seconds")
		}
	})

	// Guards against values that no honest target names.
	DescribeTable("is a number that leaves a rate", func(limit float64) {
		for _, p := range []notice.Position{{}, alone(), {Hosts: 1300, Group: 60, Rank: 59, Local: true}, {Hosts: 1300, Group: 1240, Rank: -1}} {
			var t notice.Target
			t.Observe(at(0), at(0), notice.Said{Limit: limit, Limited: true}, func() notice.Position { return p }, newRand())
			Expect(t.HostRate()).To(BeNumerically(">", 0))
			Expect(t.HostRate()).To(BeNumerically("<=", max(limit, 1)))
			t.Sent(at(0))
			Expect(t.Decide(at(time.Second), drain, newRand()).Wait).To(BeNumerically(">=", 0))
		}
	},
		Entry("zero", 0.0), Entry("tiny", 1e-9), Entry("huge", 1e300), Entry("the largest", math.MaxFloat64),
	)

	// Guards against a target without hosts in its place that nobody sends to.
	It("is shared by all hosts if none is in the target's place", func() {
		hosts := []notice.Host{{Name: "a", Place: "p1"}, {Name: "b", Place: "p2"}}
		total := 0.0
		for _, h := range hosts {
			total += notice.HostRate(8, notice.PositionOf(h, hosts, "t", "p0"))
		}
		Expect(total).To(BeNumerically("~", 7.6, 0.1))
	})
})

// countBefore returns the number of times before the given one.
func countBefore(times []time.Duration, before time.Duration) int {
	n, _ := slices.BinarySearch(times, before)
	return n
}
