package gather_test

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/gather"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("TopRecords", func() {
	// Guards against lost or duplicate records with equal records and with parts whose
	// length is no multiple of the record size.
	It("equals sorting all records", func() {
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 2))
			var parts [][]byte
			var all [][]byte
			for range rng.IntN(6) {
				part := make([]byte, rng.IntN(200))
				for i := range part {
					part[i] = byte(rng.IntN(3))
				}
				parts = append(parts, part)
				for r := part; len(r) >= gather.RecordBytes; r = r[gather.RecordBytes:] {
					all = append(all, r[:gather.RecordBytes])
				}
			}
			slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
			limit := rng.IntN(12)
			want := bytes.Join(all[:min(limit, len(all))], nil)
			Expect(gather.TopRecords(parts, limit)).To(BeEquivalentTo(append([]byte{}, want...)), "seed %d", seed)
		}
	})
})

var _ = Describe("Compact", func() {
	// Guards against a record that is lost or cut where a long part was shortened.
	It("leaves the greatest records of a part unchanged wherever the part is compacted", func() {
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 5))
			part := make([]byte, rng.IntN(2000))
			for i := range part {
				part[i] = byte(rng.IntN(256))
			}
			limit := rng.IntN(12)
			var read []byte
			for rest := part; len(rest) > 0; {
				n := 1 + rng.IntN(len(rest))
				read, rest = append(read, rest[:n]...), rest[n:]
				read = append(read[:0], gather.Compact(read, limit)...)
				Expect(len(read)).To(BeNumerically("<", (limit+1)*gather.RecordBytes))
			}
			Expect(gather.TopRecords([][]byte{read}, limit)).To(BeEquivalentTo(gather.TopRecords([][]byte{part}, limit)), "seed %d", seed)
		}
	})
})

var _ = Describe("Decide", func() {
	answerBy := time.Unix(1000, 0)
	early, late := answerBy.Add(-time.Millisecond), answerBy

	// Guards against an answer that lacks a part although there is time to wait for it,
	// and against a fan-out that waits for parts which can no longer arrive.
	DescribeTable("waits for all parts until answerBy and then only for the required ones",
		func(received, outstanding int, now time.Time, want gather.Decision) {
			Expect(gather.Decide(gather.Progress{Shards: 10, Received: received, Outstanding: outstanding, MinRatio: 0.9}, now, answerBy)).To(Equal(want))
		},
		Entry("all parts", 10, 0, early, gather.Answer),
		Entry("one outstanding", 9, 1, early, gather.Wait),
		Entry("one outstanding, at answerBy", 9, 1, late, gather.Answer),
		Entry("too few received, at answerBy", 8, 2, late, gather.Wait),
		Entry("one lost, the rest received", 9, 0, early, gather.Answer),
		Entry("two lost", 8, 0, early, gather.GiveUp),
		Entry("two lost, others outstanding", 1, 7, early, gather.GiveUp),
	)

	// Guards against an empty answer that is reported as a success.
	It("requires at least one part even if the route requires none", func() {
		Expect(gather.Decide(gather.Progress{Shards: 3, Outstanding: 0}, late, answerBy)).To(Equal(gather.GiveUp))
	})

	// Guards against a ratio such as 0.9 of 10 shards whose product is rounded up.
	It("is not affected by the rounding of a ratio of whole shards", func() {
		for shards := 1; shards <= 60; shards++ {
			for required := 1; required <= shards; required++ {
				p := gather.Progress{Shards: shards, Received: required, Outstanding: shards - required, MinRatio: float64(required) / float64(shards)}
				Expect(gather.Decide(p, late, answerBy)).To(Equal(gather.Answer))
				p.Received, p.Outstanding = required-1, 0
				Expect(gather.Decide(p, late, answerBy)).To(Equal(gather.GiveUp))
			}
		}
	})
})

var _ = Describe("Admit", func() {
	p := gather.Progress{Shards: 15, MinRatio: 0.89} // 14 shards are required

	// Guards against a fan-out that is sent although it cannot get enough parts, and
	// against a refusal of one that can.
	DescribeTable("accepts a fan-out if enough shards take a request at once",
		func(p gather.Progress, reachable, free int, want gather.Admission) {
			Expect(gather.Admit(p, reachable, free)).To(Equal(want))
		},
		Entry("all", p, 15, 15, gather.Accept),
		Entry("as many as required", p, 15, 14, gather.Accept),
		Entry("one too few takes a request", p, 15, 13, gather.Overloaded),
		Entry("one too few is reachable", p, 13, 13, gather.Unreachable),
		Entry("a single request, which may wait", gather.Progress{Shards: 1, MinRatio: 1}, 1, 0, gather.Accept),
		Entry("a single request without a target", gather.Progress{Shards: 1, MinRatio: 1}, 0, 0, gather.Unreachable),
	)
})
