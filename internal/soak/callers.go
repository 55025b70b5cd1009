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
	// One caller in staleCacheCallers, on average, caches answers of the directory for
	// three times their TTL.
	staleCacheCallers = 4
	// meanInterval is the mean pause between two requests of a caller.
	meanInterval = 15 * time.Millisecond
	// callTimeout is the time that callers wait for an answer.
	callTimeout = routeTimeout
	// One call in killerCalls, on average, ends the target that runs it.
	killerCalls = 150
)

// caller sends requests to the hosts that the directory names. It keeps its
// connections open until the host closes them.
type caller struct {
	fleet  *testFleet
	place  string
	rng    *rand.Rand
	client *http.Client
	nextID *atomic.Int64 // shared by all callers
	tenant int           // whose keys it uses, modulo the number of tenants

	addresses   []string
	cachedUntil time.Time // expiry of addresses
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	ttlFactor := 1.0
	if c.rng.IntN(staleCacheCallers) == 0 {
		ttlFactor = 3
	}
	for ctx.Err() == nil {
		c.resolve(ctx, ttlFactor)
		if len(c.addresses) > 0 {
			c.call(c.addresses[c.rng.IntN(len(c.addresses))])
		}
		sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(c.interval())))
	}
}

// resolve looks up the addresses in the directory of a random host once the cached ones
// have expired. After a failed lookup the cached addresses stay in use.
func (c *caller) resolve(ctx context.Context, ttlFactor float64) {
	if time.Now().Before(c.cachedUntil) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	h := c.fleet.hosts[c.rng.IntN(len(c.fleet.hosts))]
	answer, err := platformtest.Resolve(ctx, c.fleet.client, h.Address(h.Ports.Directory), c.place)
	if err == nil && len(answer.Addresses) > 0 {
		c.addresses, c.cachedUntil = answer.Addresses, time.Now().Add(time.Duration(ttlFactor*answer.TTL*float64(time.Second)))
	}
}

// newCall returns a call to the host at an address with a new ID.
func (c *caller) newCall(address string) Call {
	id := fmt.Sprintf("c%08d", c.nextID.Add(1))
	call := Call{ID: id, Method: "GET", URI: platformtest.SearchPrefix + id, Host: address, Sent: time.Now()}
	switch {
	case c.rng.IntN(killerCalls) == 0:
		call.Method, call.URI, call.Killer = "POST", platformtest.AtMostOncePrefix+killerPath, true
	case c.rng.IntN(4) == 0:
		call.URI = fetchPrefix + id
	case c.rng.IntN(3) == 0:
		call.Method, call.URI, call.Body = "POST", platformtest.AtMostOncePrefix+id+"?n=1", "body of "+id
	}
	c.authorize(&call)
	return call
}

func (c *caller) call(address string) {
	call := c.newCall(address)
	// Calls are not cancelled at the end of the run, so that each one has an outcome.
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := platformtest.NewRequest(ctx, address, call.Method, call.URI, call.ID, []byte(call.Body), callTimeout)
	if err != nil {
		return
	}
	call.setHeader(req)
	c.fleet.checker.RecordCall(call)
	c.fleet.checker.RecordReply(call.ID, platformtest.Send(c.client, req))
}
