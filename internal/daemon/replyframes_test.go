package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// TestReplyFrames guards against one frame per answer, which costs 0.3 ms of processor time per query,
// and against answers and refusals that are delayed by a straggler.
func TestReplyFrames(t *testing.T) {
	answer := wire.PartResult{Outcome: outcome.OK()}
	refusal := wire.PartResult{Outcome: outcome.Refused(outcome.Busy, "")}
	canceled := wire.PartResult{Outcome: outcome.Uncertain(outcome.Canceled, "")}
	for _, c := range []struct {
		name   string
		ready  []wire.PartResult // results added at the same time, of three parts
		waited time.Duration
		final  bool
	}{
		{"all answers share a frame at once", []wire.PartResult{answer, answer, answer}, 0, true},
		{"answers do not wait for a straggler", []wire.PartResult{answer, answer}, frameWait, false},
		{"a refusal goes out at once", []wire.PartResult{answer, refusal}, 0, false},
		{"a canceled part is not urgent", []wire.PartResult{canceled}, frameWait, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newReplyFrames(3)
				defer f.stop()
				for range 4 / (1 + len(c.ready)) { // a second frame waits as long as the first
					start := time.Now()
					for _, r := range c.ready {
						f.add(r)
					}
					frame, final := f.next()
					g.Expect(time.Since(start)).To(Equal(c.waited))
					g.Expect(frame).To(HaveLen(len(c.ready)))
					g.Expect(final).To(Equal(c.final))
				}
			})
		})
	}
}
