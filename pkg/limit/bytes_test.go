package limit_test

import (
	"math/rand/v2"

	"github.com/lacewingyard/lacewingyard/pkg/limit"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Bytes", func() {
	const kb, mb = 1 << 10, 1 << 20

	// Guards against targets that send without end and take the memory in which other
	// answers are read.
	It("lets every answer of the usual size through while others never end", func() {
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 3))
			const total = 20 * mb
			b := limit.NewBytes(total)
			type endless struct {
				hold    *limit.Hold
				size    int64
				givenUp bool
			}
			var streams []*endless
			start := func() *endless {
				s := &endless{}
				s.hold = b.Open(func() { s.givenUp = true })
				return s
			}
			for range 135 {
				streams = append(streams, start())
			}
			for range 2000 {
				for i, s := range streams {
					if s.givenUp {
						streams[i] = start()
						continue
					}
					if rng.IntN(4) == 0 && s.size < 8*mb {
						size := max(64*kb, 2*s.size)
						if b.Grow(s.hold, size) {
							s.size = size
						} else {
							b.Release(s.hold)
							streams[i] = start()
						}
					}
				}
				good := b.Open(func() { Fail("an answer of the usual size was given up") })
				Expect(b.Grow(good, 100*kb)).To(BeTrue(), "seed %d", seed)
				b.Complete(good)
				Expect(b.Used()).To(BeNumerically("<=", total))
				b.Release(good)
			}
			for _, s := range streams {
				b.Release(s.hold)
			}
			Expect(b.Used()).To(BeZero(), "seed %d: all room is free again", seed)
		}
	})

	// Guards against an answer that is taken away while it is delivered to its caller.
	It("never gives up an answer that has been read completely", func() {
		b := limit.NewBytes(2 * mb)
		complete := b.Open(func() { Fail("a complete answer was given up") })
		Expect(b.Grow(complete, 2*mb)).To(BeTrue())
		b.Complete(complete)
		other := b.Open(func() {})
		Expect(b.Grow(other, kb)).To(BeFalse())
		b.Release(complete)
		Expect(b.Grow(other, kb)).To(BeTrue())
	})

	// Guards against a second release that frees the room of another answer.
	It("frees the room of an answer once", func() {
		b := limit.NewBytes(2 * mb)
		first, second := b.Open(func() {}), b.Open(func() {})
		Expect(b.Grow(first, mb)).To(BeTrue())
		Expect(b.Grow(second, mb)).To(BeTrue())
		b.Release(first)
		b.Release(first)
		Expect(b.Used()).To(BeEquivalentTo(mb))
		Expect(b.Grow(first, mb)).To(BeFalse(), "it was released")
	})
})
