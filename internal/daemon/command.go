package daemon

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/atmostonce"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// commandLimits bound the table of requests. The durations are the upper
// bounds of ticket_ttl and deadline_max. At the default ticket_ttl a record
// lives 120 s, so the table holds 1,092 commands/s for each host.
var commandLimits = atmostonce.Limits{Records: 1 << 17, LongestTTL: time.Hour, LongestDeadline: time.Minute}

// goneLimits bound what is kept for homes that are gone: as many records that
// they handed over, and as many answers that passed by. Each kind takes 6 MB when
// full if an entry is as large as a record of a home (388 B, docs/CAPACITY.md).
var goneLimits = atmostonce.Limits{Records: 1 << 14, LongestTTL: commandLimits.LongestTTL, LongestDeadline: commandLimits.LongestDeadline}

// waitPoll is how often a shutdown looks whether commands are still running.
const waitPoll = 5 * time.Millisecond

// home runs the commands whose tickets name this host incarnation.
type home struct {
	self     *settings.Process
	entry    *entry
	inFlight atomic.Int64 // runs, and replies to other hosts

	mu       sync.Mutex // guards what follows
	registry *atmostonce.Registry[wire.CommandReply]
	running  map[string]*commandRun
	gone     *atmostonce.Successor[wire.CommandReply] // answers for homes that are gone
}

// commandRun is a command that is running. The reply is valid when done is closed.
type commandRun struct {
	done  chan struct{}
	reply wire.CommandReply
}

func newHome(self *settings.Process, incarnation uint64, entry *entry) *home {
	return &home{
		self: self, entry: entry, running: map[string]*commandRun{},
		registry: atmostonce.NewRegistry[wire.CommandReply](self.Name, incarnation, commandLimits),
		gone:     atmostonce.NewSuccessor[wire.CommandReply](goneLimits),
	}
}

// ticket issues a ticket that names this host incarnation.
func (h *home) ticket(ttl time.Duration) atmostonce.Ticket {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registry.Issue(time.Now(), ttl)
}

// wait blocks until no command is running or the context ends.
func (h *home) wait(ctx context.Context) {
	poll := time.NewTicker(waitPoll)
	defer poll.Stop()
	for h.inFlight.Load() > 0 && ctx.Err() == nil {
		select {
		case <-poll.C:
		case <-ctx.Done():
		}
	}
}

// do runs a command, or joins or replays an earlier run of it. The run goes on
// when the caller gives up, so that a resend finds its answer. confirm asks the
// sender whether its caller still waits; nil means that ctx tells.
func (h *home) do(ctx context.Context, id atmostonce.ID, req *wire.CommandRequest, confirm func(ctx context.Context) bool) wire.CommandReply {
	decision, run := h.begin(ctx, id, req, 0)
	for decision.Action == atmostonce.Confirm {
		if confirm != nil && !confirm(ctx) {
			return gaveUpCommand()
		}
		decision, run = h.begin(ctx, id, req, decision.Refusals)
	}
	switch decision.Action {
	case atmostonce.Refuse:
		return wire.CommandReply{Outcome: decision.Outcome}
	case atmostonce.Replay:
		return decision.Answer
	}
	select {
	case <-run.done:
		return run.reply
	case <-ctx.Done():
		return wire.CommandReply{Outcome: outcome.Uncertain(outcome.Deadline, "the command is still running")}
	}
}

// begin decides on a command and starts its run if there is to be one.
func (h *home) begin(ctx context.Context, id atmostonce.ID, req *wire.CommandRequest, confirmed uint64) (atmostonce.Decision[wire.CommandReply], *commandRun) {
	if ctx.Err() != nil { // nobody waits for a run that would start now
		return atmostonce.Decision[wire.CommandReply]{Action: atmostonce.Refuse, Outcome: gaveUpCommand().Outcome}, nil
	}
	key := id.String()
	h.mu.Lock()
	defer h.mu.Unlock()
	decision := h.registry.Begin(time.Now(), id, digest(req), confirmed)
	run := h.running[key]
	if decision.Action == atmostonce.Run {
		run = &commandRun{done: make(chan struct{})}
		h.running[key] = run
		h.inFlight.Add(1)
		go h.run(context.WithoutCancel(ctx), id, req, run)
	}
	return decision, run
}

func gaveUpCommand() wire.CommandReply {
	return wire.CommandReply{Outcome: outcome.Uncertain(outcome.Canceled, "the sender gave up")}
}

// run executes a command and records its result.
func (h *home) run(ctx context.Context, id atmostonce.ID, req *wire.CommandRequest, run *commandRun) {
	defer h.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMS)*time.Millisecond)
	defer cancel()
	reply := h.entry.runCommand(ctx, req)
	h.mu.Lock()
	h.registry.Finish(time.Now(), id, reply.Outcome, reply)
	delete(h.running, id.String())
	h.mu.Unlock()
	run.reply = reply
	close(run.done)
}

// digest identifies the body of a command.
func digest(req *wire.CommandRequest) uint64 {
	return xxhash.Sum64String(req.Service + "\x00" + req.ID)
}

// serve answers a command stream of another host.
func (h *home) serve(ctx context.Context, s *peer.Stream) {
	var req wire.CommandRequest
	if err := s.Receive(&req); err != nil {
		s.Reset()
		return
	}
	h.inFlight.Add(1) // a shutdown waits until the reply is on its way
	defer h.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMS)*time.Millisecond)
	defer cancel()
	ctx, span, parent := h.entry.observer.branch(ctx, req.Traceparent, "home command", req.Service, h.entry.self)
	req.Traceparent = parent
	reply := h.receive(ctx, &req, func(ctx context.Context) bool { return stillWanted(ctx, s) })
	endWith(span, reply.Outcome)
	if err := s.Send(&reply); err != nil {
		s.Reset()
		return
	}
	awaitReceipt(s)
}

// receiptLimit bounds the wait for a sender that is gone. It is several round
// trips with a lost packet between the most distant places.
const receiptLimit = 500 * time.Millisecond

// awaitReceipt blocks until the sender has read the reply, which it shows by
// ending the stream. A reply that was only written is lost if the transport
// closes.
func awaitReceipt(s *peer.Stream) {
	stop := time.AfterFunc(receiptLimit, s.Reset)
	defer stop.Stop()
	var none wire.CommandRequest
	_ = s.Receive(&none) // fails when the stream ends
}

// stillWanted asks the sender of a command whether its caller still waits. A
// sender that gave up has reset the stream.
func stillWanted(ctx context.Context, s *peer.Stream) bool {
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	var yes wire.CommandConfirm
	return s.Send(&wire.CommandReply{Confirm: true}) == nil && s.Receive(&yes) == nil
}

// receive checks a forwarded command before it is run.
func (h *home) receive(ctx context.Context, req *wire.CommandRequest, confirm func(ctx context.Context) bool) wire.CommandReply {
	id, err := atmostonce.ParseID(req.RequestID)
	if err != nil {
		return wire.CommandReply{Outcome: outcome.Refused(outcome.Invalid, "%v", err)}
	}
	service, ok := h.entry.config.tree().Doc.Services[req.Service]
	if !ok || service.Kind != settings.KindCommand {
		// The sender's configuration differs from this host's, and the
		// command may have run under the other one.
		return wire.CommandReply{Outcome: outcome.Uncertain(outcome.Unavailable, "service %s is no command service here", req.Service)}
	}
	if reply, ok := h.answerForGone(id, req); ok {
		return reply
	}
	return h.do(ctx, id, req, confirm)
}

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

// sendLookup sends a lookup to the best target that was not tried. It returns
// false if there is none.
func (e *entry) sendLookup(ctx context.Context, tree *settings.Tree, group *settings.Group, tried map[string]bool, req *wire.LookupRequest) (wire.LookupReply, bool) {
	e.mu.Lock()
	e.markSilent(time.Now())
	options := e.options(tree, group, 0, tried)
	options.Retry = len(tried) > 0
	if len(options.Options) < 2 {
		req.Turns = 0 // no other target could be asked after this one
	}
	choice, ok := e.router.Next(time.Now(), options)
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
	reply := e.branches.lookup(ctx, seat{choice.Path.Place, choice.Path.Ordinal}, req)
	e.observe(choice.Path, reply.Outcome, reply.Status, time.Since(sent))
	if reply.Outcome.Reason == outcome.PlaceOut {
		// The other targets of the place may be out as well, by a configuration
		// that is not in force here yet.
		for _, t := range group.Targets {
			tried[t.ID] = tried[t.ID] || t.Place == choice.Path.Place
		}
	}
	return reply, true
}

// Lookup reads one record, through the home if the request may not be repeated.
func (e *entry) Lookup(ctx context.Context, service string, meta api.Meta, req *api.LookupRequest) (*api.LookupResponse, outcome.Outcome) {
	start := time.Now()
	tree := e.config.tree()
	policy := tree.Effective(e.self.Place, service)
	ctx, cancel := context.WithTimeout(ctx, deadline(meta, policy))
	defer cancel()
	var reply wire.CommandReply
	if tree.Doc.Services[service].Kind == settings.KindCommand {
		reply = e.command(ctx, &wire.CommandRequest{
			RequestID: meta.RequestID, Service: service, ID: req.ID, TimeoutMS: remaining(ctx).Milliseconds(),
			Class: uint8(class(meta, policy)), Traceparent: meta.Traceparent,
		})
	} else if refused, ok := e.config.refusal(); ok {
		reply.Outcome = refused
	} else {
		reply = e.read(ctx, tree, policy, &wire.LookupRequest{
			RequestID: requestID(meta), Service: service, ID: req.ID,
			Class: uint8(class(meta, policy)), Traceparent: meta.Traceparent,
		})
	}
	if reply.Outcome.Kind != outcome.Answered {
		return nil, reply.Outcome
	}
	return &api.LookupResponse{
		RequestID: meta.RequestID, Service: service, Outcome: outcome.Answered, Found: reply.Found,
		Record: reply.Record, Snapshot: reply.Version, ElapsedMS: milliseconds(time.Since(start)),
	}, reply.Outcome
}

// turns returns how long an attempt may wait for a slot, in service times. An
// entry host does not see the queues that others fill; a short queue that
// refuses costs one message, while a request in a long one cannot be moved.
func turns(attempt, limit int) uint8 {
	if attempt >= limit {
		return 0
	}
	return uint8(min(attempt+1, math.MaxUint8))
}

// readPart is the part, in quarters, of the time left that an attempt of a
// lookup may take if others may follow. The branch host gives up a silent
// connection after half of it; with a third of the time left, half of it was
// shorter than 13 % of the answers of photo-archive.
const readPart = 3

// read answers a lookup that may be repeated. It tries another target after
// any failure. One silent target or host does not use up the deadline.
func (e *entry) read(ctx context.Context, tree *settings.Tree, policy *settings.Policy, req *wire.LookupRequest) wire.CommandReply {
	group := groupOf(tree.Doc.Services[req.Service].Groups, keyspace.KeyOf(req.ID))
	last := outcome.Refused(outcome.Unavailable, "no target of service %s is usable", req.Service)
	tried := map[string]bool{}
	for left := policy.RetryLimit + 1; left > 0 && ctx.Err() == nil; left-- {
		limit := remaining(ctx)
		if left > 1 {
			limit = limit * readPart / 4
		}
		attempt, cancel := context.WithTimeout(ctx, limit)
		req.Turns = turns(policy.RetryLimit+1-left, policy.RetryLimit)
		reply, sent := e.sendLookup(attempt, tree, group, tried, req)
		cancel()
		if !sent {
			break
		}
		if reply.Outcome.Kind == outcome.Answered {
			return wire.CommandReply{Outcome: reply.Outcome, Found: reply.Found, Record: reply.Record, Version: reply.Version}
		}
		last = worse(last, reply.Outcome)
	}
	return wire.CommandReply{Outcome: last}
}

// worse keeps "unknown" over a later "not run": some attempt may have run.
func worse(before, now outcome.Outcome) outcome.Outcome {
	if now.RanNothing() && !before.RanNothing() {
		return before
	}
	return now
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

// command forwards a command to its home, or to another host that may know what
// became of it. With an error, the outcome is unknown.
func (c *branchClient) command(ctx context.Context, host platform.Host, req *wire.CommandRequest) (reply wire.CommandReply, err error) {
	ctx, span, parent := c.observer.message(ctx, req.Traceparent, "command message", seat{host.Place, host.Ordinal})
	req.Traceparent = parent
	defer func() { endWith(span, reply.Outcome) }()
	s, err := c.transport.Open(ctx, host.Peers, wire.ExchangeCommand)
	if err == nil {
		defer s.Reset()
		stop := context.AfterFunc(ctx, s.Reset)
		defer stop()
		req.TimeoutMS = remaining(ctx).Milliseconds() // dialling took a part of it
		if err = s.Send(req); err == nil {
			reply, err = awaitReply(ctx, s)
		}
	}
	if err == nil {
		return reply, nil
	}
	reason := outcome.Unavailable
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = outcome.Deadline
	}
	return wire.CommandReply{Outcome: outcome.Uncertain(reason, "home %s did not answer: %v", host.Name, err)}, err
}

// awaitReply reads the result of a command and confirms meanwhile, as often as
// the home asks, that the caller still waits.
func awaitReply(ctx context.Context, s *peer.Stream) (wire.CommandReply, error) {
	for {
		var reply wire.CommandReply
		if err := s.Receive(&reply); err != nil || !reply.Confirm {
			return reply, err
		}
		if err := ctx.Err(); err != nil {
			return wire.CommandReply{}, err
		}
		if err := s.Send(&wire.CommandConfirm{}); err != nil {
			return wire.CommandReply{}, err
		}
	}
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

// serveCommand answers a command stream as soon as the daemon is complete and
// has a configuration.
func (d *Daemon) serveCommand(ctx context.Context, s *peer.Stream) {
	for _, first := range []<-chan struct{}{d.wired, d.config.first, d.directory.first} {
		select {
		case <-first:
		case <-ctx.Done():
			s.Reset()
			return
		}
	}
	d.entry.home.serve(ctx, s)
}
