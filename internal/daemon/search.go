package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Search asks every group of a service and merges the answers.
func (e *entry) Search(ctx context.Context, service string, meta api.Meta, req *api.SearchRequest) (*api.SearchResponse, outcome.Outcome) {
	if refused, ok := e.config.refusal(); ok {
		return nil, refused
	}
	start := time.Now()
	tree := e.config.tree()
	policy := tree.Effective(e.self.Place, service)
	ctx, cancel := context.WithTimeout(ctx, deadline(meta, policy))
	defer cancel()
	g := newGather(ctx, e, tree, policy, service, meta, req)
	g.start()
	g.wait()
	g.canary.shared.Wait()
	return g.response(start)
}

// gather is one search in progress. Its event loop runs on one goroutine, so
// its state needs no lock.
type gather struct {
	ctx     context.Context
	entry   *entry
	tree    *settings.Tree
	policy  *settings.Policy
	service string
	meta    api.Meta
	req     *api.SearchRequest
	id      string

	groups    map[string]*groupState
	open      int // groups without an answer and with a chance to get one
	merger    *coverage.Merger
	events    chan batchEvent
	replan    bool // the version vanished, start again on another one
	replanned bool
	mayRun    bool // some target may have run the query
	canary    canary
}

// groupState is the progress of one group.
type groupState struct {
	group    *settings.Group
	tried    map[string]bool
	attempts []*attempt
	retries  int
	done     bool
	last     outcome.Outcome // why the group has no answer
}

// attempt is one request for a group.
type attempt struct {
	path    routing.Path
	sent    time.Time
	version uint64
	batch   *batch
	ended   bool
}

// batch is the set of attempts that share one message to a branch host.
type batch struct {
	attempts map[string]*attempt // by group
	withdraw chan string
	cancel   context.CancelFunc
}

// batchEvent reports results of a batch, or its end.
type batchEvent struct {
	batch *batch
	parts []wire.PartResult
	ended bool
	err   error
}

func newGather(ctx context.Context, e *entry, tree *settings.Tree, policy *settings.Policy, service string, meta api.Meta, req *api.SearchRequest) *gather {
	g := &gather{
		ctx: ctx, entry: e, tree: tree, policy: policy, service: service, meta: meta, req: req,
		id: requestID(meta), groups: map[string]*groupState{},
	}
	groups := tree.Doc.Services[service].Groups
	for i := range groups {
		g.groups[groups[i].ID] = &groupState{
			group: &groups[i], tried: map[string]bool{},
			last: outcome.Refused(outcome.Unavailable, "no target is usable"),
		}
	}
	// Room for every result and the end of every batch, so that a batch never
	// blocks after the query has ended.
	g.events = make(chan batchEvent, 64)
	return g
}

// start picks the snapshot and sends the first attempt of every group.
func (g *gather) start() {
	groups := g.tree.Doc.Services[g.service].Groups
	targets := make([][]string, len(groups))
	g.entry.mu.Lock()
	for i := range groups {
		for _, o := range g.entry.options(g.tree, &groups[i], 0, nil).Options {
			if len(o.Owners) > 0 {
				targets[i] = append(targets[i], o.Target)
			}
		}
	}
	g.merger = coverage.NewMerger(g.entry.versions.Pick(targets))
	g.entry.mu.Unlock()
	g.open = len(g.groups)
	ids := make([]string, len(groups))
	for i := range groups {
		ids[i] = groups[i].ID
	}
	g.begin(ids)
}

// send plans one attempt for each of the groups and sends them, one message
// per branch host. A group without a usable target left is closed.
func (g *gather) send(ids []string) {
	now := time.Now()
	options := make([]routing.Group, 0, len(ids))
	g.entry.mu.Lock()
	for _, id := range ids {
		state := g.groups[id]
		options = append(options, g.canaryOwners(g.entry.options(g.tree, state.group, g.merger.Version(), state.tried)))
	}
	plan := g.entry.router.Plan(now, options)
	for _, a := range plan {
		g.entry.router.Sent(a.Path)
	}
	g.entry.mu.Unlock()

	planned := map[string]bool{}
	batches := map[seat][]routing.Assignment{}
	for _, a := range plan {
		planned[a.Group] = true
		at := seat{a.Path.Place, a.Path.Ordinal}
		batches[at] = append(batches[at], a)
	}
	for at, assignments := range batches {
		g.sendBatch(now, at, assignments)
	}
	for _, id := range ids {
		if !planned[id] {
			g.closeIfIdle(g.groups[id])
		}
	}
}

func (g *gather) sendBatch(now time.Time, at seat, assignments []routing.Assignment) {
	ctx, cancel := context.WithCancel(g.ctx)
	b := &batch{attempts: map[string]*attempt{}, withdraw: make(chan string, len(assignments)), cancel: cancel}
	req := &wire.SearchRequest{
		QueryID: g.id, Service: g.service, Terms: g.req.Terms, Limit: g.req.Limit, Version: g.merger.Version(),
		TimeoutMS: remaining(g.ctx).Milliseconds(), Class: uint8(class(g.meta, g.policy)), Traceparent: g.meta.Traceparent,
		Canary: g.canary.holding && g.canary.suspect,
	}
	for _, a := range assignments {
		state := g.groups[a.Group]
		state.tried[a.Path.Target] = true
		attempt := &attempt{path: a.Path, sent: now, version: req.Version, batch: b}
		state.attempts = append(state.attempts, attempt)
		b.attempts[a.Group] = attempt
		req.Parts = append(req.Parts, wire.PartRequest{Group: a.Group, Target: a.Path.Target})
	}
	go func() {
		defer cancel()
		err := g.entry.branches.search(ctx, at, req, b.withdraw, func(parts []wire.PartResult) {
			g.deliver(batchEvent{batch: b, parts: parts})
		})
		g.deliver(batchEvent{batch: b, ended: true, err: err})
	}()
}

// deliver hands an event to the loop unless the query has ended.
func (g *gather) deliver(event batchEvent) {
	select {
	case g.events <- event:
	case <-g.ctx.Done():
	}
}

// wait runs the event loop until the answer is complete, may end early, or the
// deadline passes.
func (g *gather) wait() {
	var early <-chan time.Time
	if g.policy.EarlyFinishAfter > 0 {
		timer := time.NewTimer(g.policy.EarlyFinishAfter)
		defer timer.Stop()
		early = timer.C
	}
	mayEndEarly := false
	enough := max(g.policy.EarlyFinishCoverage, g.req.MinCoverage)
	for g.open > 0 && !g.merger.Full() {
		if mayEndEarly && g.merger.Coverage() >= enough {
			break
		}
		select {
		case event := <-g.events:
			g.handle(event)
		case <-g.canary.again:
			g.begin(g.reopenAll())
		case <-g.canary.slow:
			g.canarySlow()
		case <-early:
			mayEndEarly = true
		case <-g.ctx.Done():
			g.abandon(outcome.Deadline)
			return
		}
	}
	g.abandon(outcome.Canceled)
}

func (g *gather) handle(event batchEvent) {
	var again []string
	for _, part := range event.parts {
		again = append(again, g.handlePart(event.batch, part)...)
	}
	if event.ended {
		again = append(again, g.handleEnd(event)...)
	}
	if g.replan {
		g.restart()
	} else if len(again) > 0 {
		g.send(again)
	}
	g.settle()
}

// restart gives up what was merged and plans the query again, once, because no
// target of some group serves its version any more.
func (g *gather) restart() {
	g.replan, g.replanned = false, true
	g.abandon(outcome.Canceled)
	for _, state := range g.groups {
		state.tried = map[string]bool{}
		state.attempts, state.retries, state.done = nil, 0, false
	}
	g.start()
}

// handlePart takes one result and returns the groups to be sent again.
func (g *gather) handlePart(b *batch, part wire.PartResult) []string {
	a, ok := b.attempts[part.Group]
	if !ok || a.ended || a.path.Target != part.Target {
		return nil // not something this query asked for
	}
	a.ended = true
	state := g.groups[part.Group]
	mayRetry := g.inspect(part)
	g.entry.observe(a.path, part.Outcome, part.Status, time.Duration(part.QueueUS+part.TargetUS)*time.Microsecond)
	if !part.Outcome.RanNothing() {
		g.mayRun = true
	}
	if state.done {
		return nil
	}
	if part.Outcome.Kind == outcome.Answered {
		return g.merge(state, part)
	}
	state.last = part.Outcome
	if !mayRetry {
		g.closeIfIdle(state)
		return nil
	}
	return g.retry(state, part.Outcome)
}

// merge adds an answer. An answer of another index version is not merged; its
// group is asked again for the query's version, once for the whole query.
func (g *gather) merge(state *groupState, part wire.PartResult) []string {
	err := g.merger.Add(coverage.Part{Version: part.Version, Covered: part.Covered, Records: part.Records})
	var wrongVersion *coverage.VersionError
	if errors.As(err, &wrongVersion) {
		state.last = outcome.Uncertain(outcome.VersionGone, "%v", err)
		delete(state.tried, part.Target) // it may serve the query's version as well
		return g.retry(state, state.last)
	}
	if !g.merger.Covers(state.group.Range) {
		// The target searched only a part of its range.
		state.last = outcome.Uncertain(outcome.Internal, "target %s covered its range in part", part.Target)
		return g.retry(state, state.last)
	}
	g.finish(state)
	return nil
}

// retry decides whether a group is sent again after an attempt ended without
// the group being covered.
func (g *gather) retry(state *groupState, o outcome.Outcome) []string {
	if o.Reason == outcome.VersionGone && !g.replanned && !g.versionServed(state) {
		g.replan = true
		return nil
	}
	if state.retries < g.policy.RetryLimit && g.ctx.Err() == nil {
		state.retries++
		return []string{state.group.ID}
	}
	g.closeIfIdle(state)
	return nil
}

// versionServed reports whether some target of the group may still serve the
// query's version.
func (g *gather) versionServed(state *groupState) bool {
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	return len(g.entry.options(g.tree, state.group, g.merger.Version(), nil).Options) > 0
}

// handleEnd takes the end of a batch: attempts without a result are lost.
func (g *gather) handleEnd(event batchEvent) []string {
	var again []string
	for id, a := range event.batch.attempts {
		if a.ended {
			continue
		}
		o := outcome.Uncertain(outcome.ConnLost, "%v", event.err)
		var notReached *notReachedError
		if errors.As(event.err, &notReached) {
			o = outcome.Refused(outcome.Unavailable, "%v", event.err)
		}
		again = append(again, g.handlePart(event.batch, wire.PartResult{Group: id, Target: a.path.Target, Outcome: o})...)
	}
	return again
}

// finish marks a group as covered and withdraws its other attempts.
func (g *gather) finish(state *groupState) {
	state.done = true
	g.open--
	for _, a := range state.attempts {
		if !a.ended {
			a.batch.withdraw <- state.group.ID
		}
	}
}

// closeIfIdle gives a group up if none of its attempts is in progress.
func (g *gather) closeIfIdle(state *groupState) {
	if state.done {
		return
	}
	for _, a := range state.attempts {
		if !a.ended {
			return
		}
	}
	state.done = true
	g.open--
}

// abandon cancels what is still in progress.
func (g *gather) abandon(reason outcome.Reason) {
	for _, state := range g.groups {
		for _, a := range state.attempts {
			if a.ended {
				continue
			}
			a.ended = true
			g.mayRun = true
			if !state.done {
				state.last = outcome.Uncertain(reason, "no answer within %s", time.Since(a.sent).Round(time.Millisecond))
			}
			a.batch.cancel()
			g.entry.observe(a.path, outcome.Uncertain(outcome.Canceled, ""), wire.TargetStatus{}, time.Since(a.sent))
		}
	}
}

// response builds the answer. It returns no answer if nothing was covered.
func (g *gather) response(start time.Time) (*api.SearchResponse, outcome.Outcome) {
	answer := &api.SearchResponse{
		RequestID: g.id, Service: g.service, Outcome: outcome.Answered,
		Coverage: g.merger.Coverage(), Snapshot: g.merger.Version(), ElapsedMS: milliseconds(time.Since(start)),
	}
	var missing outcome.Outcome
	for i := range g.tree.Doc.Services[g.service].Groups {
		state := g.groups[g.tree.Doc.Services[g.service].Groups[i].ID]
		if g.merger.Covers(state.group.Range) {
			continue
		}
		missing = state.last
		answer.Warnings = append(answer.Warnings, api.Warning{Group: state.group.ID, Reason: state.last.Reason, Message: state.last.Message})
	}
	if !g.merger.Full() {
		answer.Outcome = outcome.Partial
	}
	if answer.Coverage == 0 && !g.mayRun {
		return nil, outcome.Outcome{Kind: outcome.NotRun, Reason: missing.Reason, Message: missing.Message}
	}
	answer.Records = g.merger.Records(g.req.Limit)
	if answer.Records == nil {
		answer.Records = []coverage.Record{}
	}
	return answer, outcome.Outcome{Kind: answer.Outcome}
}
