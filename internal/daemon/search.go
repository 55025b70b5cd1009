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

// Search asks every group of a service and merges the answers. The response is nil if
// the query was refused or did not run on any target; the outcome says why.
func (e *entry) Search(ctx context.Context, service string, meta api.Meta, req *api.SearchRequest) (*api.SearchResponse, outcome.Outcome) {
	if refused, ok := e.config.refusal(); ok {
		return nil, refused
	}
	start := time.Now()
	tree := e.config.tree()
	if tree.Doc.Services[service].Kind != settings.KindSearch {
		return nil, serviceGone(service)
	}
	policy := tree.Effective(e.self.Place, service)
	from, ok := e.identify(tree, service, meta.Credential)
	if !ok {
		return nil, unknownKey()
	}
	from.applyPriority(&meta)
	ctx, cancel := context.WithTimeout(ctx, deadline(meta, policy))
	defer cancel()
	query, refusal := e.admission.admit(service, class(meta, policy), deadline(meta, policy))
	if query == nil {
		return nil, refusal
	}
	defer func() { query.end(errors.Is(ctx.Err(), context.Canceled)) }()
	if refused, ok := e.admitTenant(from); ok {
		return nil, refused
	}
	g := newGather(ctx, e, tree, policy, service, meta, req)
	g.caller = from
	g.admitted = query
	g.start()
	g.runLoop()
	e.observer.countHedges(service, g.groups)
	g.markCleared()
	g.canary.notifications.Wait()
	answer, o := g.response(start)
	e.returnToken(from, o)
	return answer, o
}

// gather is one search in progress. Its event loop runs on one goroutine, so its
// state needs no lock, except the shared serviceState.
type gather struct {
	ctx     context.Context
	entry   *entry
	policy  *settings.Policy
	service string
	meta    api.Meta
	req     *api.SearchRequest
	id      string
	started time.Time

	state        *serviceState // shared with other searches; entry.mu guards it
	groups       []*groupState
	byID         map[string]*groupState
	openGroups   int // groups that are not done
	openAttempts int // attempts in progress
	merger       *coverage.Merger
	events       chan batchEvent
	timer        *time.Timer   // fires when the next group is due
	versionProbe *groupState   // group that is asked first, for its newest version
	heldForProbe []*groupState // groups that wait for versionProbe
	replanNeeded bool          // the version is no longer served; start again with another one
	replanned    bool
	mayHaveRun   bool // at least one target may have run the query
	admitted     *admittedQuery
	canary       canaryState
	caller       *caller
	keyWithdrawn bool // the caller's key was withdrawn before a send
}

// groupState is the progress of one group in a search.
type groupState struct {
	planned        *plannedGroup
	attempts       []*attempt
	retries        int
	hedges         int
	silentRetries  int       // retries after a silent connection
	dueAt          time.Time // when the timer acts on the group; zero for never
	gap            bool      // an answer covered only a part of the range
	gapRounds      int       // rounds of searching for the missing keys so far
	firstWasBusy   bool      // the first attempt was refused as busy
	retryPending   bool      // a retry waits for a token or for notices
	trial          bool      // the first attempt is a trial and is hedged at once
	canaryTarget   string    // if set, the only target for a canary
	boundTarget    string    // if set, the only target for a bound query
	awaitsNotices  bool      // waits for quarantine notices, since the target may have crashed while it ran the query
	connectionLost bool      // a target's connection was lost while it ran the query
	outPlace       string    // a place that refused because it or its target is out
	restricted     bool      // the query crashed a target of the group; further attempts for the group are canaries
	done           bool
	lastOutcome    outcome.Outcome // why the group has no answer
}

// inProgress returns the number of attempts without a result.
func (s *groupState) inProgress() int {
	n := 0
	for _, a := range s.attempts {
		if !a.ended {
			n++
		}
	}
	return n
}

// tried reports whether a target was sent an attempt and may not get another.
func (s *groupState) tried(target string) bool {
	for _, a := range s.attempts {
		if a.path.Target == target && !a.repeatable {
			return true
		}
	}
	return false
}

// maySend reports whether an attempt for the group may be sent to a target.
func (s *groupState) maySend(target string) bool {
	if s.canaryTarget != "" && s.canaryTarget != target || s.boundTarget != "" && s.boundTarget != target {
		return false
	}
	return len(s.attempts) == 0 || !s.tried(target)
}

// attempt is one sub-request for a group.
type attempt struct {
	path  routing.Path
	sent  time.Time
	batch *batch
	ended bool
	// answered is set if the answer was merged.
	answered      bool
	cause         wire.Cause
	gap           bool // searches for missing keys of the group
	hedge         bool // a hedge, which took a token
	unboundedWait bool // may wait for a slot until the deadline
	repeatable    bool // the target may get another attempt
}

// batch is the set of attempts that share one message to a branch host.
type batch struct {
	at                ordinalID
	sent              time.Time
	local             bool
	roundTripMeasured bool                // the round trip to the branch host was estimated from this batch
	attempts          map[string]*attempt // by group
	cancelGroups      chan string
	cancel            context.CancelFunc
}

// batchEvent carries results of a batch, or its end.
type batchEvent struct {
	batch   *batch
	arrived time.Time
	parts   []wire.PartResult
	ended   bool
	err     error
}

func newGather(ctx context.Context, e *entry, tree *settings.Tree, policy *settings.Policy, service string, meta api.Meta, req *api.SearchRequest) *gather {
	g := &gather{
		ctx: ctx, entry: e, policy: policy, service: service, meta: meta, req: req,
		id: requestID(meta), started: time.Now(), byID: map[string]*groupState{},
		events: make(chan batchEvent, 64), caller: &caller{config: e.config, service: service, identifiedBy: tree},
	}
	e.mu.Lock()
	g.state = e.service(tree, service)
	planned := g.state.groups
	e.mu.Unlock()
	g.groups = make([]*groupState, len(planned))
	for i, p := range planned {
		g.groups[i] = newGroupState(p)
		g.byID[p.group.ID] = g.groups[i]
	}
	return g
}

func newGroupState(p *plannedGroup) *groupState {
	return &groupState{planned: p, lastOutcome: outcome.Refused(outcome.Unavailable, "no target is usable")}
}

// start picks the snapshot and starts the query on every group.
func (g *gather) start() {
	g.entry.mu.Lock()
	version := g.state.counts.Pick()
	if g.replanned {
		version = g.state.counts.PickAfter(g.merger.Version())
	}
	g.entry.mu.Unlock()
	g.merger = coverage.NewMerger(version)
	g.openGroups = len(g.groups)
	g.begin(g.groups)
}

// sendAll sends the groups. While no version is known it sends one group first, as
// a probe: asking all groups for their newest version would give answers of
// different versions, which cannot be merged.
func (g *gather) sendAll(states []*groupState) {
	if g.merger.Version() == 0 && len(states) > 1 {
		g.versionProbe, g.heldForProbe = states[0], states[1:]
		states = states[:1]
	}
	g.send(states)
	g.sendAfterProbe()
}

// sendAfterProbe sends the remaining groups once the probe has answered or failed.
func (g *gather) sendAfterProbe() {
	if g.versionProbe != nil && (g.merger.Version() != 0 || g.versionProbe.done) {
		held := g.heldForProbe
		g.versionProbe, g.heldForProbe = nil, nil
		g.send(held)
	}
}

// runLoop runs the event loop until the answer is complete, early finish applies or
// the deadline passes.
func (g *gather) runLoop() {
	var early <-chan time.Time
	if g.policy.EarlyFinishAfter > 0 {
		timer := time.NewTimer(g.policy.EarlyFinishAfter)
		defer timer.Stop()
		early = timer.C
	}
	g.timer = time.NewTimer(0)
	defer g.timer.Stop()
	mayEndEarly := false
	enough := max(g.policy.EarlyFinishCoverage, g.req.MinCoverage)
	for g.openGroups > 0 && !g.merger.Full() {
		if mayEndEarly && g.merger.Coverage() >= enough {
			break
		}
		select {
		case event := <-g.events:
			g.handleEvent(event)
		case <-g.timer.C:
			g.handleTimer()
		case <-g.canary.retryTimer:
			g.begin(g.reopenIdle())
		case <-g.canary.slowTimer:
			g.handleSlowCanary()
		case <-early:
			mayEndEarly = true
		case <-g.ctx.Done():
			g.abandonOpen(outcome.Deadline)
			return
		}
	}
	g.abandonOpen(outcome.Canceled)
}

// handleEvent merges the results of an event and sends what follows from them: retries,
// groups that waited for the probe, searches for missing keys and canaries.
func (g *gather) handleEvent(event batchEvent) {
	g.entry.observeLink(event.batch, event.parts, event.arrived)
	var resend []*groupState
	for i := range event.parts {
		resend = append(resend, g.handlePart(event.batch, &event.parts[i], event.arrived)...)
	}
	if event.ended {
		resend = append(resend, g.handleBatchEnd(event)...)
	}
	if g.replanNeeded {
		g.restart()
		return
	}
	if len(resend) > 0 {
		g.send(resend)
	}
	g.sendAfterProbe()
	g.fillGaps()
	g.advanceCanary()
}

// restart discards the merged results and plans the query again with another
// version, because no target of some group serves the first one any more. It runs at
// most once per query.
func (g *gather) restart() {
	g.replanNeeded, g.replanned = false, true
	g.abandonOpen(outcome.Canceled)
	g.entry.mu.Lock()
	g.state.counts.Invalidate(g.started)
	g.entry.mu.Unlock()
	g.entry.observer.countHedges(g.service, g.groups)
	g.versionProbe, g.heldForProbe = nil, nil
	for i, state := range g.groups {
		g.groups[i] = newGroupState(state.planned)
		g.byID[state.planned.group.ID] = g.groups[i]
	}
	g.start()
}

// abandonOpen cancels all attempts in progress and records the reason for groups
// without an answer.
func (g *gather) abandonOpen(reason outcome.Reason) {
	for _, state := range g.groups {
		for _, a := range state.attempts {
			if a.ended {
				continue
			}
			if !state.done {
				// An attempt without a bound on its wait is most likely queued;
				// one with a bound is running, or it would have been refused.
				if a.unboundedWait && !a.hedge {
					g.admitted.recordUnfinished(time.Since(state.attempts[0].sent))
				}
				state.lastOutcome = outcome.Uncertain(reason, "no answer within %s", time.Since(a.sent).Round(time.Millisecond))
			}
			g.abandonAttempt(state, a)
			a.batch.cancel()
		}
	}
}

// abandonAttempt ends an attempt whose answer is no longer needed.
func (g *gather) abandonAttempt(state *groupState, a *attempt) {
	a.ended = true
	g.openAttempts--
	g.mayHaveRun = true
	g.entry.observeAbandoned(g.state, state.planned.group.ID, a)
}

// response builds the answer. It returns nil and a "not run" outcome if nothing was
// covered and no target can have run the query.
func (g *gather) response(start time.Time) (*api.SearchResponse, outcome.Outcome) {
	answer := &api.SearchResponse{RequestID: g.id, Service: g.service, Outcome: outcome.Answered, Snapshot: g.merger.Version()}
	if !g.merger.Full() {
		answer.Outcome = outcome.Partial
		g.expectRecords()
	}
	answer.Coverage = g.merger.Coverage()
	var missing outcome.Outcome
	for _, state := range g.groups {
		if g.merger.Full() || g.merger.Covers(state.planned.group.Range) {
			continue
		}
		missing = state.lastOutcome
		answer.Warnings = append(answer.Warnings, api.Warning{Group: state.planned.group.ID, Reason: state.lastOutcome.Reason, Message: state.lastOutcome.Message})
	}
	if answer.Coverage == 0 && !g.mayHaveRun {
		if g.keyWithdrawn {
			return nil, unknownKey()
		}
		return nil, outcome.Outcome{Kind: outcome.NotRun, Reason: missing.Reason, Message: missing.Message}
	}
	answer.Records = g.merger.Records(g.req.Limit)
	if answer.Records == nil {
		answer.Records = []coverage.Record{}
	}
	answer.ElapsedMS = milliseconds(time.Since(start))
	return answer, outcome.Outcome{Kind: answer.Outcome}
}

// expectRecords passes to the merger those record counts of groups that were
// reported for the query's version.
func (g *gather) expectRecords() {
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	for _, state := range g.groups {
		if p := state.planned; p.recordsVersion == g.merger.Version() {
			g.merger.ExpectRecords(p.records)
		}
	}
}
