package gather

import "time"

const (
	// linkMargin covers the round trip to the caller.
	linkMargin = 12 * time.Millisecond
	// shortObjectiveDivisor bounds linkMargin by a part of the objective, one fourth.
	shortObjectiveDivisor = 4
	// maxMarginDivisor bounds the whole margin by a part of the objective, one third: an
	// answer sent earlier would lack more parts than it gains in time.
	maxMarginDivisor = 3
	// riseGain and fallGain are the weights of one answer in the moving average of the
	// overrun. A late answer is worth almost nothing and one that lacks the slowest
	// parts nearly all, so the average rises faster than it falls.
	riseGain = 0.3
	fallGain = 0.05
	// maxOverrun bounds what one answer shows: a host that stood still for seconds is not
	// slow from then on.
	maxOverrun = 30 * time.Millisecond
	// inboundFactor adds to the overrun the same time for the request: a host that is
	// late to write an answer was as late to read the request, and the objective has run
	// since the caller sent it.
	inboundFactor = 2
)

// Margin learns how long before the end of the latency objective the answer to a fan-out
// has to be sent so that it arrives in time. A host with little processor time needs
// longer than a round trip. The zero value has learned nothing. Margin is not safe for
// concurrent use.
type Margin struct{ overrun time.Duration }

// Observe records the time from the moment at which an answer was due and could be sent
// until its last byte was written.
func (m *Margin) Observe(overrun time.Duration) {
	overrun = min(overrun, maxOverrun)
	gain := fallGain
	if overrun > m.overrun {
		gain = riseGain
	}
	m.overrun += time.Duration(gain * float64(overrun-m.overrun))
}

// Before returns how long before the end of a latency objective an answer is due.
func (m *Margin) Before(objective time.Duration) time.Duration {
	margin := min(linkMargin, objective/shortObjectiveDivisor) + inboundFactor*m.overrun
	return min(margin, objective/maxMarginDivisor)
}
