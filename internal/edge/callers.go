package edge

import (
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/callerbody"
	"github.com/lacewingyard/lacewingyard/internal/callerconn"
	"github.com/lacewingyard/lacewingyard/internal/edge/site"
	"github.com/lacewingyard/lacewingyard/pkg/limit"
)

// callerLimits bound what callers hold of a host's memory and descriptors.
type callerLimits struct {
	parts  limit.CallerParts
	budget *callerbody.Budget
	conns  *callerconn.Set
	sides  []*callerconn.Set // of the other listeners
	log    hclog.Logger
}

func newCallerLimits(s *site.Settings, log hclog.Logger) *callerLimits {
	parts := limit.CallerPartsOf(s.MemoryLimitBytes, callerbody.DescriptorLimit(s.MaxDescriptors))
	l := &callerLimits{parts: parts, budget: callerbody.NewBudget(parts.Bytes, log), conns: callerconn.NewSet(), log: log}
	l.conns.Limit(parts.Conns, l.budget, log)
	return l
}

// sideListener returns a listener of another server than that for callers, with a bound of its own.
// It is called before the host serves.
func (l *callerLimits) sideListener(server *http.Server, inner net.Listener) net.Listener {
	set := callerconn.NewSet()
	set.Limit(l.parts.SideConns, l.budget, l.log.With("listener", inner.Addr().String()))
	set.Attach(server)
	l.sides = append(l.sides, set)
	return set.Listener(inner)
}

// refresh logs changes of state.
func (l *callerLimits) refresh(now time.Time) {
	l.budget.Refresh(now)
	l.conns.Refresh(now)
	for _, s := range l.sides {
		s.Refresh(now)
	}
}

// CallerStatus describes what callers hold of a host's memory and descriptors, with counts since
// the start.
type CallerStatus struct {
	Bytes              int64 `json:"bytes"`
	BytesLimit         int64 `json:"bytes_limit"`
	Reading            int   `json:"requests_reading"`
	GivenUp            int64 `json:"requests_given_up"`
	NoRoom             int64 `json:"requests_no_room"`
	TooSlow            int64 `json:"requests_too_slow"`
	Connections        int   `json:"connections"`
	ConnectionsLimit   int   `json:"connections_limit"` // 0 for none
	ConnectionsShed    int64 `json:"connections_shed"`
	ConnectionsRefused int64 `json:"connections_refused"`
}

func (l *callerLimits) status() CallerStatus {
	b, c := l.budget.Use(), l.conns.Use()
	return CallerStatus{
		Bytes: b.Used, BytesLimit: b.Limit, Reading: b.Reading, GivenUp: b.GivenUp, NoRoom: b.Refused, TooSlow: b.TooSlow,
		Connections: c.Open, ConnectionsLimit: c.Max, ConnectionsShed: c.Shed, ConnectionsRefused: c.Refused,
	}
}
