package daemon

import (
	"context"
	"math"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// sendLookup sends a lookup to the best target that was not tried, and adds the
// target to tried. It returns false if there is none.
func (e *entry) sendLookup(ctx context.Context, tree *settings.Tree, group *settings.Group, tried map[string]bool, req *wire.LookupRequest) (wire.LookupReply, bool) {
	e.mu.Lock()
	e.updateAvailability(time.Now())
	routingGroup := e.routingGroup(tree, group, 0, tried)
	routingGroup.Retry = len(tried) > 0
	if len(routingGroup.Candidates) < 2 {
		req.MaxWaitServiceTimes = 0 // no other target is left for a retry
	}
	choice, ok := e.router.Choose(time.Now(), routingGroup)
	if ok {
		e.router.Sent(choice.Path)
	}
	e.mu.Unlock()
	if !ok {
		return wire.LookupReply{}, false
	}
	if len(tried) > 0 {
		req.Cause = wire.CauseRetry
	}
	tried[choice.Path.Target] = true
	sent := time.Now()
	req.Target, req.TimeoutMS = choice.Path.Target, remaining(ctx).Milliseconds()
	reply := e.branches.lookup(ctx, ordinalID{choice.Path.Place, choice.Path.Ordinal}, req)
	e.observe(choice.Path, reply.Outcome, reply.Status, time.Since(sent))
	if reply.Outcome.Reason == outcome.PlaceOut {
		// The other targets of the place may be out as well, by a configuration that
		// is not in force on this host yet.
		for _, t := range group.Targets {
			tried[t.ID] = tried[t.ID] || t.Place == choice.Path.Place
		}
	}
	return reply, true
}

// serviceGone returns the refusal of a request to a service that the configuration had when its
// header was read, and has no more.
func serviceGone(service string) outcome.Outcome {
	return outcome.Refused(outcome.Invalid, "service %s does not exist any more", service)
}

// Lookup reads one record. A request of a command service goes through its home.
func (e *entry) Lookup(ctx context.Context, service string, meta api.Meta, req *api.LookupRequest) (*api.LookupResponse, outcome.Outcome) {
	start := time.Now()
	tree := e.config.tree()
	if _, ok := tree.Doc.Services[service]; !ok {
		return nil, e.RefusalOutcome(meta.RequestID, serviceGone(service))
	}
	policy := tree.Effective(e.self.Place, service)
	from, ok := e.identify(tree, service, meta.Credential)
	if !ok {
		return nil, e.RefusalOutcome(meta.RequestID, unknownKey())
	}
	from.applyPriority(&meta)
	ctx, cancel := context.WithTimeout(ctx, deadline(meta, policy))
	defer cancel()
	var reply wire.CommandReply
	if refused, ok := e.config.refusal(); ok && tree.Doc.Services[service].Kind != settings.KindCommand {
		reply.Outcome = refused
	} else if refused, ok := e.admitTenant(from); ok {
		reply.Outcome = e.RefusalOutcome(meta.RequestID, refused)
	} else if tree.Doc.Services[service].Kind == settings.KindCommand {
		reply = e.routeCommand(ctx, &wire.CommandRequest{
			RequestID: meta.RequestID, Service: service, ID: req.ID, TimeoutMS: remaining(ctx).Milliseconds(),
			Class: uint8(class(meta, policy)), Traceparent: meta.Traceparent, Tenant: from.name(),
		})
		e.returnToken(from, reply.Outcome)
	} else {
		reply = e.lookupWithRetry(ctx, tree, policy, from, &wire.LookupRequest{
			RequestID: requestID(meta), Service: service, ID: req.ID,
			Class: uint8(class(meta, policy)), Traceparent: meta.Traceparent, Tenant: from.name(),
		})
		e.returnToken(from, reply.Outcome)
	}
	if reply.Outcome.Kind != outcome.Answered {
		return nil, reply.Outcome
	}
	return &api.LookupResponse{
		RequestID: meta.RequestID, Service: service, Outcome: outcome.Answered, Found: reply.Found,
		Record: reply.Record, Snapshot: reply.Version, ElapsedMS: milliseconds(time.Since(start)),
	}, reply.Outcome
}

// maxWaitServiceTimes returns the longest wait of an attempt for a slot, in service times; 0
// means until the deadline. Early attempts wait briefly, because an entry host does
// not see the queues that other hosts fill: a refusal costs one message, while a
// request in a long queue cannot be moved.
func maxWaitServiceTimes(attempt, limit int) uint8 {
	if attempt >= limit {
		return 0
	}
	return uint8(min(attempt+1, math.MaxUint8))
}

// attemptQuarters is the share, in quarters, of the time left that an attempt of a
// lookup may take if another may follow. The branch host closes a silent connection
// after half of the attempt's time. With a third of the time left, 13 % of the
// answers of photo-archive took longer than that half.
const attemptQuarters = 3

// lookupWithRetry answers a lookup that may be repeated. After any failure it tries
// another target. An attempt without a reply does not use up the whole deadline.
func (e *entry) lookupWithRetry(ctx context.Context, tree *settings.Tree, policy *settings.Policy, from *caller, req *wire.LookupRequest) wire.CommandReply {
	group := groupOf(tree.Doc.Services[req.Service].Groups, keyspace.KeyOf(req.ID))
	last := outcome.Refused(outcome.Unavailable, "no target of service %s is usable", req.Service)
	tried := map[string]bool{}
	for attemptsLeft := policy.RetryLimit + 1; attemptsLeft > 0 && ctx.Err() == nil; attemptsLeft-- {
		if !from.mayStillSend() {
			last = worseOutcome(last, unknownKey())
			break
		}
		limit := remaining(ctx)
		if attemptsLeft > 1 {
			limit = limit * attemptQuarters / 4
		}
		attempt, cancel := context.WithTimeout(ctx, limit)
		req.MaxWaitServiceTimes = maxWaitServiceTimes(policy.RetryLimit+1-attemptsLeft, policy.RetryLimit)
		reply, sent := e.sendLookup(attempt, tree, group, tried, req)
		cancel()
		if !sent {
			break
		}
		if reply.Outcome.Kind == outcome.Answered {
			return wire.CommandReply{Outcome: reply.Outcome, Found: reply.Found, Record: reply.Record, Version: reply.Version}
		}
		last = worseOutcome(last, reply.Outcome)
	}
	return wire.CommandReply{Outcome: last}
}

// worseOutcome keeps "unknown" over a later "not run": an attempt may have run.
func worseOutcome(earlier, later outcome.Outcome) outcome.Outcome {
	if later.DidNotRun() && !earlier.DidNotRun() {
		return earlier
	}
	return later
}
