package limit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/limit"
)

var (
	start = time.Unix(1000, 0)
	far   = start.Add(time.Hour)
)

var _ = Describe("Limiter", func() {
	// Guards against a request of a high class that waits behind requests of
	// lower classes or is refused while those are queued.
	It("serves the highest class first and evicts the lowest when full", func() {
		l := limit.NewLimiter[string](0, 2)
		_, err := l.Offer(start, "batch1", limit.Batch, far)
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Offer(start, "batch2", limit.Batch, far)
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Offer(start, "batch3", limit.Batch, far)
		Expect(err).To(MatchError(limit.ErrFull))
		evicted, err := l.Offer(start, "critical", limit.Critical, far)
		Expect(err).NotTo(HaveOccurred())
		Expect(*evicted).To(Equal("batch2"))
		l.Resize(1)
		item, _, ok := l.Next(start)
		Expect(ok).To(BeTrue())
		Expect(item).To(Equal("critical"))
		_, _, ok = l.Next(start)
		Expect(ok).To(BeFalse(), "the only slot is in use")
	})

	// Guards against requests that take a slot although their answer would come
	// after the deadline.
	It("refuses a deadline earlier than the expected wait plus service time", func() {
		l := limit.NewLimiter[int](1, 10)
		l.ObserveServiceTime(start, 10*time.Millisecond)
		offer := func(item int, within time.Duration) error {
			_, err := l.Offer(start, item, limit.Interactive, start.Add(within))
			return err
		}
		Expect(offer(1, 9*time.Millisecond)).To(MatchError(limit.ErrTooLate))
		Expect(offer(1, 10*time.Millisecond)).To(Succeed())
		l.Next(start)
		Expect(offer(2, 19*time.Millisecond)).To(MatchError(limit.ErrTooLate))
		Expect(offer(2, 20*time.Millisecond)).To(Succeed())
		l.Release()
		item, expired, ok := l.Next(start.Add(15 * time.Millisecond))
		Expect([]any{item, expired, ok}).To(Equal([]any{2, true, true}))
		Expect(l.InUse()).To(BeZero())
	})

	// Guards against a high estimate that refuses every request for good, since
	// without requests no answer corrects it.
	It("discards an estimated service time after a second without an answer", func() {
		l := limit.NewLimiter[int](1, 10)
		l.ObserveServiceTime(start, time.Second)
		_, err := l.Offer(start, 1, limit.Interactive, start.Add(200*time.Millisecond))
		Expect(err).To(MatchError(limit.ErrTooLate))
		later := start.Add(1100 * time.Millisecond)
		_, err = l.Offer(later, 1, limit.Interactive, later.Add(200*time.Millisecond))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against lost or duplicated requests and against more slots in use
	// than exist, after any sequence of calls.
	It("returns each request once and never assigns more slots than it has", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := limit.NewLimiter[int](2, 5)
			waiting, next, slots := map[int]bool{}, 0, 2
			for range rapid.IntRange(1, 60).Draw(t, "calls") {
				switch rapid.IntRange(0, 4).Draw(t, "call") {
				case 0, 1:
					next++
					evicted, err := l.Offer(start, next, limit.Class(rapid.IntRange(0, 2).Draw(t, "class")), far)
					if err == nil {
						waiting[next] = true
					}
					if evicted != nil {
						delete(waiting, *evicted)
					}
				case 2:
					used := l.InUse()
					if item, _, ok := l.Next(start); ok {
						if !waiting[item] || used >= slots {
							t.Fatalf("Next returned request %d: waiting %v, %d of %d slots in use", item, waiting[item], used, slots)
						}
						delete(waiting, item)
					}
				case 3:
					if l.InUse() > 0 {
						l.Release()
					}
				case 4:
					canceled := rapid.IntRange(0, next).Draw(t, "canceled")
					if removed := l.Remove(func(i int) bool { return i == canceled }); removed != waiting[canceled] {
						t.Fatalf("Remove(%d) reported %v, waiting %v", canceled, removed, waiting[canceled])
					}
					delete(waiting, canceled)
				}
				if l.Waiting() != len(waiting) {
					t.Fatalf("%d requests wait, %d expected", l.Waiting(), len(waiting))
				}
			}
			if left := l.Drain(); len(left) != len(waiting) {
				t.Fatalf("Drain returned %d requests, %d expected", len(left), len(waiting))
			}
		})
	})
})

func BenchmarkLimiter(b *testing.B) {
	l := limit.NewLimiter[int](2, 64)
	l.ObserveServiceTime(start, time.Millisecond)
	for i := 0; b.Loop(); i++ {
		_, _ = l.Offer(start, i, limit.Class(i%3), far)
		l.Next(start)
		l.ObserveServiceTime(start, time.Millisecond)
		l.Release()
	}
}

func BenchmarkAdmission(b *testing.B) {
	a := limit.NewAdmission()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Millisecond)
		a.Start(now, limit.Interactive)
		a.Done(now, &limit.Sample{Took: 10 * time.Millisecond})
	}
}

var _ = Describe("Admission", func() {
	const service = 40 * time.Millisecond
	// limitAfter returns the limit after a number of windows of queries that all
	// end with the same sample.
	limitAfter := func(windows int, s limit.Sample) int {
		a := limit.NewAdmission()
		for i := range windows * 20 {
			now := start.Add(time.Duration(i) * 5 * time.Millisecond)
			a.Start(now, limit.Interactive)
			a.Done(now, &s)
		}
		return a.Limit()
	}

	// Guards against refusals at 60 % of capacity, where requests to an owner with
	// one slot wait for 0.8 service times on average (Pollaczek-Khinchine).
	It("does not fall below its initial limit while sub-requests wait as long as at 60 % load of one slot", func() {
		calm := limit.Sample{Took: service * 9 / 5, Waited: service * 4 / 5, Served: service}
		Expect(limitAfter(30, calm)).To(BeNumerically(">=", limit.NewAdmission().Limit()))
	})

	// Guards against a limit that falls too slowly, so that too many queries are admitted
	// during the first seconds of an overload.
	It("lowers its limit below 8 within 600 ms of an overload", func() {
		Expect(limitAfter(6, limit.Sample{Took: 3 * service, Waited: 2 * service, Served: service})).To(BeNumerically("<", 8))
	})
})
