// Package timerlag measures how late timers fire. A machine whose timers are
// late did not run its processes in time, so that latencies measured on it
// describe the machine and not the program.
package timerlag

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Limit is the p99 of the lateness above which a measurement is invalid. It
	// is 5 % of an answer of 200 ms.
	Limit    = 10 * time.Millisecond
	interval = 5 * time.Millisecond
	longest  = time.Minute // that the histogram can hold
)

// Meter measures until Stop is called. It is safe for concurrent use.
type Meter struct {
	mu   sync.Mutex
	late *hdrhistogram.Histogram // microseconds

	stop  chan struct{}
	ended chan struct{}
}

// Start returns a running meter.
func Start() *Meter {
	m := &Meter{stop: make(chan struct{}), ended: make(chan struct{})}
	m.Reset()
	go m.run()
	return m
}

func (m *Meter) run() {
	defer close(m.ended)
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

// record counts the lateness of one timer and of the timers that could not
// start meanwhile: a stop of a second is not one late timer among many.
func (m *Meter) record(late time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.late.RecordCorrectedValue(min(late, longest).Microseconds(), interval.Microseconds())
}

// Reset forgets what was measured.
func (m *Meter) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.late = hdrhistogram.New(1, longest.Microseconds(), 3)
}

// P99 returns the lateness that 99 of 100 timers did not exceed.
func (m *Meter) P99() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.late.ValueAtQuantile(99)) * time.Microsecond
}

// Stop ends the measurement.
func (m *Meter) Stop() {
	close(m.stop)
	<-m.ended
}
