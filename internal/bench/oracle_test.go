package bench

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("oracle", func() {
	// Guards against a reference latency that ignores busy slots or uses a slower replica.
	It("uses the replica that completes first, including the wait for its slot", func() {
		const ms = time.Millisecond
		a := &replica{id: "a", oracleSlots: make(slotTimes, 1), queueSlots: make(slotTimes, 1)}
		b := &replica{id: "b", oracleSlots: make(slotTimes, 1), queueSlots: make(slotTimes, 1)}
		both := []*replica{a, b}
		Expect(runOnFastestReplica(both, []time.Duration{10 * ms, 30 * ms}, 0)).To(Equal(10 * ms)) // a until 10
		// At 4 a is busy until 10 and would end at 15; b ends at 24.
		Expect(runOnFastestReplica(both, []time.Duration{5 * ms, 20 * ms}, 4*ms)).To(Equal(11 * ms)) // a until 15
		// At 5 a would end at 35; b ends at 25.
		Expect(runOnFastestReplica(both, []time.Duration{20 * ms, 20 * ms}, 5*ms)).To(Equal(20 * ms)) // b until 25
		Expect(a.oracleSlots[0]).To(Equal(15 * ms))
		Expect(b.oracleSlots[0]).To(Equal(25 * ms))
	})

	// Guards against a queueing model that chooses a slot by its service time, or the slot
	// of a stuck replica.
	It("queues for the slot that becomes free first, whatever its service time", func() {
		const ms = time.Millisecond
		replicas := []*replica{{queueSlots: make(slotTimes, 1)}, {queueSlots: make(slotTimes, 1)}, {queueSlots: make(slotTimes, 1)}}
		queue := func(r *replica) slotTimes { return r.queueSlots }
		Expect(runInEarliestSlot(replicas, queue, []time.Duration{stuckServiceTime, 30 * ms, 10 * ms}, 0)).To(Equal(30 * ms))
		Expect(runInEarliestSlot(replicas, queue, []time.Duration{stuckServiceTime, 5 * ms, 40 * ms}, 0)).To(Equal(40 * ms))
		// At 20 the second is free at 30 and the third at 40.
		Expect(runInEarliestSlot(replicas, queue, []time.Duration{stuckServiceTime, 50 * ms, 1 * ms}, 20*ms)).To(Equal(60 * ms))
	})
})
