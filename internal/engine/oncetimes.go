package engine

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/hedge"
)

// usualQuantile is the quantile of the times of sends that is taken for nearly all of them.
const usualQuantile = 0.99

// onceTimes holds how long the sends of a route whose requests may run once take, to tell
// whether one that is read during a shutdown can end in time. The engine's lock guards it.
type onceTimes struct {
	ends *hedge.Latencies         // of sends that may have run, also those without an answer
	open map[*execution]time.Time // start of the send in progress
}

func newOnceTimes() *onceTimes {
	return &onceTimes{ends: hedge.NewLatencies(), open: map[*execution]time.Time{}}
}

func (o *onceTimes) sent(x *execution, now time.Time) { o.open[x] = now }

// ended records the end of a send. One that did not run tells nothing about the time.
func (o *onceTimes) ended(x *execution, took time.Duration, ran bool) {
	delete(o.open, x)
	if ran {
		o.ends.Observe("", took)
	}
}

// usual returns within which time nearly all sends ended lately, or 0 if there were too few to
// tell. It is not less than the time that a send in progress has taken: targets that have just
// turned slow show there first.
func (o *onceTimes) usual(now time.Time) time.Duration {
	usual := o.ends.Usual(usualQuantile)
	if usual == 0 {
		return 0
	}
	for _, began := range o.open {
		usual = max(usual, now.Sub(began))
	}
	return usual
}
