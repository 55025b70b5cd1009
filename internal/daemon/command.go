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

// runCommand sends a command to a target. It tries another target only if the
// outcome of the earlier attempt is "not run".
func (e *entry) runCommand(ctx context.Context, req *wire.CommandRequest) wire.CommandReply {
	tree := e.config.tree()
	service, ok := tree.Doc.Services[req.Service]
	if !ok {
		return wire.CommandReply{Outcome: serviceGone(req.Service)}
	}
	group := groupOf(service.Groups, keyspace.KeyOf(req.ID))
	limit := tree.Effective(e.self.Place, req.Service).RetryLimit
	last := outcome.Refused(outcome.Unavailable, "no target of service %s is usable", req.Service)
	tried := map[string]bool{}
	for attempt := 0; attempt <= limit; attempt++ {
		if remaining(ctx) <= 0 || ctx.Err() != nil {
			return wire.CommandReply{Outcome: outcome.Refused(outcome.Deadline, "the deadline passed before the command was sent")}
		}
		if refused, ok := e.config.commandRefusal(); ok {
			return wire.CommandReply{Outcome: refused}
		}
		reply, sent := e.sendLookup(ctx, tree, group, tried, &wire.LookupRequest{
			RequestID: req.RequestID, Service: req.Service, ID: req.ID,
			Class: req.Class, Once: true, Traceparent: req.Traceparent, Tenant: req.Tenant, MaxWaitServiceTimes: maxWaitServiceTimes(attempt, limit),
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

// routeCommand passes a request to the home that its ticket names. Only the home
// may report "not run", because other hosts have no record of earlier sends of the
// request.
func (e *entry) routeCommand(ctx context.Context, req *wire.CommandRequest) wire.CommandReply {
	id, err := atmostonce.ParseID(req.RequestID)
	if err != nil {
		return wire.CommandReply{Outcome: outcome.Refused(outcome.Invalid, "a request to service %s needs a ticket in header %s: %v", req.Service, api.HeaderRequestID, err)}
	}
	if id.Ticket.Host == e.self.Name {
		return e.home.execute(ctx, id, req, nil)
	}
	if reply, ok := e.home.answerFromHandover(id, req); ok {
		if reply.Outcome.Kind == outcome.Unknown { // the host of the target may have the answer since
			return e.askSuccessors(ctx, id, req, reply.Outcome)
		}
		return reply
	}
	host, ok := e.directory.byName(id.Ticket.Host)
	if !ok {
		return e.askSuccessors(ctx, id, req, outcome.Uncertain(outcome.Unavailable, "home %s is not listed", id.Ticket.Host))
	}
	last := wire.CommandReply{Outcome: outcome.Uncertain(outcome.Unavailable, "home %s is unreachable", host.Name)}
	if !e.unreachable(host) {
		if last, err = e.forward(ctx, host, id, req, callerConnected, false); err == nil {
			return last
		}
	}
	last = e.forwardByRelay(ctx, id, req, e.askSuccessors(ctx, id, req, last.Outcome))
	if last.Outcome.Kind == outcome.Unknown && ctx.Err() == nil { // the path may just be slow
		last, _ = e.forward(ctx, host, id, req, callerConnected, true)
	}
	return last
}

// callerConnected is the confirmFunc of a host that holds the caller's connection.
func callerConnected(ctx context.Context) bool { return ctx.Err() == nil }

// forward sends a command to its home and caches the answer.
func (e *entry) forward(ctx context.Context, home platform.Host, id atmostonce.ID, req *wire.CommandRequest, confirm confirmFunc, noAlternative bool) (wire.CommandReply, error) {
	copied := *req
	reply, err := e.branches.command(ctx, home, &copied, confirm, noAlternative)
	if err == nil {
		e.home.cacheForwardedAnswer(id, req, reply)
	}
	return reply, err
}

// forwardByRelay sends a command to a home that is unreachable from this host
// through other hosts, one of each place in turn. Earlier sends have been canceled:
// of two in progress, one could be refused as "not run" while the other is confirmed
// and runs.
func (e *entry) forwardByRelay(ctx context.Context, id atmostonce.ID, req *wire.CommandRequest, last wire.CommandReply) wire.CommandReply {
	triedPlaces := map[string]bool{}
	for _, host := range e.directory.successors(id.Ticket.Host, e.self.Name) {
		if last.Outcome.Kind != outcome.Unknown || ctx.Err() != nil {
			break
		}
		if triedPlaces[host.Place] || e.unreachable(host) {
			continue
		}
		triedPlaces[host.Place] = true
		copied := *req
		copied.Relay = true
		if reply, err := e.branches.command(ctx, host, &copied, callerConnected, false); err == nil && reply.Outcome.Kind != outcome.Unknown {
			last = reply
			e.home.cacheForwardedAnswer(id, req, reply)
		}
	}
	return last
}

// relay forwards a command for a host from which the home is unreachable.
func (e *entry) relay(ctx context.Context, id atmostonce.ID, req *wire.CommandRequest, confirm confirmFunc) wire.CommandReply {
	host, ok := e.directory.byName(id.Ticket.Host)
	if !ok || e.unreachable(host) {
		return wire.CommandReply{Outcome: outcome.Uncertain(outcome.Unavailable, "home %s is unreachable", id.Ticket.Host)}
	}
	direct := *req
	direct.Relay = false
	reply, _ := e.forward(ctx, host, id, &direct, confirm, false)
	return reply
}

// unreachable reports whether a host is known to be unreachable from this host.
func (e *entry) unreachable(host platform.Host) bool {
	_, unreachable := e.hostState(host)
	return unreachable
}

// RefusalOutcome returns the outcome of a request that this host refuses before it
// looks at the service: o for a request without a ticket. Only the home of a ticket
// has a record of earlier sends. Other hosts return "unknown", because asking the home
// would cost more than the refusal saves.
func (e *entry) RefusalOutcome(requestID string, o outcome.Outcome) outcome.Outcome {
	id, err := atmostonce.ParseID(requestID)
	switch {
	case err != nil:
		return o // without a ticket the request is not a command
	case id.Ticket.Host != e.self.Name:
		return o.AsUnknown("only host " + id.Ticket.Host + " has a record of whether an earlier send of the request ran")
	}
	return e.home.recordRefusal(id, o)
}

// byName returns the listed host of a name, or false if none is listed. A leaving
// host counts, because it still runs the commands whose tickets name it.
func (d *directory) byName(name string) (platform.Host, bool) {
	for _, host := range d.hosts().list.Hosts {
		if host.Name == name {
			return host, true
		}
	}
	return platform.Host{}, false
}

// Ticket issues a ticket for a command.
func (e *entry) Ticket() api.TicketResponse {
	ttl := e.config.tree().Effective(e.self.Place, "").TicketTTL
	return api.TicketResponse{Host: e.self.Name, TicketPrefix: e.home.issueTicket(ttl).Prefix(), TTLMS: ttl.Milliseconds()}
}
