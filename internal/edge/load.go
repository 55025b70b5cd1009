package edge

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// sendSeconds is the processor time of one send with its part of the request,
	// and sendBytes its bytes in both directions (docs/measurements.md).
	sendSeconds = 150e-6
	sendBytes   = 1500
	// loadGain is the weight of one round of housekeeping in the load.
	loadGain = 0.3
)

// loadMeter follows how much of its capacity a host uses. It counts sends and not
// processor time, so that hosts of one kind agree on their loads.
type loadMeter struct {
	capacity float64 // sends per second
	sends    atomic.Int64
	load     atomic.Uint64 // bits of a float64
	since    time.Time
}

func newLoadMeter(cores, linkBytes float64) *loadMeter {
	m := &loadMeter{capacity: cores / sendSeconds, since: time.Now()}
	if linkBytes > 0 {
		m.capacity = min(m.capacity, linkBytes/sendBytes)
	}
	return m
}

// count records a send to a target.
func (m *loadMeter) count() { m.sends.Add(1) }

// current returns the fraction of the capacity in use.
func (m *loadMeter) current() float64 { return math.Float64frombits(m.load.Load()) }

// round takes the sends since the last call into the load.
func (m *loadMeter) round(now time.Time) {
	span := now.Sub(m.since).Seconds()
	if span <= 0 || m.capacity <= 0 {
		return
	}
	m.since = now
	used := float64(m.sends.Swap(0)) / span / m.capacity
	m.load.Store(math.Float64bits(m.current() + loadGain*(used-m.current())))
}
