package drain

import "time"

const (
	// leavingRetryAfter is the retry delay of callers that are refused while other hosts take
	// their requests, and aloneRetryAfter the one while none does: the first hosts that were
	// stopped with this one are back after about this time.
	leavingRetryAfter = 10 * time.Millisecond
	aloneRetryAfter   = 700 * time.Millisecond
	// closingReserve is the last part of the grace period, in which a host accepts no
	// connections. It covers those that were opened ahead of requests just before.
	closingReserve = 1100 * time.Millisecond
)

// RetryAfter returns the shortest retry delay of a caller that the shutdown refuses. alone means
// that no other host accepts callers.
func RetryAfter(alone bool) time.Duration {
	if alone {
		return aloneRetryAfter
	}
	return leavingRetryAfter
}

// StaysOpen reports whether a host whose cached address answers have expired still accepts
// connections. It closes its listener unless it has to wait for open requests anyway and its
// callers would find no other host: a refused request has a time to come back, a refused
// connection does not.
func (s *Shutdown) StaysOpen(now time.Time, open int, alone bool) bool {
	return alone && open > 0 && s.Remaining(now, open) > closingReserve
}
