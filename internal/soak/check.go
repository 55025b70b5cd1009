package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

// Call is a request of a caller and the reply to it.
type Call struct {
	ID, Method, URI, Body string
	Host                  string   // address of the host that it was sent to
	Killer                bool     // it ends the targets that run it
	Left                  bool     // its caller ended its side of the connection, and is owed no answer
	Authorization         []string // values of its Authorization header
	Key                   string   // that Authorization presents; empty if it presents none
	ClaimedTenant         string   // value of its Tenant header
	Sent                  time.Time
	Reply                 platformtest.Reply
}

// forwarded reports whether the call is answered by one target.
func (c *Call) forwarded() bool {
	return c.Method == http.MethodPost || strings.HasPrefix(c.URI, fetchPrefix)
}

// Checker verifies the replies to callers against the runs of targets. It is safe for
// concurrent use.
type Checker struct {
	mu         sync.Mutex
	calls      map[string]*Call      // by request ID
	shardSets  [][]string            // all published sets of shards
	forbidden  map[string][]interval // by target: when it must not run a request
	retired    map[string]time.Time  // by service, which is one shard: calls sent later must not be answered from it
	violations []string

	notices      []Notice
	hostFaults   map[string][]interval // by address of a host
	stops        []plannedStop
	disturbances []interval

	tenants tenantChecks
	routes  routeChecks
}

// interval is an open interval of time, without an end if until is zero.
type interval struct{ from, until time.Time }

func (s interval) contains(t time.Time) bool {
	return t.After(s.from) && (s.until.IsZero() || t.Before(s.until))
}

// NewChecker returns a checker without calls and sets of shards.
func NewChecker() *Checker {
	return &Checker{calls: map[string]*Call{}, forbidden: map[string][]interval{}, retired: map[string]time.Time{}, hostFaults: map[string][]interval{}, tenants: newTenantChecks(), routes: newRouteChecks()}
}

// AddShardSet records a set of shards. It must be called before a configuration that
// names the set is published.
func (c *Checker) AddShardSet(set []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shardSets = append(c.shardSets, set)
}

// ForbidRuns records that a target must not run a request between two times; a zero
// until means from then on.
func (c *Checker) ForbidRuns(target string, from, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forbidden[target] = append(c.forbidden[target], interval{from, until})
}

// RetireShardSet records that calls sent after a time must not be answered from a set
// of shards.
func (c *Checker) RetireShardSet(set []string, after time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, service := range set {
		c.retired[service] = after
	}
}

// RecordCall records a call. It must be called before the call is sent.
func (c *Checker) RecordCall(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[call.ID] = &call
}

// RecordReply records the reply to a call and checks the reply by itself, without the
// runs of targets.
func (c *Checker) RecordReply(id string, r platformtest.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[id]
	call.Reply = r
	switch {
	case errors.Is(r.Err, httpanswer.ErrMalformed):
		c.fail("call %s was answered with bytes that are no answer: %v", id, r.Err)
		return
	case r.Status != 200:
		return
	}
	if call.forwarded() {
		switch {
		case r.Digest != platformtest.Digest(platformtest.AtMostOnceService, id):
			c.fail("call %s was answered with the digest %q of another request", id, r.Digest)
		case !bytes.Equal(r.Body, platformtest.Body(platformtest.AtMostOnceService, call.URI)):
			c.fail("call %s was answered with a body of %d bytes that is not the target's", id, len(r.Body))
		}
		return
	}
	if fault := platformtest.CheckSearch(&r, id, call.URI, c.shardSets); fault != "" {
		c.fail("call %s: %s", id, fault)
	}
}

// Fail records a violation that was found elsewhere.
func (c *Checker) Fail(violation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, violation)
}

func (c *Checker) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Finish checks the runs of the targets against the callers' calls and returns all
// violations found so far, including those that Finish returned before.
func (c *Checker) Finish(runs []platformtest.Run) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := map[string]int{}
	for _, run := range runs {
		call := c.calls[run.ID]
		if call == nil || call.Method != run.Method || call.URI != run.URI || call.Body != run.Body {
			c.fail("target %s ran %s %s (ID %s), which no caller sent", run.Target, run.Method, run.URI, run.ID)
			continue
		}
		count[run.ID]++
		for _, forbidden := range c.forbidden[run.Target] {
			if forbidden.contains(run.At) {
				c.fail("target %s ran call %s %v after the target had to be out of service", run.Target, run.ID, run.At.Sub(forbidden.from))
			}
		}
	}
	c.checkStops(count)
	for id, call := range c.calls {
		if call.Method != "POST" {
			c.checkShardSet(id, call)
			continue
		}
		if count[id] > 1 {
			c.fail("call %s ran %d times", id, count[id])
		}
		if count[id] > 0 && call.Reply.NotRun() {
			c.fail("call %s ran, but was answered with status %d, which means not run", id, call.Reply.Status)
		}
	}
	return c.violations
}

// checkShardSet reports an answer from a set of shards that was retired before the call
// was sent.
func (c *Checker) checkShardSet(id string, call *Call) {
	for _, part := range call.Reply.Parts {
		service, _, _ := strings.Cut(part, ".")
		if after, ok := c.retired[service]; ok && call.Sent.After(after) {
			c.fail("call %s was answered by %s, %v after the shard had to be out of use", id, service, call.Sent.Sub(after))
			return
		}
	}
}

// Served returns the number of calls sent after a time and how many of them were
// answered with status 200.
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
