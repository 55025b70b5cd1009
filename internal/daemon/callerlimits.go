package daemon

import (
	"context"
	"math"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/callerbody"
	"github.com/lacewingyard/lacewingyard/internal/callerconn"
	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/pkg/limit"
)

const (
	// goMemoryFraction is the fraction of the memory of the process that GOMEMLIMIT, the soft limit
	// of the Go runtime, is taken for; a host on the platform sets the same fraction.
	goMemoryFraction = 0.6
	// callerRefreshInterval is the interval at which changes of state are logged.
	callerRefreshInterval = 500 * time.Millisecond
)

// callerLimits bound what callers and operators hold of the memory and the descriptors.
type callerLimits struct {
	budget    *callerbody.Budget
	operators *callerconn.Set
}

// newCallerLimits derives the limits from GOMEMLIMIT and RLIMIT_NOFILE and sets the bound of the
// callers' connections.
func newCallerLimits(callers *callerconn.Set, log hclog.Logger) *callerLimits {
	memory := int64(0)
	if soft := debug.SetMemoryLimit(-1); soft < math.MaxInt64 {
		memory = int64(float64(soft) / goMemoryFraction)
	}
	parts := limit.CallerPartsOf(memory, callerbody.DescriptorLimit(0))
	l := &callerLimits{budget: callerbody.NewBudget(parts.Bytes, log), operators: callerconn.NewSet()}
	callers.Limit(parts.Conns, l.budget, log)
	l.operators.Limit(parts.SideConns, l.budget, log.With("listener", "operators"))
	return l
}

// refresh logs changes of state until the context ends.
func (l *callerLimits) refresh(ctx context.Context, callers *callerconn.Set) {
	ticker := time.NewTicker(callerRefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			l.budget.Refresh(now)
			callers.Refresh(now)
			l.operators.Refresh(now)
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) callerStatus() callerconn.Status {
	return callerconn.StatusOf(d.callerLimits.budget, d.callerConns)
}

func (d *Daemon) registerCallerGauges(m *telemetry.Metrics) {
	m.Gauge("caller_bytes", "Bytes that callers hold with long heads and bodies.", func() float64 { return float64(d.callerStatus().Bytes) })
	m.Gauge("caller_bytes_limit", "Greatest number of these bytes.", func() float64 { return float64(d.callerStatus().BytesLimit) })
	m.Counter("caller_requests_given_up_total", "Requests given up for others while they were read.", func() float64 { return float64(d.callerStatus().GivenUp) })
	m.Counter("caller_requests_no_room_total", "Requests that found no room for their bodies or heads.", func() float64 { return float64(d.callerStatus().NoRoom) })
	m.Counter("caller_requests_too_slow_total", "Requests given up because their bodies made no progress.", func() float64 { return float64(d.callerStatus().TooSlow) })
	m.Gauge("caller_connections", "Open connections of callers.", func() float64 { return float64(d.callerStatus().Connections) })
	m.Gauge("caller_connections_limit", "Greatest number of open connections of callers; 0 for no bound.", func() float64 { return float64(d.callerStatus().ConnectionsLimit) })
	m.Counter("caller_connections_shed_total", "Connections of callers without a request closed for new ones.", func() float64 { return float64(d.callerStatus().ConnectionsShed) })
	m.Counter("caller_connections_refused_total", "Connections of callers closed on accept.", func() float64 { return float64(d.callerStatus().ConnectionsRefused) })
}
