package daemon

import (
	"context"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

const (
	// handOverPart is the part of the time left that a branch host has at most to
	// say that it is there. At a deadline of 300 ms the first has 150 ms, several
	// round trips between places, and two others can be tried after it.
	handOverDivisor = 2
	// The answer comes at once, so that a host without one after handOverWait and
	// handOverTrips round trips, which leave room for a handshake and a lost
	// packet, is gone or cut off. At a deadline of 1 s half of it was 500 ms.
	handOverBaseTimeout = 100 * time.Millisecond
	handOverRoundTrips  = 4
)

// lateWait is how long the result of a command that was sent is awaited beyond
// its deadline. Giving up earlier gains nothing, since the command may run all
// the same, and a resend would find it unknown. It holds a slot for so long if
// the connection has gone silent.
const lateReplyTimeout = time.Second

// outlast returns a context for a command that was sent. It ends lateWait after
// the deadline, also if the sender gives up.
func withLateReplyTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), remaining(ctx)+lateReplyTimeout)
}

// lookupOnce sends a lookup that may not be repeated to another branch host. It
// is handed over only to a host that has answered, so that a host which is gone
// or cut off leaves it "not run".
func (c *branchClient) lookupOnce(ctx context.Context, at ordinalID, req *wire.LookupRequest) wire.LookupReply {
	s, err := c.openOnce(ctx, at, req)
	if err != nil {
		return wire.LookupReply{Outcome: outcome.Refused(outcome.Unavailable, "branch host did not take the request: %v", err)}
	}
	defer s.Reset()
	left := remaining(ctx)
	if ctx.Err() != nil || left < time.Millisecond {
		return wire.LookupReply{Outcome: notSent(ctx, "before the branch host was told to send")}
	}
	ctx, cancel := withLateReplyTimeout(ctx)
	defer cancel()
	return requestLookup(ctx, s, &wire.LookupStart{TimeoutMS: left.Milliseconds()})
}

// offer opens a stream to a branch host and waits until it is ready to take the
// lookup.
func (c *branchClient) openOnce(ctx context.Context, at ordinalID, req *wire.LookupRequest) (*peer.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, c.handOverTimeout(ctx, at.place, req.MaxWaitServiceTimes == 0))
	defer cancel()
	s, err := c.open(ctx, at, wire.ExchangeLookupOnce)
	if err != nil {
		return nil, err
	}
	req.TimeoutMS = remaining(ctx).Milliseconds()
	return awaitReady(ctx, s, req, &wire.LookupReady{})
}

// handOverLimit returns how long a host of a place has to say that it is there.
// patient is set if there is no other way: the path may only have become slow.
func (c *branchClient) handOverTimeout(ctx context.Context, place string, patient bool) time.Duration {
	limit := remaining(ctx) / handOverDivisor
	if c.roundTrip != nil && !patient {
		limit = min(limit, handOverBaseTimeout+handOverRoundTrips*c.roundTrip(place))
	}
	return limit
}

// handedOver sends the first message of an exchange and returns the stream once
// the other host has answered that it is there.
func awaitReady(ctx context.Context, s *peer.Stream, message, there any) (*peer.Stream, error) {
	err := sendReceive(ctx, s, message, there)
	if err == nil {
		err = ctx.Err() // the end of the context has reset the stream
	}
	if err != nil {
		s.Reset()
		return nil, err
	}
	return s, nil
}

// serveOnce answers the stream of a lookup that may not be repeated. Nothing
// runs before the home hands it over. ran is told the result before the home.
func (b *branch) serveOnce(ctx context.Context, s *peer.Stream, ran func(*wire.LookupRequest, *wire.LookupReply)) {
	var req wire.LookupRequest
	var handed wire.LookupStart
	if err := s.Receive(&req); err != nil || !req.Once {
		s.Reset()
		return
	}
	stop := time.AfterFunc(time.Duration(req.TimeoutMS)*time.Millisecond, s.Reset)
	err := s.Send(&wire.LookupReady{})
	if err == nil {
		err = s.Receive(&handed)
	}
	if !stop.Stop() || err != nil {
		s.Reset()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(handed.TimeoutMS)*time.Millisecond)
	defer cancel()
	reply := b.lookup(ctx, &req)
	ran(&req, &reply)
	if err := s.Send(&reply); err != nil {
		s.Reset()
	}
}
