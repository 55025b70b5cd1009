package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// branchClient sends requests to branch hosts. Requests for this host's own branch
// role are direct calls. It is safe for concurrent use.
type branchClient struct {
	self      *settings.Process
	local     *branch
	directory *directory
	transport *peer.Transport
	observer  observer
	// peerState is control.peerState; if nil, every listed host counts as reachable.
	peerState func(name string) (state membership.State, silent bool)
	// roundTrip estimates the round-trip time to a place; nil if there is no estimate.
	roundTrip func(place string) time.Duration
}

// notDeliveredError reports that a branch host did not receive the request.
type notDeliveredError struct{ cause error }

func (e *notDeliveredError) Error() string {
	return "request was not delivered to the branch host: " + e.cause.Error()
}
func (e *notDeliveredError) Unwrap() error { return e.cause }

func (c *branchClient) isSelf(at ordinalID) bool {
	return at == ordinalID{c.self.Place, c.self.Ordinal}
}

// open opens a stream to the listed host of an ordinal. Its errors are of the type
// *notDeliveredError.
func (c *branchClient) open(ctx context.Context, at ordinalID, exchange wire.Exchange) (*peer.Stream, error) {
	host, ok := c.directory.hosts().byOrdinal[at]
	if !ok {
		return nil, &notDeliveredError{errors.Newf("no host is listed for ordinal %d of place %s", at.ordinal, at.place)}
	}
	s, err := c.transport.Open(ctx, host.Peers, exchange)
	if err != nil {
		return nil, &notDeliveredError{err}
	}
	return s, nil
}

// search sends a search to a branch host and calls emit with each batch of
// results. cancelGroups delivers groups whose sub-requests are to be canceled.
// search returns nil after the last result, a *notDeliveredError if the host
// cannot have received the request, or another error if results may be missing.
func (c *branchClient) search(ctx context.Context, at ordinalID, req *wire.SearchRequest, cancelGroups <-chan string, emit func([]wire.PartResult)) error {
	if c.isSelf(at) {
		return c.searchLocal(ctx, req, cancelGroups, emit)
	}
	s, err := c.open(ctx, at, wire.ExchangeSearch)
	if err != nil {
		return err
	}
	defer s.Reset() // has no effect on the peer after a complete exchange
	if err := s.Send(req); err != nil {
		return err
	}
	finished := make(chan struct{})
	defer close(finished)
	go func() {
		for {
			select {
			case group := <-cancelGroups:
				if err := s.Send(&wire.Cancel{Groups: []string{group}}); err != nil {
					return
				}
			case <-ctx.Done():
				s.Reset()
				return
			case <-finished:
				return
			}
		}
	}()
	for {
		var reply wire.SearchReply
		if err := s.Receive(&reply); err != nil {
			return errors.Wrap(err, "incomplete reply of the branch host")
		}
		if reply.QueryID != req.QueryID {
			continue
		}
		emit(reply.Parts)
		if reply.Final {
			return nil
		}
	}
}

// searchLocal is search for this host's own branch role.
func (c *branchClient) searchLocal(ctx context.Context, req *wire.SearchRequest, cancelGroups <-chan string, emit func([]wire.PartResult)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, span, parent := c.local.observer.startBranch(ctx, req.Traceparent, "branch search", req.Service, c.self)
	defer span.End()
	req.Traceparent = parent
	run := newBranchRun(ctx, req)
	go func() {
		for {
			select {
			case group := <-cancelGroups:
				run.cancel([]string{group})
			case <-ctx.Done():
				return
			}
		}
	}()
	return c.local.search(run, req, func(parts []wire.PartResult, _ bool) error {
		emit(parts)
		return nil
	})
}

// lookup sends a lookup to a branch host and records its span.
func (c *branchClient) lookup(ctx context.Context, at ordinalID, req *wire.LookupRequest) wire.LookupReply {
	c.observer.countLookup(req)
	ctx, span, parent := c.observer.startMessage(ctx, req.Traceparent, "lookup message", at)
	req.Traceparent = parent
	reply := c.lookupAt(ctx, at, req)
	endSpan(span, reply.Outcome)
	return reply
}

// lookupAt runs a lookup on this host's own branch role or sends it to another host.
func (c *branchClient) lookupAt(ctx context.Context, at ordinalID, req *wire.LookupRequest) wire.LookupReply {
	if c.isSelf(at) {
		return c.local.lookup(ctx, req)
	}
	if req.Once {
		return c.lookupOnce(ctx, at, req)
	}
	s, err := c.open(ctx, at, wire.ExchangeLookup)
	if err != nil {
		return wire.LookupReply{Outcome: outcome.Refused(outcome.Unavailable, "%v", err)}
	}
	defer s.Reset()
	req.TimeoutMS = remaining(ctx).Milliseconds() // less the time for opening the stream
	return requestLookup(ctx, s, req)
}

// requestLookup sends the message that makes a branch host run a lookup, and
// returns the reply. Without a reply the outcome is unknown: the lookup may have
// run.
func requestLookup(ctx context.Context, s *peer.Stream, message any) wire.LookupReply {
	var reply wire.LookupReply
	if err := sendReceive(ctx, s, message, &reply); err != nil {
		return wire.LookupReply{Outcome: outcome.Uncertain(noReplyReason(ctx, outcome.ConnLost), "branch host did not reply: %v", err)}
	}
	return reply
}

// command forwards a command to its home, or to another host that may relay it or
// hold its result. confirm is called each time that the home asks whether the
// caller still waits. A host that does not acknowledge the request promptly counts
// as down or unreachable; noAlternative allows more time, because no other path is
// left. With an error, the outcome is unknown.
func (c *branchClient) command(ctx context.Context, host platform.Host, req *wire.CommandRequest, confirm confirmFunc, noAlternative bool) (reply wire.CommandReply, err error) {
	ctx, span, parent := c.observer.startMessage(ctx, req.Traceparent, "command message", ordinalID{host.Place, host.Ordinal})
	req.Traceparent = parent
	defer func() { endSpan(span, reply.Outcome) }()
	s, err := c.deliverCommand(ctx, host, req, noAlternative)
	if err == nil {
		defer s.Reset()
		err = sendReceive(ctx, s, nil, &reply)
		for err == nil && reply.Confirm {
			if !confirm(ctx) {
				return canceledReply(), errors.New("the sender canceled the command")
			}
			reply = wire.CommandReply{}
			err = sendReceive(ctx, s, &wire.CommandConfirm{}, &reply)
		}
	}
	if err == nil {
		return reply, nil
	}
	return wire.CommandReply{Outcome: outcome.Uncertain(noReplyReason(ctx, outcome.Unavailable), "home %s did not reply: %v", host.Name, err)}, err
}

// confirmFunc reports whether the caller of a command still waits.
type confirmFunc func(ctx context.Context) bool

// deliverCommand opens a stream to a host, sends the command and waits for the
// acknowledgement.
func (c *branchClient) deliverCommand(ctx context.Context, host platform.Host, req *wire.CommandRequest, noAlternative bool) (*peer.Stream, error) {
	left := remaining(ctx)
	ctx, cancel := context.WithTimeout(ctx, c.ackTimeout(ctx, host.Place, noAlternative))
	defer cancel()
	s, err := c.transport.Open(ctx, host.Peers, wire.ExchangeCommand)
	if err != nil {
		return nil, err
	}
	req.TimeoutMS = left.Milliseconds()
	return awaitReady(ctx, s, req, &wire.CommandReply{})
}

// sendReceive sends a request, unless it is nil, and reads the reply. When the
// context ends, the stream is reset, which signals to the other host that the reply
// is no longer wanted.
func sendReceive(ctx context.Context, s *peer.Stream, request, reply any) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	if request != nil {
		if err := s.Send(request); err != nil {
			return err
		}
	}
	return s.Receive(reply)
}

// noReplyReason returns the reason of an outcome without a reply: Deadline if the
// context's deadline passed, and otherwise the given one.
func noReplyReason(ctx context.Context, otherwise outcome.Reason) outcome.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.Deadline
	}
	return otherwise
}

// remaining returns the time left until the context's deadline, which is negative
// after the deadline, and 0 if the context has none.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline)
}
