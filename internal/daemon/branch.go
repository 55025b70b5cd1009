package daemon

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/target"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// branch is the branch host role: it runs searches and lookups on the targets of
// its place that this host owns. Safe for concurrent use.
type branch struct {
	self       *settings.Process
	config     *config
	dispatcher *dispatcher
	guard      *quarantineGuard
	workers    *workerPool
	observer   observer
	peers      *branchClient // connects to the other owners of this host's targets
	// ending is done when the requests of other hosts that are still open must end.
	ending context.Context
	// admits reports whether this host may finish a command of a time limit before it stops.
	admits func(limit time.Duration) bool

	mu       sync.Mutex // guards what follows
	refusing bool       // takes no more requests of other hosts
	awaited  int        // requests of other hosts taken and not ended
}

func newBranch(self *settings.Process, config *config, guard *quarantineGuard, dial target.Dialer) *branch {
	return &branch{self: self, config: config, dispatcher: newDispatcher(self, config, dial), guard: guard, workers: newWorkerPool(), ending: context.Background(),
		admits: func(time.Duration) bool { return true }}
}

func (b *branch) close() {
	b.dispatcher.close()
	b.workers.close()
}

// serve answers a stream of another host with a handler, unless this host has stopped
// accepting: the stream is then reset, so that the sender knows at once that nothing ran.
func (b *branch) serve(ctx context.Context, s *peer.Stream, handle func(context.Context, *peer.Stream)) {
	b.mu.Lock()
	refusing := b.refusing
	if !refusing {
		b.awaited++
	}
	b.mu.Unlock()
	if refusing {
		s.Reset()
		return
	}
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.awaited--
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(b.ending, cancel)()
	handle(ctx, s)
}

// stopAccepting refuses further requests.
func (b *branch) stopAccepting() {
	b.mu.Lock()
	b.refusing = true
	b.mu.Unlock()
	b.dispatcher.close()
}

// workLeft returns the work of other hosts that is in progress.
func (b *branch) workLeft() drain.TargetWork {
	b.mu.Lock()
	defer b.mu.Unlock()
	return drain.TargetWork{Awaited: b.awaited, AtTargets: b.dispatcher.inFlight()}
}

// serveSearch answers a search stream. Each part is sent as soon as it is ready;
// the entry host may cancel groups in the meantime.
func (b *branch) serveSearch(ctx context.Context, s *peer.Stream) {
	var req wire.SearchRequest
	if err := s.Receive(&req); err != nil {
		s.Reset()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMS)*time.Millisecond)
	defer cancel()
	ctx, span, parent := b.observer.startBranch(ctx, req.Traceparent, "branch search", req.Service, b.self)
	defer span.End()
	req.Traceparent = parent
	run := newBranchRun(ctx, &req)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			var canceled wire.Cancel
			if err := s.Receive(&canceled); err != nil {
				if !errors.Is(err, io.EOF) {
					cancel() // the stream failed, so the answer can't be delivered
				}
				return
			}
			run.cancel(canceled.Groups)
		}
	}()
	err := b.search(run, &req, func(parts []wire.PartResult, final bool) error {
		return s.Send(&wire.SearchReply{QueryID: req.QueryID, Parts: parts, Final: final})
	})
	if err != nil {
		s.Reset()
		return
	}
	select {
	case <-ended: // the sender has the reply
	case <-time.After(receiptTimeout):
	}
}

// branchRun is a search in progress on a branch host. Each part has its own
// context, so that it can be canceled alone.
type branchRun struct {
	contexts    map[string]context.Context
	cancels     map[string]context.CancelFunc
	fingerprint quarantine.Fingerprint // of all parts, so it is computed once
}

func newBranchRun(ctx context.Context, req *wire.SearchRequest) *branchRun {
	r := &branchRun{
		contexts:    make(map[string]context.Context, len(req.Parts)),
		cancels:     make(map[string]context.CancelFunc, len(req.Parts)),
		fingerprint: quarantine.FingerprintOf(req.Service, req.Terms),
	}
	for _, p := range req.Parts {
		r.contexts[p.Group], r.cancels[p.Group] = context.WithCancel(ctx)
	}
	return r
}

// cancel cancels the parts of the given groups, or all parts if groups is empty.
// cancel may run concurrently with the search, because the maps do not change
// after construction.
func (r *branchRun) cancel(groups []string) {
	if len(groups) == 0 {
		for _, cancel := range r.cancels {
			cancel()
		}
		return
	}
	for _, g := range groups {
		if cancel, ok := r.cancels[g]; ok {
			cancel()
		}
	}
}

// search runs the parts of a request on this host's targets and passes the
// results to emit in frames. It returns nil after the final frame, or at once if the
// request has no parts, and otherwise the first error of emit.
func (b *branch) search(run *branchRun, req *wire.SearchRequest, emit func([]wire.PartResult, bool) error) error {
	defer run.cancel(nil)
	if len(req.Parts) == 0 {
		return nil
	}
	frames := newReplyFrames(len(req.Parts))
	defer frames.stop()
	for _, part := range req.Parts {
		b.workers.run(func() { frames.add(b.searchPart(run, req, part)) })
	}
	for {
		ready, final := frames.next()
		if err := emit(ready, final); err != nil || final {
			return err
		}
	}
}

func (b *branch) searchPart(run *branchRun, req *wire.SearchRequest, part wire.PartRequest) wire.PartResult {
	ctx, span, parent := b.observer.tracer.Start(run.contexts[part.Group], req.Traceparent, "target search")
	result := b.runPart(ctx, run.fingerprint, req, part, parent)
	b.observer.endPart(span, req, part, &result, b.self.Place)
	return result
}

// runPart runs a part on its target. parent is the trace context of the part's span.
func (b *branch) runPart(ctx context.Context, fp quarantine.Fingerprint, req *wire.SearchRequest, part wire.PartRequest, parent string) wire.PartResult {
	result := wire.PartResult{Group: part.Group, Target: part.Target}
	if refused, ok := b.config.refusal(); ok {
		result.Outcome = refused
		return result
	}
	release, refusal, ok := b.guard.admit(ctx, fp, req, part)
	if !ok {
		result.Outcome = refusal
		b.guard.annotate(fp, req, &result)
		return result
	}
	defer release()
	body := target.SearchBody{Service: req.Service, Terms: req.Terms, Limit: req.Limit, Version: req.Version}
	work := &work{
		target: part.Target, service: req.Service, class: settings.Priority(req.Class), maxWaitServiceTimes: part.MaxWaitServiceTimes,
		borrow: req.Borrow, mayBorrow: b.peers != nil && !req.Borrow && !req.Canary, retry: part.Cause == wire.CauseRetry,
		send: func(ctx context.Context, c *target.Client, timeout time.Duration) (wire.TargetStatus, outcome.Outcome) {
			if refused, ok := b.config.refusal(); ok {
				return wire.TargetStatus{}, refused
			}
			answer, status, o := c.Search(ctx, target.Request{ID: req.QueryID, Timeout: timeout, Traceparent: parent, Tenant: req.Tenant}, body)
			result.Version, result.Covered, result.Records = answer.Version, answer.Covered, answer.Records
			return status, o
		},
	}
	done := b.dispatcher.do(ctx, work)
	mayHaveRun := false // in a slot of the target's other owner
	if done.shouldBorrow {
		borrowed, got := b.borrow(ctx, req, part, parent)
		if got == borrowGranted {
			return borrowed
		}
		mayHaveRun = got == borrowLost
		work.mayBorrow = false
		done = b.dispatcher.do(ctx, work)
	}
	result.Outcome, result.Status = done.outcome, done.status
	if mayHaveRun && result.Outcome.DidNotRun() {
		result.Outcome = result.Outcome.AsUnknown("the other owner of the target may have run it")
	}
	b.guard.annotate(fp, req, &result)
	result.QueueUS, result.TargetUS = done.queueTime.Microseconds(), done.serviceTime.Microseconds()
	return result
}

// serveLookup answers a lookup stream with one reply.
func (b *branch) serveLookup(ctx context.Context, s *peer.Stream) {
	var req wire.LookupRequest
	if err := s.Receive(&req); err != nil {
		s.Reset()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMS)*time.Millisecond)
	defer cancel()
	reply := b.lookup(ctx, &req)
	if err := s.Send(&reply); err != nil {
		s.Reset()
		return
	}
	awaitReceipt(s)
}

func (b *branch) lookup(ctx context.Context, req *wire.LookupRequest) (reply wire.LookupReply) {
	ctx, span, parent := b.observer.startBranch(ctx, req.Traceparent, "branch lookup", req.Service, b.self)
	defer span.End()
	ctx, sub, parent := b.observer.tracer.Start(ctx, parent, "target lookup")
	var done workResult
	defer func() { b.observer.endLookup(sub, req, &reply, done, b.self.Place) }()
	if refused, ok := b.config.workRefusal(req.Once); ok {
		reply.Outcome = refused
		return reply
	}
	work := &work{
		target: req.Target, service: req.Service, class: settings.Priority(req.Class), once: req.Once, maxWaitServiceTimes: req.MaxWaitServiceTimes,
		send: func(ctx context.Context, c *target.Client, timeout time.Duration) (wire.TargetStatus, outcome.Outcome) {
			if refused, ok := b.config.workRefusal(req.Once); ok {
				return wire.TargetStatus{}, refused
			}
			if req.Once {
				var stop context.CancelFunc
				ctx, stop = withLateReplyTimeout(ctx)
				defer stop()
				c.SetProgressTimeout(timeout + lateReplyTimeout)
			}
			answer, status, o := c.Lookup(ctx, target.Request{ID: req.RequestID, Timeout: timeout, Traceparent: parent, Tenant: req.Tenant},
				target.LookupBody{Service: req.Service, ID: req.ID})
			reply.Found, reply.Record, reply.Version = answer.Found, answer.Record, answer.Version
			return status, o
		},
	}
	done = b.dispatcher.do(ctx, work)
	reply.Outcome, reply.Status = done.outcome, done.status
	return reply
}
