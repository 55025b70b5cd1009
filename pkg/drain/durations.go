package drain

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/hedge"
)

// usualQuantile is the quantile of the times of sends that is taken for nearly all of them.
const usualQuantile = 0.99

// Durations holds how long the sends of requests that may run once take, to tell whether a
// request like them that is read during a shutdown can end in time (Request.Usual). Key
// identifies a send in progress. It is not safe for concurrent use.
type Durations[Key comparable] struct {
	ends *hedge.Latencies  // of sends that may have run, also those without an answer
	open map[Key]time.Time // start of each send in progress
}

// NewDurations returns Durations without sends.
func NewDurations[Key comparable]() *Durations[Key] {
	return &Durations[Key]{ends: hedge.NewLatencies(), open: map[Key]time.Time{}}
}

// Sent records the start of a send.
func (d *Durations[Key]) Sent(send Key, now time.Time) { d.open[send] = now }

// Ended records the end of a send. One that did not run tells nothing about the time.
func (d *Durations[Key]) Ended(send Key, took time.Duration, ran bool) {
	delete(d.open, send)
	if ran {
		d.ends.Observe("", took)
	}
}

// Usual returns within which time nearly all sends ended lately, or 0 if there were too few to
// tell. It is not less than the time that a send in progress has taken: targets that have just
// turned slow show there first.
func (d *Durations[Key]) Usual(now time.Time) time.Duration {
	usual := d.ends.Usual(usualQuantile)
	if usual == 0 {
		return 0
	}
	for _, began := range d.open {
		usual = max(usual, now.Sub(began))
	}
	return usual
}
