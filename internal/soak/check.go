package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

// Call is a request of a caller with what it got.
type Call struct {
	ID, Method, URI, Body string
	Sent                  time.Time
	Reply                 platformtest.Reply
}

// Checker compares what callers got with what targets ran. It is safe for
// concurrent use.
type Checker struct {
	mu     sync.Mutex
	calls  map[string]*Call
	sets   [][]string        // sets of shards that were configured
	closed map[string][]span // when targets may run nothing
	stale  map[string]time.Time
	broken []string
}

// span is a time; without an end if until is zero.
type span struct{ from, until time.Time }

func (s span) holds(t time.Time) bool {
	return t.After(s.from) && (s.until.IsZero() || t.Before(s.until))
}

// NewChecker returns a checker.
func NewChecker() *Checker {
	return &Checker{calls: map[string]*Call{}, closed: map[string][]span{}, stale: map[string]time.Time{}}
}

// AddShardSet records a set of shards before it is published.
func (c *Checker) AddShardSet(set []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sets = append(c.sets, set)
}

// ForbidRuns records that a target may run nothing from a time, until another or, if
// that is zero, any more.
func (c *Checker) ForbidRuns(target string, from, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed[target] = append(c.closed[target], span{from, until})
}

// RetireShardSet records that calls sent after a time may not be answered from a set
// of shards any more.
func (c *Checker) RetireShardSet(set []string, after time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, service := range set {
		c.stale[service] = after
	}
}

// RecordCall records a call before it is sent.
func (c *Checker) RecordCall(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[call.ID] = &call
}

// RecordReply records the reply to a call and checks what it says by itself.
func (c *Checker) RecordReply(id string, r platformtest.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[id]
	call.Reply = r
	if r.Status != 200 {
		return
	}
	if call.Method == "POST" {
		if r.Digest != platformtest.Digest(platformtest.AtMostOnceService, id) {
			c.fail("call %s got the answer with digest %q", id, r.Digest)
		}
		return
	}
	if wrong := platformtest.CheckSearch(&r, id, call.URI, c.sets); wrong != "" {
		c.fail("call %s: %s", id, wrong)
	}
}

func (c *Checker) fail(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// Finish checks the runs of the targets and returns the broken promises.
func (c *Checker) Finish(runs []platformtest.Run) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := map[string]int{}
	for _, run := range runs {
		call := c.calls[run.ID]
		if call == nil || call.Method != run.Method || call.URI != run.URI || call.Body != run.Body {
			c.fail("target %s ran %s %s (%s), which no caller sent", run.Target, run.Method, run.URI, run.ID)
			continue
		}
		count[run.ID]++
		for _, closed := range c.closed[run.Target] {
			if closed.holds(run.At) {
				c.fail("target %s ran %s %v after it was to get nothing more", run.Target, run.ID, run.At.Sub(closed.from))
			}
		}
	}
	for id, call := range c.calls {
		if call.Method != "POST" {
			c.checkSet(id, call)
			continue
		}
		if count[id] > 1 {
			c.fail("call %s ran %d times", id, count[id])
		}
		if count[id] > 0 && call.Reply.NotRun() {
			c.fail("call %s was told with status %d that it has not run, and it has", id, call.Reply.Status)
		}
	}
	return c.broken
}

// checkSet finds an answer from a set of shards that was superseded before the call.
func (c *Checker) checkSet(id string, call *Call) {
	for _, part := range call.Reply.Parts {
		service, _, _ := strings.Cut(part, ".")
		if after, ok := c.stale[service]; ok && call.Sent.After(after) {
			c.fail("call %s was answered by %s, %v after that was to be in use no more", id, service, call.Sent.Sub(after))
			return
		}
	}
}

// Served returns the number of calls sent after a time and how many of them got a
// success.
func (c *Checker) Served(since time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		if call.Sent.After(since) {
			sent++
			if call.Reply.Status == 200 {
				served++
			}
		}
	}
	return sent, served
}
