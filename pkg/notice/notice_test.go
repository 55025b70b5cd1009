package notice_test

import (
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/notice"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

// drain is how long a target that leaves may get requests.
const drain = 3 * time.Second

func at(d time.Duration) time.Time { return start.Add(d) }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// alone is the position of a host that shares limits with nobody.
func alone() notice.Position { return notice.Position{Hosts: 1, Group: 1, Local: true} }

var _ = Describe("Target", func() {
	// Guards against a limit that ends with an answer from before it was named.
	It("reports the start, change and end of a limit", func() {
		var t notice.Target
		rng := newRand()
		observe := func(now, sent time.Duration, limit float64) []notice.Change {
			return t.Observe(at(now), at(sent), notice.Said{Limit: limit, Limited: limit > 0}, alone, rng)
		}
		Expect(observe(0, -time.Second, 0)).To(BeEmpty())
		Expect(observe(1*time.Second, 0, 33)).To(Equal([]notice.Change{{Kind: notice.Limit, Value: 33}}))
		Expect(observe(2*time.Second, 0, 0)).To(BeEmpty(), "sent before the limit was named")
		Expect(observe(2*time.Second, 1500*time.Millisecond, 30)).To(Equal([]notice.Change{{Kind: notice.Limit, Value: 30, Before: 33}}))
		Expect(t.Limit()).To(Equal(30.0))
		Expect(observe(4*time.Second, 3*time.Second, 0)).To(Equal([]notice.Change{{Kind: notice.Limit, Before: 30}}))
		Expect(t.Limit()).To(BeZero())
		Expect(t.Decide(at(4*time.Second), drain, rng)).To(Equal(notice.Decision{Allowed: true}))
	})

	// Guards against requests to a target that has ended, whoever says that it is ready.
	It("that leaves gets only requests that no other takes, and none once it may end", func() {
		var t notice.Target
		rng := newRand()
		Expect(t.Observe(at(0), at(0), notice.Said{Leaving: true}, alone, rng)).To(Equal([]notice.Change{{Kind: notice.Leaving, Value: 1}}))
		Expect(t.Takes(at(0))).To(BeFalse())
		Expect(t.Decide(at(time.Second), drain, rng)).To(Equal(notice.Decision{Allowed: true, LastResort: true}))
		Expect(t.Observe(at(time.Second), at(time.Second), notice.Said{}, alone, rng)).To(BeEmpty(), "it does not come back")
		Expect(t.Observe(at(2*time.Second), at(time.Second), notice.Said{Leaving: true}, alone, rng)).To(BeEmpty())
		Expect(t.Decide(at(drain-time.Millisecond), drain, rng)).To(Equal(notice.Decision{}))
		Expect(t.Decide(at(time.Hour), drain, rng)).To(Equal(notice.Decision{}))
	})
})
