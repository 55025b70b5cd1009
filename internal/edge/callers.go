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

func (l *callerLimits) status() callerconn.Status { return callerconn.StatusOf(l.budget, l.conns) }
