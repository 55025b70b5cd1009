package notice_test

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/notice"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var _ = Describe("Target", func() {
	// Guards against a limit that ends with an answer from before it was named.
	It("reports the start, change and end of a limit", func() {
		var t notice.Target
		Expect(t.Observe(at(0), at(-time.Second), notice.Said{})).To(BeEmpty())
		Expect(t.Observe(at(1*time.Second), at(0), notice.Said{Limit: 33})).To(Equal([]notice.Change{{Kind: notice.Limit, Value: 33}}))
		Expect(t.Observe(at(2*time.Second), at(0), notice.Said{})).To(BeEmpty(), "sent before the limit was named")
		Expect(t.Observe(at(2*time.Second), at(1500*time.Millisecond), notice.Said{Limit: 30})).To(Equal([]notice.Change{{Kind: notice.Limit, Value: 30, Before: 33}}))
		Expect(t.Limit()).To(Equal(30.0))
		Expect(t.Observe(at(4*time.Second), at(3*time.Second), notice.Said{})).To(Equal([]notice.Change{{Kind: notice.Limit, Before: 30}}))
		Expect(t.Limit()).To(BeZero())
	})
})
