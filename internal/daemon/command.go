package daemon

import (
	"context"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/atmostonce"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// runCommand sends a command to a target. Another target is tried only after
// the earlier one certainly did not run it.
func (e *entry) runCommand(ctx context.Context, req *wire.CommandRequest) wire.CommandReply {
	tree := e.config.tree()
	group := groupOf(tree.Doc.Services[req.Service].Groups, keyspace.KeyOf(req.ID))
	limit := tree.Effective(e.self.Place, req.Service).RetryLimit
	last := outcome.Refused(outcome.Unavailable, "no target of service %s is usable", req.Service)
	tried := map[string]bool{}
	for attempt := 0; attempt <= limit; attempt++ {
		if remaining(ctx) <= 0 || ctx.Err() != nil {
			return wire.CommandReply{Outcome: outcome.Refused(outcome.Deadline, "the deadline passed before sending")}
		}
		if refused, ok := e.config.commandRefusal(); ok {
			return wire.CommandReply{Outcome: refused}
		}
		reply, sent := e.sendLookup(ctx, tree, group, tried, &wire.LookupRequest{
			RequestID: req.RequestID, Service: req.Service, ID: req.ID,
			Class: req.Class, Once: true, Traceparent: req.Traceparent, Turns: turns(attempt, limit),
		})
		if !sent {
			break
		}
		last = reply.Outcome
		if !last.RanNothing() {
			return wire.CommandReply{Outcome: last, Found: reply.Found, Record: reply.Record, Version: reply.Version}
		}
	}
	return wire.CommandReply{Outcome: last}
}

// command brings a request to the home that its ticket names. Only the home
// may say "not run": this host does not know whether the request is a resend.
func (e *entry) command(ctx context.Context, req *wire.CommandRequest) wire.CommandReply {
	id, err := atmostonce.ParseID(req.RequestID)
	if err != nil {
		return wire.CommandReply{Outcome: outcome.Refused(outcome.Invalid, "a request to service %s needs a ticket in header %s: %v", req.Service, api.HeaderRequestID, err)}
	}
	if id.Ticket.Host == e.self.Name {
		return e.home.do(ctx, id, req, nil)
	}
	if reply, ok := e.home.answerForGone(id, req); ok {
		return reply
	}
	host, ok := e.directory.byName(id.Ticket.Host)
	if !ok {
		return e.askOthers(ctx, id, req, outcome.Uncertain(outcome.Unavailable, "home %s is not listed", id.Ticket.Host))
	}
	reply, err := e.branches.command(ctx, host, req)
	if err != nil {
		return e.askOthers(ctx, id, req, reply.Outcome)
	}
	e.home.note(id, req, reply)
	return reply
}

// byName returns a listed host. A leaving host still runs its commands.
func (d *directory) byName(name string) (platform.Host, bool) {
	for _, host := range d.hosts().list.Hosts {
		if host.Name == name {
			return host, true
		}
	}
	return platform.Host{}, false
}

// Ticket issues a ticket for a request that may not be repeated.
func (e *entry) Ticket() api.TicketResponse {
	ttl := e.config.tree().Effective(e.self.Place, "").TicketTTL
	return api.TicketResponse{Host: e.self.Name, TicketPrefix: e.home.ticket(ttl).Prefix(), TTLMS: ttl.Milliseconds()}
}
