package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

const (
	// patientCallers is the number of callers of which one keeps answers of the
	// directory three times as long as it is told.
	patientCallers = 4
	// between is the mean pause between two requests of a caller.
	between = 15 * time.Millisecond
	// callLimit is the time that callers wait.
	callLimit = 2 * time.Second
)

// caller sends requests to the hosts that the directory names, over connections
// that it keeps until the process at the other end is gone.
type caller struct {
	site   *site
	place  string
	rng    *rand.Rand
	client *http.Client
	next   *atomic.Int64

	addresses []string
	kept      time.Time // until when the addresses are
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	patience := 1.0
	if c.rng.IntN(patientCallers) == 0 {
		patience = 3
	}
	for ctx.Err() == nil {
		c.resolve(ctx, patience)
		if len(c.addresses) > 0 {
			c.call(c.addresses[c.rng.IntN(len(c.addresses))])
		}
		pause(ctx, time.Duration(c.rng.ExpFloat64()*float64(between)))
	}
}

// resolve asks a host where to connect, and keeps the old answer if none tells.
func (c *caller) resolve(ctx context.Context, patience float64) {
	if time.Now().Before(c.kept) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	h := c.site.hosts[c.rng.IntN(len(c.site.hosts))]
	answer, err := platformtest.Resolve(ctx, c.site.client, h.Address(h.Ports.Directory), c.place)
	if err == nil && len(answer.Addresses) > 0 {
		c.addresses, c.kept = answer.Addresses, time.Now().Add(time.Duration(patience*answer.TTL*float64(time.Second)))
	}
}

func (c *caller) call(address string) {
	id := fmt.Sprintf("c%08d", c.next.Add(1))
	call := Call{ID: id, Method: "GET", URI: platformtest.SearchPrefix + id, Sent: time.Now()}
	if c.rng.IntN(3) == 0 {
		call.Method, call.URI, call.Body = "POST", platformtest.AtMostOncePrefix+id+"?n=1", "body of "+id
	}
	c.site.check.RecordCall(call)
	// Calls outlive the end of the run, so that every one has an outcome.
	c.site.check.RecordReply(id, platformtest.Call(context.Background(), c.client, address, call.Method, call.URI, id, []byte(call.Body), callLimit))
}
