package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const (
	// callerCount is the number of callers, each with its own cached entries.
	callerCount = 16
	// callerGrace is how long a caller waits for an answer after the request's deadline.
	callerGrace = 500 * time.Millisecond
	// maxConnectAttempts bounds the addresses tried for one request or renewal.
	maxConnectAttempts = 3
	connectTimeout     = time.Second
)

// reply is the result of a request at the caller.
type reply struct {
	id      string
	search  *api.SearchResponse
	lookup  *api.LookupResponse
	outcome outcome.Outcome

	notConnected bool // the connection failed, so the request cannot have run
}

// caller is a client of the hosts of one policy. It caches the addresses of entry hosts for the TTL
// of the entries response and sends each request to a random one of them. It is safe
// for concurrent use.
type caller struct {
	http  *http.Client
	delay time.Duration   // one-way delay to the hosts
	seeds func() []string // addresses from the caller's settings

	mu       sync.Mutex
	rng      *rand.Rand
	entries  []api.Entry
	expires  time.Time
	renewing bool
}

func newCaller(delay time.Duration, seeds func() []string, rng *rand.Rand) *caller {
	return &caller{
		delay: delay, seeds: seeds, rng: rng,
		http: &http.Client{Transport: httpanswer.NewTransport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			MaxIdleConnsPerHost: 1024, DisableCompression: true,
		})},
	}
}

func (c *caller) close() { c.http.CloseIdleConnections() }

// chooseAddress returns a random cached entry. When the entries have expired, one
// request renews them while the others use the expired ones. A failed renewal is an error
// only if no entries are cached.
func (c *caller) chooseAddress(ctx context.Context, now time.Time) (api.Entry, error) {
	c.mu.Lock()
	renew := now.After(c.expires) && !c.renewing
	if renew {
		c.renewing = true
	}
	cached := len(c.entries) > 0
	c.mu.Unlock()
	if renew || !cached {
		if err := c.renewEntries(ctx); err != nil && !cached {
			return api.Entry{}, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) == 0 {
		return api.Entry{}, errors.New("the tier returned no address")
	}
	return c.entries[c.rng.IntN(len(c.entries))], nil
}

// renewEntries requests the entries from a random address among the seeds and the
// cached entries, and caches them.
func (c *caller) renewEntries(ctx context.Context) error {
	defer func() {
		c.mu.Lock()
		c.renewing = false
		c.mu.Unlock()
	}()
	var last error
	for range maxConnectAttempts {
		addresses := c.seeds()
		c.mu.Lock()
		for _, e := range c.entries {
			addresses = append(addresses, e.Address)
		}
		if len(addresses) == 0 {
			c.mu.Unlock()
			return errors.New("no host address is configured or cached")
		}
		address := addresses[c.rng.IntN(len(addresses))]
		c.mu.Unlock()
		var answer api.EntriesResponse
		if last = c.do(ctx, http.MethodGet, address, "/v1/entries", nil, nil, &answer); last != nil {
			continue
		}
		if last = c.setTicketPrefixes(ctx, address, answer.Entries); last != nil {
			continue
		}
		c.mu.Lock()
		c.entries = answer.Entries
		c.expires = time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)
		c.mu.Unlock()
		return nil
	}
	return last
}

// removeAddress drops an address that accepts no connection, unless it is the only
// one, and lets the next request renew the entries.
func (c *caller) removeAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make([]api.Entry, 0, len(c.entries))
	for _, e := range c.entries {
		if e.Address != address {
			kept = append(kept, e)
		}
	}
	if len(kept) > 0 {
		c.entries = kept
	}
	c.expires = time.Time{}
}

// requestID returns the identifier of a request to an entry: the suffix or, for a command,
// the ticket prefix of the entry followed by the suffix, which makes the identifier unique.
func requestID(kind settings.ServiceKind, entry api.Entry, suffix string) string {
	if kind != settings.KindCommand {
		return suffix
	}
	return entry.TicketPrefix + suffix
}

// setTicketPrefixes sets the ticket prefix of the entries that have none to a prefix of the
// answering host, because a command may be sent through any host.
func (c *caller) setTicketPrefixes(ctx context.Context, address string, entries []api.Entry) error {
	if !slices.ContainsFunc(entries, func(e api.Entry) bool { return e.TicketPrefix == "" }) {
		return nil
	}
	var ticket api.TicketResponse
	if err := c.do(ctx, http.MethodPost, address, "/v1/tickets", nil, nil, &ticket); err != nil {
		return err
	}
	for i := range entries {
		if entries[i].TicketPrefix == "" {
			entries[i].TicketPrefix = ticket.TicketPrefix
		}
	}
	return nil
}

// send sends a query and waits for the answer. It tries another address only if no
// connection was established, because then the request cannot have run.
func (c *caller) send(ctx context.Context, q *query, suffix string) reply {
	var r reply
	for range maxConnectAttempts {
		entry, err := c.chooseAddress(ctx, time.Now())
		if err != nil {
			r.outcome = outcome.Refused(outcome.Unavailable, "cannot get an entry host: %v", err)
			return r
		}
		r = c.sendTo(ctx, entry, q, suffix)
		if !r.notConnected {
			return r
		}
		c.removeAddress(entry.Address)
	}
	return r
}

// notConnected reports whether a request failed before its connection was
// established.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *caller) sendTo(ctx context.Context, entry api.Entry, q *query, suffix string) reply {
	r := reply{id: requestID(q.kind, entry, suffix)}
	header := http.Header{api.HeaderRequestID: {r.id}}
	if q.class != "" {
		header.Set(api.HeaderPriority, q.class)
	}
	path := "/v1/services/" + q.service
	var err error
	if q.kind == settings.KindSearch {
		r.search = new(api.SearchResponse)
		err = c.do(ctx, http.MethodPost, entry.Address, path+"/search", header, &q.search, r.search)
		r.outcome.Kind = r.search.Outcome
	} else {
		r.lookup = new(api.LookupResponse)
		err = c.do(ctx, http.MethodPost, entry.Address, path+"/lookup", header, &q.lookup, r.lookup)
		r.outcome.Kind = r.lookup.Outcome
	}
	if err != nil {
		r.search, r.lookup, r.outcome, r.notConnected = nil, nil, outcomeOf(err), notConnected(err)
	}
	return r
}

// refusedError is an error response of a host. Its outcome may be unknown as well as not
// run.
type refusedError struct{ body api.Error }

func (e *refusedError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.body.Outcome, e.body.Reason, e.body.Message)
}

// protocolError is a response that violates the caller protocol.
type protocolError struct{ problem string }

func (e *protocolError) Error() string { return e.problem }

// outcomeOf returns the outcome that the caller can conclude from an error.
func outcomeOf(err error) outcome.Outcome {
	var refused *refusedError
	var protocol *protocolError
	switch {
	case errors.As(err, &refused):
		return outcome.Outcome{Kind: refused.body.Outcome, Reason: refused.body.Reason, Message: refused.body.Message}
	case errors.As(err, &protocol):
		return outcome.Uncertain(outcome.Internal, "%v", err)
	case notConnected(err):
		return outcome.Refused(outcome.Unavailable, "%v", err)
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.Uncertain(outcome.Deadline, "%v", err)
	default:
		return outcome.Uncertain(outcome.ConnLost, "%v", err)
	}
}

// do makes one HTTP request, with the caller's delay in each direction, and decodes a
// response with status 200 into answer. Any other response is a refusedError, and one
// without the expected JSON a protocolError.
func (c *caller) do(ctx context.Context, method, address, path string, header http.Header, body, answer any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		// NopCloser hides the type of the buffer from net/http, which would otherwise
		// retry the request on another connection.
		reader = io.NopCloser(bytes.NewReader(data))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	time.Sleep(c.delay)
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	time.Sleep(c.delay)
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, answer); err != nil {
			return &protocolError{fmt.Sprintf("response is not the expected JSON: %v", err)}
		}
		return nil
	}
	refused := new(refusedError)
	if err := json.Unmarshal(data, &refused.body); err != nil {
		return &protocolError{fmt.Sprintf("status %s with a body that is not a JSON error", resp.Status)}
	}
	return refused
}
