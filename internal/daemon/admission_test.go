package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

var _ = Describe("admission", func() {
	// Guards against an admission limit that stays high in an overload in which parts
	// are refused as busy, sent again and still queued when the query ends. The
	// initial limit is 64.
	It("lowers the limit when parts stay queued after a refusal as busy", func() {
		a := newAdmission()
		for range 30 {
			q, _ := a.admit("tagdesk", settings.Critical, 250*time.Millisecond)
			for range 10 {
				q.recordPart(outcome.Refused(outcome.Busy, "busy"), 0, 0)
			}
			for range 8 {
				q.recordPart(outcome.OK(), 0, 20*time.Millisecond)
			}
			q.recordUnfinished(0)
			q.recordUnfinished(0)
			time.Sleep(10 * time.Millisecond)
			q.end(false)
		}
		limits := 0
		a.forEach(func(_ string, limit, _ int) { limits = limit })
		Expect(limits).To(BeNumerically("<", 64))
	})

	// Guards against the refusal of whole queries because one group is slow and its
	// part of every query waits until the deadline.
	It("keeps the limit when the parts of only one group wait long", func() {
		a := newAdmission()
		for range 30 {
			q, _ := a.admit("tagdesk", settings.Critical, 250*time.Millisecond)
			for range 9 {
				q.recordPart(outcome.OK(), 0, 20*time.Millisecond)
			}
			q.recordUnfinished(600 * time.Millisecond)
			time.Sleep(10 * time.Millisecond)
			q.end(false)
		}
		a.forEach(func(_ string, limit, _ int) { Expect(limit).To(BeNumerically(">=", 64)) })
	})
})
