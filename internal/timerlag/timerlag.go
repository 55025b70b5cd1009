// Package timerlag measures the delay with which timers fire, as an indicator of
// scheduling delay. On a machine that does not schedule its processes in time,
// measured latencies describe the machine and not the program.
//
// The package owns the histogram of a Meter and the goroutine that fills it. It does
// not decide what happens to an invalid measurement. A Meter is safe for concurrent
// use.
package timerlag

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Limit is the p99 of the timer delay above which a measurement is invalid. It
	// is 5 % of an answer that takes 200 ms.
	Limit    = 10 * time.Millisecond
	interval = 5 * time.Millisecond
	maxDelay = time.Minute // upper bound of the histogram
)

// Meter records timer delays until Stop is called; Start returns one. Its methods
// are safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	delays *hdrhistogram.Histogram // in microseconds

	stop chan struct{}
	done chan struct{} // closed when run has returned
}

// Start returns a meter that is measuring.
func Start() *Meter {
	m := &Meter{stop: make(chan struct{}), done: make(chan struct{})}
	m.Reset()
	go m.run()
	return m
}

func (m *Meter) run() {
	defer close(m.done)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		due := time.Now().Add(interval)
		timer.Reset(interval)
		select {
		case <-timer.C:
			m.record(time.Since(due))
		case <-m.stop:
			return
		}
	}
}

// record adds the delay of one timer and, as a correction for coordinated omission,
// of the timers that would have started during the delay. Otherwise a stall of a
// second would count as a single late timer.
func (m *Meter) record(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.delays.RecordCorrectedValue(min(delay, maxDelay).Microseconds(), interval.Microseconds())
}

// Reset discards the delays recorded so far.
func (m *Meter) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delays = hdrhistogram.New(1, maxDelay.Microseconds(), 3)
}

// P99 returns the 99th percentile of the delays since the last Reset, at most a
// minute.
func (m *Meter) P99() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.delays.ValueAtQuantile(99)) * time.Microsecond
}

// Stop ends the measurement. It must be called once only.
func (m *Meter) Stop() {
	close(m.stop)
	<-m.done
}
