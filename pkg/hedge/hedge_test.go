package hedge_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/hedge"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

var rule = hedge.Rule{Quantile: 0.95, MinDelay: 2 * time.Millisecond}

var _ = Describe("Latencies", func() {
	// Guards against a hedge delay that is not the lower of the quantile and two
	// medians, because of a wrong bucket or rank.
	It("returns the lower of the exact quantile and two medians to within the width of a bucket", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := hedge.NewLatencies()
			var exact []time.Duration
			for range rapid.IntRange(100, 390).Draw(t, "samples") {
				took := time.Duration(rapid.IntRange(3000, 2000000).Draw(t, "us")) * time.Microsecond
				exact = append(exact, took)
				l.Observe("g", took)
			}
			slices.Sort(exact)
			want := exact[len(exact)-1-int((1-rule.Quantile)*float64(len(exact)))]
			want = min(want, 2*exact[len(exact)-1-int(0.5*float64(len(exact)))])
			got := l.Delay("g", rule, 1)
			if got < want || float64(got) > 1.13*float64(want) {
				t.Fatalf("delay %s, expected %s up to 13 %% more", got, want)
			}
		})
	})

	// Guards against a delay that stays long after latencies have recovered.
	It("discounts old samples and never returns less than the minimum delay", func() {
		l := hedge.NewLatencies()
		for range 2000 {
			l.Observe("g", 200*time.Millisecond)
		}
		for range 6000 {
			l.Observe("g", time.Millisecond)
		}
		Expect(l.Delay("g", rule, 1)).To(Equal(rule.MinDelay))
	})

	// Guards against a delay as long as the stragglers, because these are so many
	// that the quantile is one of them. At a full budget the rule gives two medians to
	// within the width of a bucket; the check allows four, and stragglers take twenty.
	It("returns at most four medians when one answer in ten is a straggler", func() {
		l := hedge.NewLatencies()
		for i := range 300 {
			took := 10 * time.Millisecond
			if i%10 == 0 {
				took = 200 * time.Millisecond
			}
			l.Observe("g", took)
		}
		Expect(l.Delay("g", rule, 1)).To(BeNumerically("<=", 40*time.Millisecond))
	})

	// Guards against the last tokens of a budget spent on ordinary sub-requests,
	// so that stragglers get no hedge.
	It("returns a longer delay when the budget is low", func() {
		l := hedge.NewLatencies()
		for i := range 300 {
			took := 10 * time.Millisecond
			if i%100 >= 96 {
				took = 25 * time.Millisecond
			}
			l.Observe("g", took)
		}
		Expect(l.Delay("g", rule, 0)).To(BeNumerically(">", l.Delay("g", rule, 1)))
	})

	// Guards against memory use above the limit at the largest supported number
	// of groups.
	It("holds 1,300 groups in less than 1 MB", func() {
		l := hedge.NewLatencies()
		before := heapBytes()
		for g := range 1300 {
			l.Observe(fmt.Sprint("group-", g), time.Millisecond)
		}
		Expect(heapBytes() - before).To(BeNumerically("<", 1<<20))
		Expect(l.Groups()).To(Equal(1300))
	})
})

var _ = Describe("Budget", func() {
	// Guards against tokens spent on hedges that never ran.
	It("gets back the token of an attempt that did not run", func() {
		b := hedge.NewBudget()
		for b.TryExtra(0.05) {
		}
		b.Refund()
		Expect(b.TryExtra(0.05)).To(BeTrue())
		Expect(b.TryExtra(0.05)).To(BeFalse())
	})

	// Guards against extra load above the ratio in any order of events.
	It("never grants more than the larger of the initial tokens and the ratio of completed requests", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := hedge.NewBudget()
			for range rapid.IntRange(0, 3000).Draw(t, "events") {
				if rapid.Bool().Draw(t, "extra") {
					b.TryExtra(0.05)
				} else {
					b.Completed(0.05, false)
				}
			}
			if extra, completed := b.Counts(); float64(extra) > max(10, 0.05*float64(completed))+1e-6 {
				t.Fatalf("%d extra for %d completed", extra, completed)
			}
		})
	})
})

var _ = Describe("Load", func() {
	now := time.Unix(1000, 0)
	feed := func(o outcome.Outcome, queued time.Duration) *hedge.Load {
		l := &hedge.Load{}
		for i := range 100 {
			l.Observe(now.Add(time.Duration(i)*time.Millisecond), o, queued, 8*time.Millisecond)
		}
		return l
	}
	// Guards against hedges that amplify an overload, and against a service at low
	// load that counts as overloaded.
	It("detects an overload by refusals and long queues, and its end", func() {
		end := now.Add(100 * time.Millisecond)
		Expect(feed(outcome.OK(), 4*time.Millisecond).Overloaded(end)).To(BeFalse())
		Expect(feed(outcome.OK(), 40*time.Millisecond).Overloaded(end)).To(BeTrue())
		refused := feed(outcome.Refused(outcome.Overload, "full"), 0)
		Expect(refused.Overloaded(end)).To(BeTrue())
		Expect(refused.Overloaded(end.Add(10 * time.Second))).To(BeFalse())
	})

	// Guards against retries without a token that multiply the messages when all
	// replicas refuse. During an overload, a refusal for load or a silent connection
	// makes the retry cost a token.
	It("allows a retry without a token once after a refusal or a silent connection, always after a refused index version, and never after a refusal for load or silence during an overload", func() {
		full := outcome.Refused(outcome.Overload, "full")
		Expect(hedge.RetryIsFree(full, 0, false)).To(BeTrue())
		Expect(hedge.RetryIsFree(full, 0, true)).To(BeFalse())
		Expect(hedge.RetryIsFree(full, 1, false)).To(BeFalse())
		Expect(hedge.RetryIsFree(outcome.Refused(outcome.VersionGone, "rolled on"), 1, true)).To(BeTrue())
		Expect(hedge.RetryIsFree(outcome.Uncertain(outcome.ConnLost, "lost"), 0, false)).To(BeFalse())
		silent := outcome.Uncertain(outcome.Silent, "no progress")
		Expect(hedge.RetryIsFree(silent, 0, false)).To(BeTrue())
		Expect(hedge.RetryIsFree(silent, 1, false)).To(BeFalse())
		Expect(hedge.RetryIsFree(silent, 0, true)).To(BeFalse())
		Expect(hedge.RetryIsFree(outcome.Refused(outcome.Draining, "leaving"), 0, true)).To(BeTrue())
	})
})

func BenchmarkDelay1300(b *testing.B) {
	l, rng := hedge.NewLatencies(), rand.New(rand.NewPCG(1, 2))
	ids := make([]string, 1300)
	for g := range ids {
		ids[g] = fmt.Sprint("group-", g)
		for range 100 {
			l.Observe(ids[g], time.Duration(1000+rng.IntN(20000))*time.Microsecond)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, id := range ids {
			l.Delay(id, rule, 1)
		}
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
