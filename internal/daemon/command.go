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
			Class: req.Class, Once: true, Traceparent: req.Traceparent, MaxWaitServiceTimes: queueTurns(attempt, limit),
		})
		if !sent {
			break
		}
		last = reply.Outcome
		if !last.DidNotRun() {
			return wire.CommandReply{Outcome: last, Found: reply.Found, Record: reply.Record, Version: reply.Version}
		}
	}
	return wire.CommandReply{Outcome: last}
}

// command brings a request to the home that its ticket names. Only the home
// may say "not run": this host does not know whether the request is a resend.
func (e *entry) routeCommand(ctx context.Context, req *wire.CommandRequest) wire.CommandReply {
	id, err := atmostonce.ParseID(req.RequestID)
	if err != nil {
		return wire.CommandReply{Outcome: outcome.Refused(outcome.Invalid, "a request to service %s needs a ticket in header %s: %v", req.Service, api.HeaderRequestID, err)}
	}
	if id.Ticket.Host == e.self.Name {
		return e.home.execute(ctx, id, req, nil)
	}
	if reply, ok := e.home.answerFromHandover(id, req); ok {
		return reply
	}
	host, ok := e.directory.byName(id.Ticket.Host)
	if !ok {
		return e.askSuccessors(ctx, id, req, outcome.Uncertain(outcome.Unavailable, "home %s is not listed", id.Ticket.Host))
	}
	last := wire.CommandReply{Outcome: outcome.Uncertain(outcome.Unavailable, "home %s is not reached", host.Name)}
	if !e.unreachable(host) {
		if last, err = e.forward(ctx, host, id, req, callerConnected, false); err == nil {
			return last
		}
	}
	last = e.forwardByRelay(ctx, id, req, e.askSuccessors(ctx, id, req, last.Outcome))
	if last.Outcome.Kind == outcome.Unknown && ctx.Err() == nil { // the path may only have become slow
		last, _ = e.forward(ctx, host, id, req, callerConnected, true)
	}
	return last
}

// callerWaits is the confirmation of a host that has the caller's connection.
func callerConnected(ctx context.Context) bool { return ctx.Err() == nil }

// forward brings a command to its home and keeps the answer.
func (e *entry) forward(ctx context.Context, home platform.Host, id atmostonce.ID, req *wire.CommandRequest, confirm confirmFunc, patient bool) (wire.CommandReply, error) {
	copied := *req
	reply, err := e.branches.command(ctx, home, &copied, confirm, patient)
	if err == nil {
		e.home.cacheForwardedAnswer(id, req, reply)
	}
	return reply, err
}

// detour brings a command to a home that this host does not reach through one
// host of each place after the other. The sends before it were given up:
// with two in progress, one could be refused as "not run" while the other is
// confirmed and runs.
func (e *entry) forwardByRelay(ctx context.Context, id atmostonce.ID, req *wire.CommandRequest, last wire.CommandReply) wire.CommandReply {
	asked := map[string]bool{}
	for _, host := range e.directory.successors(id.Ticket.Host, e.self.Name) {
		if last.Outcome.Kind != outcome.Unknown || ctx.Err() != nil {
			break
		}
		if asked[host.Place] || e.unreachable(host) {
			continue
		}
		asked[host.Place] = true
		copied := *req
		copied.Relay = true
		if reply, err := e.branches.command(ctx, host, &copied, callerConnected, false); err == nil && reply.Outcome.Kind != outcome.Unknown {
			last = reply
			e.home.cacheForwardedAnswer(id, req, reply)
		}
	}
	return last
}

// relay forwards a command for a host that does not reach its home.
func (e *entry) relay(ctx context.Context, id atmostonce.ID, req *wire.CommandRequest, confirm confirmFunc) wire.CommandReply {
	host, ok := e.directory.byName(id.Ticket.Host)
	if !ok || e.unreachable(host) {
		return wire.CommandReply{Outcome: outcome.Uncertain(outcome.Unavailable, "home %s is not reached", id.Ticket.Host)}
	}
	direct := *req
	direct.Relay = false
	reply, _ := e.forward(ctx, host, id, &direct, confirm, false)
	return reply
}

// unreached reports whether a host is known not to be reached from here.
func (e *entry) unreachable(host platform.Host) bool {
	_, silent := e.hostState(host)
	return silent
}

// RefusalOutcome returns what may be said of a request that this host refuses before
// it looks at the service. Only the home of a ticket knows whether an earlier
// send ran; asking another host would cost more than the refusal saves.
func (e *entry) RefusalOutcome(requestID string, o outcome.Outcome) outcome.Outcome {
	id, err := atmostonce.ParseID(requestID)
	switch {
	case err != nil:
		return o // without a ticket it is no request that may not be repeated
	case id.Ticket.Host != e.self.Name:
		return o.AsUnknown("only host " + id.Ticket.Host + " knows whether an earlier send of the request ran")
	}
	return e.home.recordRefusal(id, o)
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
	return api.TicketResponse{Host: e.self.Name, TicketPrefix: e.home.issueTicket(ttl).Prefix(), TTLMS: ttl.Milliseconds()}
}
