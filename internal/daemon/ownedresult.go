package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/warmup"
)

// medianLatency is the rolling median of the latencies of a service's warm targets.
// Safe for concurrent use.
type medianLatency struct {
	mu    sync.Mutex
	value warmup.RollingMedian
}

func (m *medianLatency) add(latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.value.Add(latency)
}

func (m *medianLatency) get() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.value.Value()
}

// observeResult updates the warm-up state, the service time and the median with the
// result of a request. median is the median latency of the service. The caller
// holds t.mu.
func (t *ownedTarget) observeResult(now, sent time.Time, d workResult, median time.Duration) {
	sample := warmup.Sample{Sent: sent, BootID: d.status.BootID, Reported: reportedState(d.status.State), Latency: d.serviceTime, MedianLatency: median}
	known := true
	sample.Result, known = warmupResult(d.outcome)
	if !known {
		t.ramp.ObserveReport(now, sent, sample.BootID, sample.Reported)
		return
	}
	t.ramp.Observe(now, sample)
	if d.outcome.Kind == outcome.Answered {
		t.limiter.ObserveServiceTime(now, d.serviceTime)
		if t.ramp.State() == warmup.Warm {
			t.median.add(d.serviceTime)
		}
	}
}

// notSent returns the outcome of a request whose context ended before it was sent.
func notSent(ctx context.Context, format string, args ...any) outcome.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.Refused(outcome.Canceled, "canceled "+format, args...)
	}
	return outcome.Refused(outcome.Deadline, "the deadline passed "+format, args...)
}

// reportedState converts the state that a target reports of itself; ReportedNone if
// it reports none.
func reportedState(s wire.TargetState) warmup.ReportedState {
	switch s {
	case wire.TargetWarm:
		return warmup.ReportedWarm
	case wire.TargetCold:
		return warmup.ReportedCold
	case wire.TargetDraining:
		return warmup.ReportedDraining
	}
	return warmup.ReportedNone
}

// warmupResult converts an outcome for the warm-up ramp. known is false for a request
// that did not run, unless the reason is overload.
func warmupResult(o outcome.Outcome) (r warmup.Result, known bool) {
	switch {
	case o.Kind == outcome.Answered:
		return warmup.Answered, true
	case o.Reason == outcome.Canceled || o.Reason == outcome.Deadline:
		return warmup.Canceled, o.Kind == outcome.Unknown
	case o.Kind == outcome.NotRun:
		return warmup.Refused, o.Reason == outcome.Overload
	}
	return warmup.Failed, true
}
