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
	// maxCallers limits the table of caller addresses. At the limit the table is
	// cleared, which allows each caller at most one additional burst.
	maxCallers = 10000
	// burstSeconds is the burst size, in seconds of the rate.
	burstSeconds = 1
)

// RateLimiter refuses requests that exceed a rate per caller address. It is safe for
// concurrent use.
type RateLimiter struct {
	limit          func() int // requests per second; 0 for no limit
	refusalOutcome func(requestID string, o outcome.Outcome) outcome.Outcome
	refused        atomic.Int64

	mu      sync.Mutex
	rate    int
	callers map[string]*rate.Limiter
}

// NewRateLimiter returns a rate limiter. limit returns the requests per second of one
// caller address, 0 for no limit; it is called for each request, so that a changed
// configuration applies at once. refusalOutcome is that of Services.
func NewRateLimiter(limit func() int, refusalOutcome func(requestID string, o outcome.Outcome) outcome.Outcome) *RateLimiter {
	return &RateLimiter{limit: limit, refusalOutcome: refusalOutcome, callers: map[string]*rate.Limiter{}}
}

// Refused returns the number of requests refused so far.
func (l *RateLimiter) Refused() int64 { return l.refused.Load() }

// Wrap returns a handler that applies the limit before it calls next.
func (l *RateLimiter) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !l.allow(r.RemoteAddr, time.Now()) {
			l.refused.Add(1)
			o := outcome.Refused(outcome.Overload, "caller exceeds %d requests per second", l.limit())
			o.RetryAfter = time.Second
			WriteOutcome(w, l.refusalOutcome(r.Header.Get(HeaderRequestID), o))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (l *RateLimiter) allow(remoteAddr string, now time.Time) bool {
	limit := l.limit()
	if limit == 0 {
		return true
	}
	caller, _, err := net.SplitHostPort(remoteAddr)
	if err != nil {
		caller = remoteAddr
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
