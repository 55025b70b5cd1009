package bench

import (
	"context"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/target"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/ownership"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/snapshot"
)

// Flat scatters each query from the entry host to a searcher of every group. It routes
// by measured latency, chooses one index version per query, merges as PolicyTier does,
// retries requests that did not run and finishes early. It divides a target's
// connections among the hosts but not its slots, because hosts cannot share a slot
// without an owner. It does not hedge. It is safe for concurrent use.
type Flat struct {
	scatter
	router   *routing.Router    // guarded by scatter.mu
	versions *snapshot.Versions // guarded by scatter.mu
}

// NewFlat returns a Flat.
func NewFlat(opts ScatterOptions) *Flat {
	return &Flat{
		scatter: newScatter(opts), versions: snapshot.NewVersions(),
		router: routing.NewRouter(opts.Place, 0, opts.Rand),
	}
}

// candidates returns the usable targets of a group that were not tried yet. The caller
// holds f.mu.
func (f *Flat) candidates(tree *settings.Tree, g *settings.Group, version uint64, tried map[string]bool) routing.Group {
	result := routing.Group{ID: g.ID}
	for _, t := range g.Targets {
		info, ok := tree.Target(t.ID)
		if ok && !info.Out && tree.PlaceInService(t.Place) && !tried[t.ID] && f.versions.MayServe(t.ID, version) {
			result.Candidates = append(result.Candidates, routing.Candidate{Target: t.ID, Place: t.Place, Owners: []int{0}})
		}
	}
	return result
}

// chooseTarget chooses a target of a group and marks the target as tried. It returns false
// if none is left.
func (f *Flat) chooseTarget(tree *settings.Tree, g *settings.Group, version uint64, tried map[string]bool) (*settings.Target, routing.Path, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	choice, ok := f.router.Choose(time.Now(), f.candidates(tree, g, version, tried))
	if !ok {
		return nil, routing.Path{}, false
	}
	f.router.Sent(choice.Path)
	info, _ := tree.Target(choice.Path.Target)
	tried[choice.Path.Target] = true
	return &info.Target, choice.Path, true
}

func (f *Flat) observe(path routing.Path, o outcome.Outcome, status wire.TargetStatus, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.versions.Observe(now, path.Target, status.BootID, status.Versions)
	switch {
	case o.Kind == outcome.Answered:
		f.router.Answered(now, path, took)
	case o.Reason == outcome.Canceled:
		f.router.Canceled(now, path, took)
	default:
		f.router.Failed(now, path)
	}
}

// connectionShare returns this host's share of a target's connections, at least 1.
func (f *Flat) connectionShare(t *settings.Target) int {
	return max(1, ownership.Share(t.Connections, f.opts.Hosts-1, f.opts.Hosts))
}

// pickVersion chooses the index version of a query.
func (f *Flat) pickVersion(tree *settings.Tree, groups []settings.Group) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := make([][]string, len(groups))
	for i := range groups {
		for _, candidate := range f.candidates(tree, &groups[i], 0, nil).Candidates {
			targets[i] = append(targets[i], candidate.Target)
		}
	}
	counts := f.versions.CountVersions(targets)
	defer counts.Close()
	return counts.Pick()
}

// Search searches every group and merges the answers of one index version. The answer
// is nil if no group answered and no target may have run the search.
func (f *Flat) Search(ctx context.Context, service string, meta api.Meta, req *api.SearchRequest) (*api.SearchResponse, outcome.Outcome) {
	start := time.Now()
	tree := f.opts.Tree()
	policy := tree.Effective(f.opts.Place, service)
	ctx, cancel := f.requestContext(ctx, service, meta)
	defer cancel()
	groups := tree.Doc.Services[service].Groups
	merger := coverage.NewMerger(f.pickVersion(tree, groups))
	answers := make(chan groupAnswer, len(groups))
	for i := range groups {
		go func() { answers <- f.searchGroup(ctx, tree, policy, &groups[i], service, meta, req, merger.Version()) }()
	}
	missing := f.collect(ctx, policy, req, merger, groups, answers)
	result := &api.SearchResponse{
		RequestID: meta.RequestID, Service: service, Outcome: outcome.Answered,
		Coverage: merger.Coverage(), Snapshot: merger.Version(), ElapsedMS: elapsedMS(start),
		Records: merger.Records(req.Limit),
	}
	if result.Records == nil {
		result.Records = []coverage.Record{}
	}
	ran := false
	for i := range groups {
		if merger.Covers(groups[i].Range) {
			continue
		}
		m := missing[groups[i].ID]
		ran = ran || m.ran
		result.Warnings = append(result.Warnings, api.Warning{Group: groups[i].ID, Reason: m.outcome.Reason, Message: m.outcome.Message})
	}
	if !merger.Full() {
		result.Outcome = outcome.Partial
	}
	if result.Coverage == 0 && !ran {
		return nil, outcome.Refused(result.Warnings[0].Reason, "%s", result.Warnings[0].Message)
	}
	return result, outcome.Outcome{Kind: result.Outcome}
}

// collect merges answers until all groups have answered, the query may finish early or
// the deadline passes. It returns the result of each group that may be missing.
func (f *Flat) collect(ctx context.Context, policy *settings.Policy, req *api.SearchRequest, merger *coverage.Merger, groups []settings.Group, answers <-chan groupAnswer) map[string]groupAnswer {
	missing := map[string]groupAnswer{}
	for i := range groups {
		missing[groups[i].ID] = groupAnswer{outcome: outcome.Uncertain(outcome.Deadline, "no answer in time"), ran: true}
	}
	var early <-chan time.Time
	if policy.EarlyFinishAfter > 0 {
		timer := time.NewTimer(policy.EarlyFinishAfter)
		defer timer.Stop()
		early = timer.C
	}
	enough, mayEnd := max(policy.EarlyFinishCoverage, req.MinCoverage), false
	for left := len(groups); left > 0 && !(mayEnd && merger.Coverage() >= enough); {
		select {
		case a := <-answers:
			left--
			if a.outcome.Kind != outcome.Answered {
				missing[a.group.ID] = a
				continue
			}
			part := coverage.Part{Version: a.answer.Version, Covered: a.answer.Covered, Records: a.answer.Records}
			if err := merger.Add(part); err != nil {
				missing[a.group.ID] = groupAnswer{outcome: outcome.Uncertain(outcome.VersionGone, "%v", err), ran: true}
			}
		case <-early:
			mayEnd = true
		case <-ctx.Done():
			return missing
		}
	}
	return missing
}

func (f *Flat) searchGroup(ctx context.Context, tree *settings.Tree, policy *settings.Policy, g *settings.Group, service string, meta api.Meta, req *api.SearchRequest, version uint64) groupAnswer {
	result := groupAnswer{group: g, outcome: outcome.Refused(outcome.Unavailable, "no target of group %s is usable", g.ID)}
	tried := map[string]bool{}
	for range policy.RetryLimit + 1 {
		t, path, ok := f.chooseTarget(tree, g, version, tried)
		if !ok {
			break
		}
		sent := time.Now()
		var status wire.TargetStatus
		result.answer, status, result.outcome = f.client(t, f.connectionShare(t)).Search(ctx,
			target.Request{ID: meta.RequestID, Timeout: timeLeft(ctx), Traceparent: meta.Traceparent},
			target.SearchBody{Service: service, Terms: req.Terms, Limit: req.Limit, Version: version})
		f.observe(path, result.outcome, status, time.Since(sent))
		result.ran = result.ran || !result.outcome.DidNotRun()
		if result.outcome.Kind == outcome.Answered || ctx.Err() != nil {
			break
		}
	}
	return result
}

// Lookup reads one record. It tries another target only if the previous one did not run
// the lookup.
func (f *Flat) Lookup(ctx context.Context, service string, meta api.Meta, req *api.LookupRequest) (*api.LookupResponse, outcome.Outcome) {
	start := time.Now()
	tree := f.opts.Tree()
	ctx, cancel := f.requestContext(ctx, service, meta)
	defer cancel()
	o := outcome.Refused(outcome.Unavailable, "no target of service %s is usable", service)
	tried := map[string]bool{}
	for range tree.Effective(f.opts.Place, service).RetryLimit + 1 {
		t, path, ok := f.chooseTarget(tree, groupOf(tree, service, req.ID), 0, tried)
		if !ok {
			break
		}
		sent := time.Now()
		var answer target.LookupAnswer
		var status wire.TargetStatus
		answer, status, o = lookupOnTarget(ctx, f.client(t, f.connectionShare(t)), service, meta, req)
		f.observe(path, o, status, time.Since(sent))
		if o.Kind == outcome.Answered {
			return lookupResponse(service, meta, &answer, start), o
		}
		if !o.DidNotRun() {
			break
		}
	}
	return nil, o
}
