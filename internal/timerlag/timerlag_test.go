package timerlag

import (
	"testing"
	"time"
)

// Guards against a stop of the machine that counts as a single late timer: one
// of 500 ms in 10 s delays 5 in 100 requests.
func TestRecordCountsTimersThatCouldNotStart(t *testing.T) {
	m := &Meter{}
	m.Reset()
	for range 2000 {
		m.record(100 * time.Microsecond)
	}
	if got := m.P99(); got > Limit {
		t.Fatalf("P99 of a steady machine is %s", got)
	}
	m.record(500 * time.Millisecond)
	if got := m.P99(); got <= Limit {
		t.Fatalf("P99 after a stop of 500 ms is %s, want more than %s", got, Limit)
	}
}
