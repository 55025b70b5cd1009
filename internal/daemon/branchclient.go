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

// branchClient sends requests to branch hosts; those for this host's own
// branch role do not touch the network.
type branchClient struct {
	self      *settings.Process
	local     *branch
	directory *directory
	transport *peer.Transport
	observer  observer
	// peerState is control.peerState, nil if every listed host counts as heard.
	peerState func(name string) (state membership.State, silent bool)
	// delay estimates the round trip to a place; nil if it is not known.
	roundTrip func(place string) time.Duration
}

// notReachedError says that a branch host did not receive the request.
type notDeliveredError struct{ cause error }

func (e *notDeliveredError) Error() string { return "branch host was not reached: " + e.cause.Error() }
func (e *notDeliveredError) Unwrap() error { return e.cause }

func (c *branchClient) isSelf(at ordinalID) bool {
	return at == ordinalID{c.self.Place, c.self.Ordinal}
}

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

// search sends a search to a branch host and passes on each batch of results.
// withdraw names groups whose answer is no longer wanted. It returns nil after
// the last result, a *notReachedError if the host cannot have received the
// request, or another error if results may be missing.
func (c *branchClient) search(ctx context.Context, at ordinalID, req *wire.SearchRequest, withdraw <-chan string, emit func([]wire.PartResult)) error {
	if c.isSelf(at) {
		return c.searchLocal(ctx, req, withdraw, emit)
	}
	s, err := c.open(ctx, at, wire.ExchangeSearch)
	if err != nil {
		return err
	}
	defer s.Reset() // after a complete exchange this is a no-op for the peer
	if err := s.Send(req); err != nil {
		return err
	}
	finished := make(chan struct{})
	defer close(finished)
	go func() {
		for {
			select {
			case group := <-withdraw:
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
			return errors.Wrap(err, "branch host answered incompletely")
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

func (c *branchClient) searchLocal(ctx context.Context, req *wire.SearchRequest, withdraw <-chan string, emit func([]wire.PartResult)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, span, parent := c.local.observer.startBranch(ctx, req.Traceparent, "branch search", req.Service, c.self)
	defer span.End()
	req.Traceparent = parent
	run := newBranchRun(ctx, req)
	go func() {
		for {
			select {
			case group := <-withdraw:
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

// lookup sends a lookup to a branch host.
func (c *branchClient) lookup(ctx context.Context, at ordinalID, req *wire.LookupRequest) wire.LookupReply {
	c.observer.countLookup(req)
	ctx, span, parent := c.observer.startMessage(ctx, req.Traceparent, "lookup message", at)
	req.Traceparent = parent
	reply := c.lookupAt(ctx, at, req)
	endSpan(span, reply.Outcome)
	return reply
}

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
	req.TimeoutMS = remaining(ctx).Milliseconds() // dialling took a part of it
	return requestLookup(ctx, s, req)
}

// awaitLookup sends the message that makes a branch host run a lookup, and
// returns its reply. Without a reply the lookup may have run.
func requestLookup(ctx context.Context, s *peer.Stream, message any) wire.LookupReply {
	var reply wire.LookupReply
	if err := sendReceive(ctx, s, message, &reply); err != nil {
		return wire.LookupReply{Outcome: outcome.Uncertain(noReplyReason(ctx, outcome.ConnLost), "branch host did not answer: %v", err)}
	}
	return reply
}

// command forwards a command to its home, or to another host that may know what
// became of it. confirm tells, as often as the home asks, whether the caller
// still waits. A host that does not say at once that it has the request is gone
// or cut off; patient waits longer, because no other way is left. With an error,
// the outcome is unknown.
func (c *branchClient) command(ctx context.Context, host platform.Host, req *wire.CommandRequest, confirm confirmFunc, patient bool) (reply wire.CommandReply, err error) {
	ctx, span, parent := c.observer.startMessage(ctx, req.Traceparent, "command message", ordinalID{host.Place, host.Ordinal})
	req.Traceparent = parent
	defer func() { endSpan(span, reply.Outcome) }()
	s, err := c.deliverCommand(ctx, host, req, patient)
	if err == nil {
		defer s.Reset()
		err = sendReceive(ctx, s, nil, &reply)
		for err == nil && reply.Confirm {
			if !confirm(ctx) {
				return canceledReply(), errors.New("the sender gave up")
			}
			reply = wire.CommandReply{}
			err = sendReceive(ctx, s, &wire.CommandConfirm{}, &reply)
		}
	}
	if err == nil {
		return reply, nil
	}
	return wire.CommandReply{Outcome: outcome.Uncertain(noReplyReason(ctx, outcome.Unavailable), "home %s did not answer: %v", host.Name, err)}, err
}

// confirmation tells whether the caller of a command still waits.
type confirmFunc func(ctx context.Context) bool

// accept opens a stream to a host and waits until it has the command.
func (c *branchClient) deliverCommand(ctx context.Context, host platform.Host, req *wire.CommandRequest, patient bool) (*peer.Stream, error) {
	left := remaining(ctx)
	ctx, cancel := context.WithTimeout(ctx, c.handOverTimeout(ctx, host.Place, patient))
	defer cancel()
	s, err := c.transport.Open(ctx, host.Peers, wire.ExchangeCommand)
	if err != nil {
		return nil, err
	}
	req.TimeoutMS = left.Milliseconds()
	return awaitReady(ctx, s, req, &wire.CommandReply{})
}

// ask sends a message, unless it is nil, and reads the reply. The end of the
// context resets the stream, so that the other host learns that nobody waits any
// more.
func sendReceive(ctx context.Context, s *peer.Stream, message, reply any) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	if message != nil {
		if err := s.Send(message); err != nil {
			return err
		}
	}
	return s.Receive(reply)
}

// lostReason is the reason of an outcome without a reply.
func noReplyReason(ctx context.Context, lost outcome.Reason) outcome.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.Deadline
	}
	return lost
}

// remaining returns the time left until the context's deadline.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline)
}
