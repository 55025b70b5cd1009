package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/atmostonce"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// commandLimits bound the run records. The durations are the upper bounds of
// ticket_ttl and deadline_max. At the default ticket_ttl a record is kept for 120 s, so
// the table suffices for 1,092 commands/s per host.
var commandLimits = atmostonce.Limits{MaxRecords: 1 << 17, MaxTTL: time.Hour, MaxDeadline: time.Minute}

// handoverLimits bound the data kept for homes that have stopped or crashed:
// MaxRecords applies to the records that they handed over and, separately, to the
// answers that this host cached. Each kind takes 6 MB when full, at the size of a
// home's run record (388 B, docs/CAPACITY.md).
var handoverLimits = atmostonce.Limits{MaxRecords: 1 << 14, MaxTTL: commandLimits.MaxTTL, MaxDeadline: commandLimits.MaxDeadline}

// shutdownPollInterval is how often a shutdown checks for running commands.
const shutdownPollInterval = 5 * time.Millisecond

// home runs the commands whose tickets name this host incarnation, and keeps their
// run records. It is safe for concurrent use.
type home struct {
	self     *settings.Process
	entry    *entry
	inFlight atomic.Int64 // runs and replies to other hosts in progress
	// ending is done when commands of other hosts must be answered, finished or not.
	ending context.Context

	mu        sync.Mutex // guards what follows
	registry  *atmostonce.Registry[wire.CommandReply]
	running   map[string]*commandRun
	handovers *atmostonce.HandoverStore[wire.CommandReply] // answers for homes that stopped or crashed
}

// commandRun is a running command. The reply is valid once done is closed.
type commandRun struct {
	done  chan struct{}
	reply wire.CommandReply
}

func newHome(self *settings.Process, incarnation uint64, entry *entry, ending context.Context) *home {
	return &home{
		self: self, entry: entry, running: map[string]*commandRun{}, ending: ending,
		registry:  atmostonce.NewRegistry[wire.CommandReply](self.Name, incarnation, commandLimits),
		handovers: atmostonce.NewHandoverStore[wire.CommandReply](handoverLimits),
	}
}

// issueTicket returns a new ticket that names this host incarnation.
func (h *home) issueTicket(ttl time.Duration) atmostonce.Ticket {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registry.Issue(time.Now(), ttl)
}

// waitIdle blocks until no run and no reply to another host is in progress, or the
// context ends.
func (h *home) waitIdle(ctx context.Context) {
	poll := time.NewTicker(shutdownPollInterval)
	defer poll.Stop()
	for h.inFlight.Load() > 0 && ctx.Err() == nil {
		select {
		case <-poll.C:
		case <-ctx.Done():
		}
	}
}

// execute runs a command, joins its run in progress or returns the recorded answer.
// A run continues when the caller cancels, so that a resend gets the answer. confirm
// asks the sender whether its caller still waits; if nil, ctx ends when the caller
// no longer waits.
func (h *home) execute(ctx context.Context, id atmostonce.ID, req *wire.CommandRequest, confirm confirmFunc) wire.CommandReply {
	decision, run := h.begin(ctx, id, req, 0)
	for decision.Action == atmostonce.Confirm {
		if confirm != nil && !confirm(ctx) {
			return canceledReply()
		}
		decision, run = h.begin(ctx, id, req, decision.Refusals)
	}
	switch decision.Action {
	case atmostonce.Refuse:
		return wire.CommandReply{Outcome: h.entry.asOtherCaller(req, decision.Outcome)}
	case atmostonce.Replay:
		if decision.Outcome.Kind == outcome.Unknown {
			return h.recoverAnswer(ctx, id, req, decision.Answer)
		}
		return decision.Answer
	}
	select {
	case <-run.done:
		return run.reply
	case <-ctx.Done():
		return wire.CommandReply{Outcome: outcome.Uncertain(outcome.Deadline, "the command is still running")}
	}
}

// begin returns the decision of the registry on a command, and starts the run of the
// command if the decision is Run. The commandRun is nil if the command is not running.
//
// A command that may outlast the shutdown of this host is not run: whether it ran would then
// be unknown to its caller. One that is running or has ended needs no further time.
func (h *home) begin(ctx context.Context, id atmostonce.ID, req *wire.CommandRequest, confirmed uint64) (atmostonce.Decision[wire.CommandReply], *commandRun) {
	if !h.entry.admits(h.ending, drain.Request{Limit: time.Duration(req.TimeoutMS) * time.Millisecond}) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if now := time.Now(); !h.registry.Recorded(now, id) {
			refusal := h.registry.RecordRefusal(now, id, h.entry.stoppingRefusal())
			return atmostonce.Decision[wire.CommandReply]{Action: atmostonce.Refuse, Outcome: refusal}, nil
		}
		return h.registry.Begin(time.Now(), id, digest(req), confirmed), h.running[id.String()]
	}
	if ctx.Err() != nil { // the caller no longer waits
		return atmostonce.Decision[wire.CommandReply]{Action: atmostonce.Refuse, Outcome: canceledReply().Outcome}, nil
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

// recoverAnswer asks other hosts for the answer of a command that is recorded as
// unknown: the branch host that ran the command keeps the answer if its reply was
// lost. recoverAnswer returns unknown if no host has the answer.
func (h *home) recoverAnswer(ctx context.Context, id atmostonce.ID, req *wire.CommandRequest, unknown wire.CommandReply) wire.CommandReply {
	reply := h.entry.askSuccessors(ctx, id, req, unknown.Outcome)
	if reply.Outcome.Kind != outcome.Answered {
		return unknown
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.registry.ResolveUnknown(id, digest(req), reply.Outcome, reply)
	return reply
}

// recordRefusal records that this host refuses a request before it asks a target,
// and returns the outcome to report: "unknown" if an earlier send may have run.
func (h *home) recordRefusal(id atmostonce.ID, o outcome.Outcome) outcome.Outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registry.RecordRefusal(time.Now(), id, o)
}

func canceledReply() wire.CommandReply {
	return wire.CommandReply{Outcome: outcome.Uncertain(outcome.Canceled, "the sender canceled the command")}
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

// digest identifies the body and the tenant of a command, so that no tenant gets the answer to
// a command of another one.
func digest(req *wire.CommandRequest) uint64 { return bodyDigest(req.Service, req.ID, req.Tenant) }

func bodyDigest(service, record, tenant string) uint64 {
	body := service + "\x00" + record
	if tenant != "" {
		body += "\x00" + tenant
	}
	return xxhash.Sum64String(body)
}

// serve answers a command stream of another host.
func (h *home) serve(ctx context.Context, s *peer.Stream) {
	var req wire.CommandRequest
	if err := s.Receive(&req); err != nil {
		s.Reset()
		return
	}
	h.inFlight.Add(1) // a shutdown waits until the sender has the reply
	defer h.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMS)*time.Millisecond)
	defer cancel()
	defer context.AfterFunc(h.ending, cancel)()
	ctx, span, parent := h.entry.observer.startBranch(ctx, req.Traceparent, "home command", req.Service, h.entry.self)
	req.Traceparent = parent
	if err := s.Send(&wire.CommandReply{Accepted: true}); err != nil {
		s.Reset()
		return
	}
	reply := h.handleForwarded(ctx, &req, func(ctx context.Context) bool { return callerStillWaits(ctx, s) })
	endSpan(span, reply.Outcome)
	if err := s.Send(&reply); err != nil {
		s.Reset()
		return
	}
	awaitReceipt(s)
}

// receiptTimeout bounds the wait for a sender that is down. It leaves time for
// several round trips with a lost packet between the most distant places.
const receiptTimeout = 500 * time.Millisecond

// awaitReceipt blocks until the sender has read the reply and ended the stream, at
// most for receiptTimeout. A reply that was written but not yet read is lost if the
// transport closes.
func awaitReceipt(s *peer.Stream) {
	stop := time.AfterFunc(receiptTimeout, s.Reset)
	defer stop.Stop()
	var unexpected wire.CommandRequest
	_ = s.Receive(&unexpected) // fails when the stream ends
}

// callerStillWaits asks the sender of a command whether its caller still waits. It
// returns false if the sender has reset the stream to cancel the command, or if the
// context ends before the sender answers.
func callerStillWaits(ctx context.Context, s *peer.Stream) bool {
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	var confirmed wire.CommandConfirm
	return s.Send(&wire.CommandReply{Confirm: true}) == nil && s.Receive(&confirmed) == nil
}

// handleForwarded validates a command from another host, then runs or relays it.
func (h *home) handleForwarded(ctx context.Context, req *wire.CommandRequest, confirm confirmFunc) wire.CommandReply {
	id, err := atmostonce.ParseID(req.RequestID)
	if err != nil {
		return wire.CommandReply{Outcome: outcome.Refused(outcome.Invalid, "%v", err)}
	}
	service, ok := h.entry.config.tree().Doc.Services[req.Service]
	if !ok || service.Kind != settings.KindCommand {
		// The sender's configuration differs from this host's, and the
		// command may have run under the other one.
		return wire.CommandReply{Outcome: outcome.Uncertain(outcome.Unavailable, "service %s is not a command service in the configuration of this host", req.Service)}
	}
	if reply, ok := h.answerFromHandover(id, req); ok {
		return reply
	}
	if req.Relay && id.Ticket.Host != h.self.Name {
		return h.entry.relay(ctx, id, req, confirm)
	}
	return h.execute(ctx, id, req, confirm)
}

// serveOnce answers the stream of a command for a target that this host owns.
func (d *Daemon) serveOnce(ctx context.Context, s *peer.Stream) {
	select {
	case <-d.initialized:
		d.branch.serve(ctx, s, func(ctx context.Context, s *peer.Stream) {
			d.branch.serveOnce(ctx, s, d.entry.home.cacheExecutedAnswer)
		})
	case <-ctx.Done():
		s.Reset()
	}
}

// serveCommand answers a command stream once the daemon is initialized and has a
// configuration and a host list.
func (d *Daemon) serveCommand(ctx context.Context, s *peer.Stream) {
	for _, first := range []<-chan struct{}{d.initialized, d.config.loaded, d.directory.loaded} {
		select {
		case <-first:
		case <-ctx.Done():
			s.Reset()
			return
		}
	}
	d.entry.home.serve(ctx, s)
}
