package admission

import "time"

const (
	// sampleWindow is the shortest time between two adjustments of the limit, and
	// minSamples the number of ended sends below which it is extended, up to
	// maxSampleWindow. A burst must be noticed within a few objectives of 60 to 150 ms.
	sampleWindow    = 25 * time.Millisecond
	maxSampleWindow = 500 * time.Millisecond
	minSamples      = 20
	// delayedFraction is the fraction of sends that must be delayed before the limit acts.
	// Where 35 % of the targets are slow or 40 % have crashed, most sends are still as fast
	// as usual and fewer requests would not help.
	delayedFraction = 0.5
	// delayedWindows is the number of windows in a row with delayed sends after which the
	// limit comes into force. A pause of the process delays all sends of one window.
	delayedWindows = 2
	// lateFraction is the fraction of the requests of a priority that must be late instead, and
	// minRequests the number of requests below which it says nothing. If some shards lack
	// capacity, most sends are fast and most fan-outs late; urgent requests with a short
	// objective are late while the sends of most others are not delayed.
	lateFraction = 0.2
	minRequests  = 4
	// delayDivisor divides the shortest objective in use into the delay from which a send
	// counts as delayed. The slowest of the 36 sends of an urgent fan-out with an objective of
	// 60 ms is delayed several times as long as most.
	delayDivisor = 8
	// entryFactor multiplies the tolerated delay until the limit is in force. Bursts of three
	// times the load delay most sends for some tens of milliseconds without a late request.
	entryFactor = 3
	// growth is the growth of a limit that is reached in a window without delays, and
	// fastGrowth that after calmTime without any, so that a low limit does not outlast a burst.
	// shrink is the least reduction by a window with delays.
	growth     = 1.03
	fastGrowth = 1.25
	calmTime   = time.Second
	shrink     = 0.8
	// releaseTime is the time without delays and without reaching the limit after which the
	// limit is no longer in force.
	releaseTime = time.Second
	// rateWindows is the number of windows of which the highest rate counts. A window with a
	// pause has a low rate.
	rateWindows = 4
	// floorRequests is the least limit in the largest requests: one that waits for its last
	// parts must not keep the host from starting the next one.
	floorRequests = 2
)

// limiter learns how many sends a host may have in progress. By Little's law, sends that are
// answered at a rate R and take the time T on average are R×T in progress: with T the calm
// time plus the tolerated delay, more in progress would only wait longer.
type limiter struct {
	size    float64 // sends; 0 before it was in force
	inForce bool

	start       time.Time // of the window
	samples     int
	delayed     int
	answered    int
	manyLate    bool          // the requests of some priority were late in this window
	calmTime    time.Duration // sum of the calm times of the samples
	reached     bool          // the limit kept a request from running in this window
	lastReached time.Time
	evident     int // windows in a row with delayed sends
	rates       [rateWindows]float64
	next        int       // index in rates
	lastDelay   time.Time // the last window with delays
	lastCause   time.Time // the last window with delays or a limit that was reached
}

// observe records a send that was answered, or that was not within the objective.
func (l *limiter) observe(calm time.Duration, answered, delayed bool) {
	l.samples++
	l.calmTime += calm
	if answered {
		l.answered++
	}
	if delayed {
		l.delayed++
	}
}

// due reports whether the window ends.
func (l *limiter) due(now time.Time) bool {
	if l.start.IsZero() {
		l.start = now
	}
	length := now.Sub(l.start)
	return length >= sampleWindow && l.samples >= minSamples || length >= maxSampleWindow
}

// adjust ends a window. floor is the least limit and delay the tolerated delay of a send. It
// reports whether sends are slow at the least limit.
func (l *limiter) adjust(now time.Time, floor float64, delay time.Duration) (slowAtFloor bool) {
	l.rates[l.next] = float64(l.answered) / now.Sub(l.start).Seconds()
	l.next = (l.next + 1) % rateWindows
	mostDelayed := l.samples >= minSamples && float64(l.delayed) > delayedFraction*float64(l.samples)
	if l.samples > 0 && (mostDelayed || l.manyLate) {
		l.evident++
	} else {
		l.evident = 0
	}
	switch {
	case l.evident >= delayedWindows, l.evident > 0 && l.inForce:
		calm := l.calmTime / time.Duration(l.samples)
		useful := l.rate() * (calm + delay).Seconds()
		if l.inForce {
			useful = min(useful, shrink*l.size)
		}
		slowAtFloor = l.inForce && l.size <= floor
		l.size, l.inForce, l.lastCause = max(floor, useful), true, now
		l.lastDelay = now
	case l.inForce && l.reached:
		factor := growth
		if now.Sub(l.lastDelay) > calmTime {
			factor = fastGrowth
		}
		l.size, l.lastCause = max(floor, l.size*factor), now
	case l.inForce && now.Sub(l.lastCause) >= releaseTime:
		l.inForce = false
	}
	l.start, l.samples, l.delayed, l.answered, l.calmTime, l.reached, l.manyLate = now, 0, 0, 0, 0, false, false
	return slowAtFloor
}

// rate returns the number of sends that are answered per second.
func (l *limiter) rate() float64 {
	highest := 0.0
	for _, r := range l.rates {
		highest = max(highest, r)
	}
	return highest
}
