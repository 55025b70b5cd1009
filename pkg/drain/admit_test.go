package drain_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/drain"
)

var _ = Describe("Admission during a shutdown", func() {
	const ttl, requestGrace = 3500 * time.Millisecond, 2100 * time.Millisecond
	start := time.Unix(1000, 0)
	stopping := func() *drain.Shutdown {
		var s drain.Shutdown
		s.Begin(start, ttl, requestGrace)
		return &s
	}

	// Guards against a host that refuses requests although it is not shutting down.
	It("admits every request before the shutdown", func() {
		var s drain.Shutdown
		Expect(s.Admits(start, drain.Request{Limit: time.Hour, Objective: time.Minute})).To(BeTrue())
	})

	// Guards against requests that were passed on after the signal and lost their answers
	// when the process ended.
	It("admits a request that may run once only with its whole time limit left", func() {
		once := drain.Request{Limit: 4 * time.Second, Objective: 600 * time.Millisecond}
		Expect(stopping().Admits(start, once)).To(BeTrue())
		Expect(stopping().Admits(start.Add(1600*time.Millisecond), once)).To(BeTrue())
		Expect(stopping().Admits(start.Add(1601*time.Millisecond), once)).To(BeFalse())
		Expect(stopping().Admits(start.Add(3100*time.Millisecond), once)).To(BeFalse())
	})

	// Guards against callers that no host takes while all stop, although their requests end
	// in a fraction of the time left.
	It("admits a request that may run once if requests like it usually end well within the time left", func() {
		once := drain.Request{Limit: 4 * time.Second, Objective: 600 * time.Millisecond, Usual: 500 * time.Millisecond}
		Expect(stopping().Admits(start.Add(4600*time.Millisecond), once)).To(BeTrue())
		Expect(stopping().Admits(start.Add(4601*time.Millisecond), once)).To(BeFalse())
		once.Usual = 3 * time.Second
		Expect(stopping().Admits(start.Add(1600*time.Millisecond), once)).To(BeTrue(), "its whole limit is left")
		Expect(stopping().Admits(start.Add(1601*time.Millisecond), once)).To(BeFalse())
	})

	// Guards against callers that are sent to another host although this one could answer.
	It("admits a request that may be repeated while its objective can be met", func() {
		repeatable := drain.Request{Limit: 4 * time.Second, Objective: 600 * time.Millisecond, Repeatable: true}
		Expect(stopping().Admits(start.Add(5*time.Second), repeatable)).To(BeTrue())
		Expect(stopping().Admits(start.Add(5001*time.Millisecond), repeatable)).To(BeFalse())
		short := drain.Request{Limit: 100 * time.Millisecond, Objective: 600 * time.Millisecond, Repeatable: true}
		Expect(stopping().Admits(start.Add(5500*time.Millisecond), short)).To(BeTrue())
	})

	It("admits nothing after the grace period", func() {
		Expect(stopping().Admits(start.Add(ttl+requestGrace), drain.Request{Repeatable: true})).To(BeFalse())
	})

	// Guards against a rule that admits a request whose end lies behind the grace period,
	// whatever the order of limits, objectives and times.
	It("never lets a request that may run once outlast the grace period if its usual time is not known", func() {
		rng := rand.New(rand.NewPCG(1, 2))
		admitted := 0
		for range 10000 {
			var s drain.Shutdown
			leave, grace := time.Duration(rng.Int64N(int64(10*time.Second))), time.Duration(rng.Int64N(int64(10*time.Second)))
			s.Begin(start, leave, grace)
			read := start.Add(time.Duration(rng.Int64N(int64(20 * time.Second))))
			r := drain.Request{Limit: time.Duration(rng.Int64N(int64(10 * time.Second))), Objective: time.Duration(rng.Int64N(int64(time.Second)))}
			if s.Admits(read, r) {
				admitted++
				Expect(read.Add(r.Limit)).NotTo(BeTemporally(">", start.Add(leave+grace)), func() string { return fmt.Sprintf("%+v read at %v", r, read.Sub(start)) })
			}
		}
		Expect(admitted).To(BeNumerically(">", 1000))
	})
})
