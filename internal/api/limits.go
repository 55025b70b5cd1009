package api

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"golang.org/x/time/rate"
)

const (
	// maxCallers bounds the callers that are told apart. When it is reached
	// the table starts anew, which forgives at most one burst a caller.
	maxCallers = 10000
	// burstSeconds of the rate may come at once.
	burstSeconds = 1
)

// RateLimiter refuses requests of a caller address above a rate.
type RateLimiter struct {
	limit   func() int // requests a second, 0 for no limit
	outcome func(requestID string, o outcome.Outcome) outcome.Outcome
	refused atomic.Int64

	mu      sync.Mutex
	rate    int
	callers map[string]*rate.Limiter
}

// NewRateLimiter returns a limit whose rate is read at each request, so that it
// follows the configuration. refused returns what may be said of a refused
// request, see Services.
func NewRateLimiter(limit func() int, refused func(requestID string, o outcome.Outcome) outcome.Outcome) *RateLimiter {
	return &RateLimiter{limit: limit, outcome: refused, callers: map[string]*rate.Limiter{}}
}

// Refused returns the number of requests refused so far.
func (l *RateLimiter) Refused() int64 { return l.refused.Load() }

// Wrap puts the limit before a handler.
func (l *RateLimiter) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !l.allow(r.RemoteAddr, time.Now()) {
			l.refused.Add(1)
			o := outcome.Refused(outcome.Overload, "caller exceeds %d requests a second", l.limit())
			o.RetryAfter = time.Second
			WriteOutcome(w, l.outcome(r.Header.Get(HeaderRequestID), o))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (l *RateLimiter) allow(remote string, now time.Time) bool {
	limit := l.limit()
	if limit == 0 {
		return true
	}
	caller, _, err := net.SplitHostPort(remote)
	if err != nil {
		caller = remote
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit != l.rate || len(l.callers) >= maxCallers {
		l.rate, l.callers = limit, map[string]*rate.Limiter{}
	}
	limiter, ok := l.callers[caller]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(limit), limit*burstSeconds)
		l.callers[caller] = limiter
	}
	return limiter.AllowN(now, 1)
}
