package callerconn

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/callerbody"
)

const (
	// freeHeadBytes is the part of a request's head that counts with its connection.
	freeHeadBytes = 4 << 10
	// headCost is the memory that a byte of a head takes once it is parsed, for many short lines:
	// 600 heads of 12 KB took 74 MB.
	headCost = 10
	// idleCandidates bounds the connections that are looked at for one that may be closed.
	idleCandidates = 64
	// closingShare divides the bound into the connections that may be open beyond it.
	closingShare = 8
	// calmPeriod is the time without a refusal after which connections count as below their bound.
	calmPeriod = 5 * time.Second
)

// bounds are the limits of a Set.
type bounds struct {
	max     int // connections; 0 for no bound
	heads   *callerbody.Budget
	log     hclog.Logger
	shed    atomic.Int64 // idle connections closed for new ones
	refused atomic.Int64 // connections closed on accept

	// Used by Refresh only.
	full    bool
	count   int64 // shed and refused at the last change
	changed time.Time
}

// Limit sets the greatest number of open connections, 0 for any, and the budget of the heads that
// are being read, nil for none. It is called before the set is used. At the bound, the connection
// closes that has been without a request for longest. If all have requests, new ones are refused.
func (s *Set) Limit(maxConns int, heads *callerbody.Budget, log hclog.Logger) {
	s.bounds.max, s.bounds.heads, s.bounds.log = maxConns, heads, log
}

// Use describes the connections of a Set.
type Use struct {
	Open, Max int
	Shed      int64 // connections without a request closed for new ones, since the start
	Refused   int64 // connections closed on accept, since the start
}

// Use returns the present use.
func (s *Set) Use() Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Use{Open: len(s.open), Max: s.bounds.max, Shed: s.bounds.shed.Load(), Refused: s.bounds.refused.Load()}
}

// Refresh logs when the bound is reached and when it no longer is. It is called periodically.
func (s *Set) Refresh(now time.Time) {
	b := &s.bounds
	u := s.Use()
	switch count := u.Shed + u.Refused; {
	case count != b.count:
		b.count, b.changed = count, now
		if !b.full {
			b.full = true
			b.log.Warn("connections of callers are at their bound; the longest idle are closed", "open", u.Open, "max", u.Max, "closed", u.Shed, "refused", u.Refused)
		}
	case b.full && now.Sub(b.changed) >= calmPeriod:
		b.full = false
		b.log.Info("connections of callers are below their bound again", "open", u.Open, "max", u.Max, "closed", u.Shed, "refused", u.Refused)
	}
}

// admit reports whether a new connection may be opened, and closes an idle one for it at the bound.
// A connection that closes still counts until its server has given it up, so a closingShare more
// may be open for a moment.
func (s *Set) admit() bool {
	s.mu.Lock()
	open := len(s.open)
	if s.bounds.max == 0 || open < s.bounds.max {
		s.mu.Unlock()
		return true
	}
	var candidates []*conn
	for e := s.byUse.Front(); e != nil && len(candidates) < idleCandidates; e = e.Next() {
		candidates = append(candidates, e.Value.(*conn))
	}
	s.mu.Unlock()
	if open < s.bounds.max+max(s.bounds.max/closingShare, 1) {
		for _, c := range candidates {
			if c.shedIdle() {
				s.bounds.shed.Add(1)
				return true
			}
		}
	}
	s.bounds.refused.Add(1)
	return false
}

// used records that a connection has just had a request.
func (s *Set) used(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.open[c]; ok {
		s.byUse.MoveToBack(c.element)
	}
}

// shedIdle closes a connection without a request and reports whether it did. A head that was read
// whole is answered first.
func (c *conn) shedIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shed || c.busy || c.headRead {
		return false
	}
	c.shed, c.closed = true, true
	_ = c.Conn.SetReadDeadline(time.Now())
	return true
}

// isShed reports whether the connection closes for others after its answer.
func (c *conn) isShed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shed
}

// charge charges the budget with a part of a head that was read. It calls the budget without c.mu,
// because the budget calls shedIdle.
func (c *conn) charge(n int) {
	heads := c.conns.bounds.heads
	if heads == nil {
		return
	}
	c.mu.Lock()
	if c.busy {
		c.mu.Unlock()
		return
	}
	c.headBytes += n
	size := c.headBytes
	c.mu.Unlock()
	if size <= freeHeadBytes {
		return
	}
	if !c.charged {
		c.charged = true
		heads.Open(&c.hold, func() { c.shedIdle() })
	}
	if !c.hold.Grow(int64(size) * headCost) {
		c.shedIdle()
	}
}

// discharge frees the room of a head whose request has ended.
func (c *conn) discharge() {
	if c.charged {
		c.charged = false
		c.hold.Release()
	}
}
