package daemon

import (
	"context"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Lookup reads one record. It tries another target only after an outcome that
// proves that the request did not run.
func (e *entry) Lookup(ctx context.Context, service string, meta api.Meta, req *api.LookupRequest) (*api.LookupResponse, outcome.Outcome) {
	if refused, ok := e.config.refusal(); ok {
		return nil, refused
	}
	start := time.Now()
	tree := e.config.tree()
	policy := tree.Effective(e.self.Place, service)
	ctx, cancel := context.WithTimeout(ctx, deadline(meta, policy))
	defer cancel()
	group := groupOf(tree.Doc.Services[service].Groups, keyspace.KeyOf(req.ID))
	tried := map[string]bool{}
	last := outcome.Refused(outcome.Unavailable, "no target of service %s is usable", service)
	for attempt := 0; attempt <= policy.RetryLimit && ctx.Err() == nil; attempt++ {
		e.mu.Lock()
		choice, ok := e.router.Next(time.Now(), e.options(tree, group, 0, tried))
		if ok {
			e.router.Sent(choice.Path)
		}
		e.mu.Unlock()
		if !ok {
			break
		}
		tried[choice.Path.Target] = true
		sent := time.Now()
		reply := e.branches.lookup(ctx, seat{choice.Path.Place, choice.Path.Ordinal}, &wire.LookupRequest{
			RequestID: requestID(meta), Service: service, ID: req.ID, Target: choice.Path.Target,
			TimeoutMS: remaining(ctx).Milliseconds(), Class: uint8(class(meta, policy)),
			Once: tree.Doc.Services[service].Kind == settings.KindCommand, Traceparent: meta.Traceparent,
		})
		e.observe(choice.Path, reply.Outcome, reply.Status, time.Since(sent))
		if reply.Outcome.Kind == outcome.Answered {
			return &api.LookupResponse{
				RequestID: meta.RequestID, Service: service, Outcome: outcome.Answered, Found: reply.Found,
				Record: reply.Record, Snapshot: reply.Version, ElapsedMS: milliseconds(time.Since(start)),
			}, reply.Outcome
		}
		last = reply.Outcome
		if !last.RanNothing() {
			break
		}
	}
	return nil, last
}
