package daemon

import (
	"context"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

const (
	// ackTimeoutDivisor gives the longest wait for the acknowledgement of a host: the
	// time left divided by it. At a deadline of 300 ms the first host has 150 ms,
	// several round trips between places, and two others can be tried after it.
	ackTimeoutDivisor = 2
	// Hosts acknowledge at once. One that has not done so after ackBaseTimeout
	// and ackRoundTrips round trips, which allow for a handshake and a lost
	// packet, is down or unreachable. Without this bound, the wait at a deadline of 1 s
	// would be 500 ms.
	ackBaseTimeout = 100 * time.Millisecond
	ackRoundTrips  = 4
)

// lateReplyTimeout is how long after its deadline the result of a sent command is
// still awaited. The command may run all the same, and without its result a resend
// would get "unknown". A silent connection holds a slot for this time.
const lateReplyTimeout = time.Second

// withLateReplyTimeout returns a context for a command that was sent. The context
// ends lateReplyTimeout after the deadline, even if the sender cancels.
func withLateReplyTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), remaining(ctx)+lateReplyTimeout)
}

// lookupOnce sends a command's lookup, which may not be repeated, to another branch
// host. The host may run it only after it has acknowledged the request, so that a
// host which is down or unreachable leaves the command "not run".
func (c *branchClient) lookupOnce(ctx context.Context, at ordinalID, req *wire.LookupRequest) wire.LookupReply {
	s, err := c.openOnce(ctx, at, req)
	if err != nil {
		return wire.LookupReply{Outcome: outcome.Refused(outcome.Unavailable, "branch host did not accept the request: %v", err)}
	}
	defer s.Reset()
	left := remaining(ctx)
	if ctx.Err() != nil || left < time.Millisecond {
		return wire.LookupReply{Outcome: notSent(ctx, "before the request was started on the branch host")}
	}
	ctx, cancel := withLateReplyTimeout(ctx)
	defer cancel()
	return requestLookup(ctx, s, &wire.LookupStart{TimeoutMS: left.Milliseconds()})
}

// openOnce opens a stream to a branch host, sends the lookup and waits until the
// host has acknowledged that it is ready to run the lookup.
func (c *branchClient) openOnce(ctx context.Context, at ordinalID, req *wire.LookupRequest) (*peer.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, c.ackTimeout(ctx, at.place, req.MaxWaitServiceTimes == 0))
	defer cancel()
	s, err := c.open(ctx, at, wire.ExchangeLookupOnce)
	if err != nil {
		return nil, err
	}
	req.TimeoutMS = remaining(ctx).Milliseconds()
	return awaitReady(ctx, s, req, &wire.LookupReady{})
}

// ackTimeout returns how long a host of a place has to acknowledge a request.
// With noAlternative, no other path is left and the wait is longer, because the path
// to this host may just be slow.
func (c *branchClient) ackTimeout(ctx context.Context, place string, noAlternative bool) time.Duration {
	limit := remaining(ctx) / ackTimeoutDivisor
	if c.roundTrip != nil && !noAlternative {
		limit = min(limit, ackBaseTimeout+ackRoundTrips*c.roundTrip(place))
	}
	return limit
}

// awaitReady sends the first message of an exchange and returns the stream once the
// other host has acknowledged the message. On an error it resets the stream.
func awaitReady(ctx context.Context, s *peer.Stream, message, ready any) (*peer.Stream, error) {
	err := sendReceive(ctx, s, message, ready)
	if err == nil {
		err = ctx.Err() // the end of the context has reset the stream
	}
	if err != nil {
		s.Reset()
		return nil, err
	}
	return s, nil
}

// serveOnce answers the stream of the lookup of a command. The lookup runs only
// after the second message of the home. Without the acknowledgement, the home knows that the
// command did not run here, for example because this host stops before its end. onResult is called with the result
// before the home receives it.
func (b *branch) serveOnce(ctx context.Context, s *peer.Stream, onResult func(*wire.LookupRequest, *wire.LookupReply)) {
	var req wire.LookupRequest
	var start wire.LookupStart
	if err := s.Receive(&req); err != nil || !req.Once || !b.admits(time.Duration(req.TimeoutMS)*time.Millisecond) {
		s.Reset()
		return
	}
	stop := time.AfterFunc(time.Duration(req.TimeoutMS)*time.Millisecond, s.Reset)
	err := s.Send(&wire.LookupReady{})
	if err == nil {
		err = s.Receive(&start)
	}
	if !stop.Stop() || err != nil {
		s.Reset()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(start.TimeoutMS)*time.Millisecond)
	defer cancel()
	reply := b.lookup(ctx, &req)
	onResult(&req, &reply)
	if err := s.Send(&reply); err != nil {
		s.Reset()
		return
	}
	awaitReceipt(s)
}
