package edge

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// sendCPUSeconds is the CPU time of one send to a target, including its part of
	// the caller's request, and sendBytes its bytes in both directions
	// (docs/measurements.md).
	sendCPUSeconds = 150e-6
	sendBytes      = 1500
	// loadSmoothing is the weight of the latest sample in the exponential moving
	// average of the load.
	loadSmoothing = 0.3
)

// loadMeter estimates the fraction of its capacity that a host uses. It counts sends
// instead of CPU time, so that hosts of the same kind report comparable loads.
type loadMeter struct {
	capacity    float64 // sends per second
	sends       atomic.Int64
	load        atomic.Uint64 // bits of a float64
	windowStart time.Time
}

// newLoadMeter returns a meter for a host with a number of cores and a link of linkBytes
// bytes per second; 0 means that the link is no limit.
func newLoadMeter(cores, linkBytes float64) *loadMeter {
	m := &loadMeter{capacity: cores / sendCPUSeconds, windowStart: time.Now()}
	if linkBytes > 0 {
		m.capacity = min(m.capacity, linkBytes/sendBytes)
	}
	return m
}

// count counts a send to a target.
func (m *loadMeter) count() { m.sends.Add(1) }

// current returns the moving average of the fraction of the capacity in use, 0 before
// the first update.
func (m *loadMeter) current() float64 { return math.Float64frombits(m.load.Load()) }

// update adds the rate of sends since the last call to the moving average. Without a
// known capacity, it does nothing.
func (m *loadMeter) update(now time.Time) {
	window := now.Sub(m.windowStart).Seconds()
	if window <= 0 || m.capacity <= 0 {
		return
	}
	m.windowStart = now
	used := float64(m.sends.Swap(0)) / window / m.capacity
	m.load.Store(math.Float64bits(m.current() + loadSmoothing*(used-m.current())))
}
