package timerlag

import (
	"testing"
	"time"
)

// Guards against a stall of the machine that counts as a single late timer: a stall
// of 500 ms in 10 s delays 5 % of the requests.
func TestRecordCorrectsForCoordinatedOmission(t *testing.T) {
	m := &Meter{}
	m.Reset()
	for range 2000 {
		m.record(100 * time.Microsecond)
	}
	if got := m.P99(); got > Limit {
		t.Fatalf("P99 without a stall is %s, above the limit", got)
	}
	m.record(500 * time.Millisecond)
	if got := m.P99(); got <= Limit {
		t.Fatalf("P99 after a stall of 500 ms is %s, want more than %s", got, Limit)
	}
}
