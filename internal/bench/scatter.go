package bench

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/target"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// ScatterOptions are the parameters of a Flat or Naive host.
type ScatterOptions struct {
	Place   string
	Tree    func() *settings.Tree      // returns the configuration in force
	Dial    target.Dialer              // nil for plain TCP
	Entries func() api.EntriesResponse // returns the entry hosts for callers
	Hosts   int                        // number of hosts that share each target's connections
	Rand    *rand.Rand
}

// scatter is the common part of Flat and Naive. It holds a client for each target. It
// is safe for concurrent use.
type scatter struct {
	opts ScatterOptions

	mu      sync.Mutex // guards clients and opts.Rand
	clients map[string]*target.Client
}

func newScatter(opts ScatterOptions) scatter {
	return scatter{opts: opts, clients: map[string]*target.Client{}}
}

// Entries returns the entry hosts for callers.
func (s *scatter) Entries() api.EntriesResponse { return s.opts.Entries() }

// Ticket returns an empty ticket, because these policies accept any request identifier.
func (s *scatter) Ticket() api.TicketResponse { return api.TicketResponse{} }

// Service returns the kind and the settings of a service, and whether it exists.
func (s *scatter) Service(name string) (settings.ServiceKind, *settings.Policy, bool) {
	tree := s.opts.Tree()
	service, ok := tree.Doc.Services[name]
	return service.Kind, tree.Effective(s.opts.Place, name), ok
}

// RefusalOutcome returns the outcome unchanged, because these policies keep no record of
// the commands that ran.
func (s *scatter) RefusalOutcome(_ string, o outcome.Outcome) outcome.Outcome { return o }

// KeyRefusal returns false, because these policies know no tenants.
func (s *scatter) KeyRefusal(string, tenant.Credential) (outcome.Outcome, bool) {
	return outcome.Outcome{}, false
}

// Close closes the idle connections to targets.
func (s *scatter) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		c.Close()
	}
}

// client returns the client of a target, which the first call creates. The client opens at
// most the number of connections of that call; 0 for no limit.
func (s *scatter) client(t *settings.Target, connections int) *target.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[t.Address]
	if !ok {
		c = target.NewClient(t.Address, connections, s.opts.Dial)
		s.clients[t.Address] = c
	}
	return c
}

// requestContext returns a context with the request's deadline, at most the service's
// maximum, or with the service's default if the request states none.
func (s *scatter) requestContext(ctx context.Context, service string, meta api.Meta) (context.Context, context.CancelFunc) {
	policy := s.opts.Tree().Effective(s.opts.Place, service)
	limit := policy.DeadlineDefault
	if meta.Deadline > 0 {
		limit = min(meta.Deadline, policy.DeadlineMax)
	}
	return context.WithTimeout(ctx, limit)
}

func (s *scatter) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.Rand.IntN(n)
}

// groupAnswer is the result of the search of one group.
type groupAnswer struct {
	group   *settings.Group
	answer  target.SearchAnswer
	outcome outcome.Outcome
	ran     bool // a target may have run the search
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

func elapsedMS(start time.Time) float64 { return float64(time.Since(start).Microseconds()) / 1000 }

// naiveMaxAttempts bounds the attempts of Naive per group. Without the bound, a group whose
// replicas all refuse would be retried in a busy loop until the deadline.
const naiveMaxAttempts = 8

// Naive is a flat scatter that does not choose replicas by load or latency, limit the
// requests, hedge, spare cold targets, choose one index version per query or finish
// early. It searches the newest index version of a random replica of every group, retries
// at once on a random replica after any failure, with at most naiveMaxAttempts attempts for
// each group, and waits for all groups until the deadline. It is the reference of the differential tests. It is safe for concurrent
// use.
type Naive struct{ scatter }

// NewNaive returns a Naive.
func NewNaive(opts ScatterOptions) *Naive { return &Naive{newScatter(opts)} }

// Search searches every group and merges the records of the answers, whatever their index
// versions, in order of ID and up to the limit. The answer is nil if no target may have run
// the search.
func (n *Naive) Search(ctx context.Context, service string, meta api.Meta, req *api.SearchRequest) (*api.SearchResponse, outcome.Outcome) {
	start := time.Now()
	ctx, cancel := n.requestContext(ctx, service, meta)
	defer cancel()
	groups := n.opts.Tree().Doc.Services[service].Groups
	answers := make([]groupAnswer, len(groups))
	var wg sync.WaitGroup
	for i := range groups {
		wg.Go(func() { answers[i] = n.searchGroup(ctx, &groups[i], service, meta, req) })
	}
	wg.Wait()
	result := &api.SearchResponse{RequestID: meta.RequestID, Service: service, Outcome: outcome.Answered, Records: []coverage.Record{}}
	var covered keyspace.Set
	ran := false
	for _, a := range answers {
		ran = ran || a.ran
		if a.outcome.Kind != outcome.Answered {
			result.Outcome = outcome.Partial
			result.Warnings = append(result.Warnings, api.Warning{Group: a.group.ID, Reason: a.outcome.Reason, Message: a.outcome.Message})
			continue
		}
		for _, c := range a.answer.Covered {
			covered.Add(c.Range)
		}
		result.Snapshot = a.answer.Version
		result.Records = append(result.Records, a.answer.Records...)
	}
	if !ran {
		return nil, outcome.Refused(result.Warnings[0].Reason, "%s", result.Warnings[0].Message)
	}
	slices.SortFunc(result.Records, func(a, b coverage.Record) int { return cmp.Compare(a.ID, b.ID) })
	if req.Limit > 0 && len(result.Records) > req.Limit {
		result.Records = result.Records[:req.Limit]
	}
	result.Coverage = float64(covered.Len()) / float64(keyspace.Size)
	result.ElapsedMS = elapsedMS(start)
	return result, outcome.Outcome{Kind: result.Outcome}
}

func (n *Naive) searchGroup(ctx context.Context, g *settings.Group, service string, meta api.Meta, req *api.SearchRequest) groupAnswer {
	result := groupAnswer{group: g}
	for range naiveMaxAttempts {
		t := &g.Targets[n.intN(len(g.Targets))]
		result.answer, _, result.outcome = n.client(t, 0).Search(ctx,
			target.Request{ID: meta.RequestID, Timeout: timeLeft(ctx), Traceparent: meta.Traceparent},
			target.SearchBody{Service: service, Terms: req.Terms, Limit: req.Limit})
		result.ran = result.ran || !result.outcome.DidNotRun()
		if result.outcome.Kind == outcome.Answered || ctx.Err() != nil {
			break
		}
	}
	return result
}

// Lookup reads one record and retries after any failure. Without an answer, the outcome is
// that of the last attempt, even if an earlier attempt may have run.
func (n *Naive) Lookup(ctx context.Context, service string, meta api.Meta, req *api.LookupRequest) (*api.LookupResponse, outcome.Outcome) {
	start := time.Now()
	ctx, cancel := n.requestContext(ctx, service, meta)
	defer cancel()
	g := groupOf(n.opts.Tree(), service, req.ID)
	var o outcome.Outcome
	for range naiveMaxAttempts {
		t := &g.Targets[n.intN(len(g.Targets))]
		var answer target.LookupAnswer
		if answer, _, o = lookupOnTarget(ctx, n.client(t, 0), service, meta, req); o.Kind == outcome.Answered {
			return lookupResponse(service, meta, &answer, start), o
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, o
}

func lookupOnTarget(ctx context.Context, c *target.Client, service string, meta api.Meta, req *api.LookupRequest) (target.LookupAnswer, wire.TargetStatus, outcome.Outcome) {
	return c.Lookup(ctx, target.Request{ID: meta.RequestID, Timeout: timeLeft(ctx), Traceparent: meta.Traceparent},
		target.LookupBody{Service: service, ID: req.ID})
}

func lookupResponse(service string, meta api.Meta, a *target.LookupAnswer, start time.Time) *api.LookupResponse {
	return &api.LookupResponse{
		RequestID: meta.RequestID, Service: service, Outcome: outcome.Answered,
		Found: a.Found, Record: a.Record, Snapshot: a.Version, ElapsedMS: elapsedMS(start),
	}
}

// groupOf returns the group that holds a record's key.
func groupOf(tree *settings.Tree, service, id string) *settings.Group {
	groups := tree.Doc.Services[service].Groups
	i := slices.IndexFunc(groups, func(g settings.Group) bool { return g.Range.Contains(keyspace.KeyOf(id)) })
	return &groups[i] // a valid configuration covers every key
}
