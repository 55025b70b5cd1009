package admission_test

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/admission"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Queue", func() {
	var q *admission.Queue
	var now time.Time
	var running []*admission.Ticket
	offer := func(priority int, tenant string, sends int) (*admission.Ticket, admission.Decision) {
		t := &admission.Ticket{Request: admission.Request{
			Class: string(rune('a' + priority)), Priority: priority, Tenant: tenant, Sends: sends,
			Received: now, Objective: 200 * time.Millisecond, AnswerBy: now.Add(180 * time.Millisecond),
		}}
		return t, q.Offer(now, t)
	}
	// Brings the limit into force: sends of 5 ms take 90 ms in more than two windows.
	BeforeEach(func() {
		q, now, running = admission.NewQueue(), time.Unix(1000, 0), nil
		for _, took := range []time.Duration{5, 5, 5, 5, 5, 5, 5, 5, 90, 90, 90, 90} {
			var tickets []*admission.Ticket
			for range 4 {
				t, d := offer(1, "", 40)
				Expect(d).To(Equal(admission.Run))
				tickets = append(tickets, t)
			}
			now = now.Add(took * time.Millisecond)
			for _, t := range tickets {
				for range 40 {
					q.Part(now, t)
				}
				q.Done(now, t, true)
			}
			if q.InForce() {
				break
			}
		}
		Expect(q.InForce()).To(BeTrue())
		for range 20 {
			if t, d := offer(1, "big", 40); d == admission.Run {
				running = append(running, t)
			} else if d == admission.Wait {
				q.Withdraw(now, t)
			}
		}
	})
	verdicts := func() (run []*admission.Ticket) {
		for _, v := range q.Next(now) {
			if v.Decision == admission.Run {
				run = append(run, v.Ticket)
			}
		}
		return run
	}

	// Guards against a sweep that keeps an urgent request waiting.
	It("runs an urgent request at once while less urgent ones fill the limit", func() {
		Expect(running).NotTo(BeEmpty())
		_, d := offer(0, "", 40)
		Expect(d).To(Equal(admission.Run))
	})

	// Guards against urgent requests that a limit on them refuses while sweeps cause the
	// overload: 885 of 1,947 in a burst on hosts of 0.8 core.
	It("runs urgent requests that would fit without the others, however many start at a time", func() {
		for range 6 {
			_, d := offer(0, "", 40)
			Expect(d).To(Equal(admission.Run))
		}
	})

	// Guards against a priority that gets nothing while a more urgent one fills the limit.
	It("runs one request of a less urgent kind at any time", func() {
		_, d := offer(3, "", 1)
		Expect(d).To(Equal(admission.Run))
	})

	// Guards against a tenant with many requests that takes the capacity of others.
	It("gives the next capacity to the tenant that used less", func() {
		_, d := offer(1, "big", 40)
		Expect(d).To(Equal(admission.Wait))
		small, d := offer(1, "small", 40)
		Expect(d).To(Equal(admission.Wait))
		now = now.Add(time.Millisecond)
		q.Done(now, running[0], true)
		Expect(verdicts()).To(Equal([]*admission.Ticket{small}))
	})

	// Guards against a request that is held until it can no longer be in time.
	It("refuses a waiting request that can no longer be in time", func() {
		t, d := offer(1, "small", 40)
		Expect(d).To(Equal(admission.Wait))
		Expect(t.Latest).NotTo(BeTemporally(">", now.Add(50*time.Millisecond)))
		now = t.Latest.Add(time.Millisecond)
		Expect(q.Next(now)).To(ContainElement(admission.Verdict{Ticket: t, Decision: admission.Refuse}))
	})

	// Guards against a limit that stays in force after the overload.
	It("has no limit a second after the last delay", func() {
		for _, t := range running {
			q.Done(now, t, true)
		}
		for range 30 {
			now = now.Add(60 * time.Millisecond)
			t, _ := offer(1, "", 1)
			now = now.Add(5 * time.Millisecond)
			q.Part(now, t)
			q.Done(now, t, true)
		}
		Expect(q.InForce()).To(BeFalse())
		Expect(q.Report().InProgress).To(BeZero())
	})
})
