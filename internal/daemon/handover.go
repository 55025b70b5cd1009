package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/atmostonce"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

const (
	// maxSuccessors is the number of hosts to which a stopping home hands over its
	// request results, and which are asked for the results of a home that no longer
	// runs. In a fleet of up to that many hosts it is every host.
	maxSuccessors = membership.FullMeshHosts
	// maxHandoverRecords is the maximum number of records in one message. At 16 KB
	// per record the message stays far below wire.MaxMessageBytes.
	maxHandoverRecords = 500
	// handoverTimeout bounds the time that the handover adds to a shutdown.
	handoverTimeout = 2 * time.Second
)

// successors returns the hosts that may hold the request results of a home, without
// the home and self. The order is the same on every host with the same list.
func (d *directory) successors(home, self string) []platform.Host {
	var all []platform.Host
	for _, h := range d.hosts().list.Hosts {
		if h.Name != home && h.Name != self {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(a, b platform.Host) int {
		return cmp.Compare(xxhash.Sum64String(home+"\x00"+a.Name), xxhash.Sum64String(home+"\x00"+b.Name))
	})
	return all[:min(len(all), maxSuccessors)]
}

// answerFromHandover returns the reply to a command from the data that this host
// holds for other homes, or false if that data does not decide the command.
func (h *home) answerFromHandover(id atmostonce.ID, req *wire.CommandRequest) (wire.CommandReply, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	decision, ok := h.handovers.Decide(time.Now(), id, digest(req))
	if decision.Action == atmostonce.Replay {
		decision.Answer.Outcome = decision.Outcome
		return decision.Answer, ok
	}
	return wire.CommandReply{Outcome: h.entry.asOtherCaller(req, decision.Outcome)}, ok
}

// cacheForwardedAnswer caches an answer that this host forwarded to a caller, in
// case the home crashes.
func (h *home) cacheForwardedAnswer(id atmostonce.ID, req *wire.CommandRequest, reply wire.CommandReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handovers.CacheAnswer(time.Now(), id, digest(req), reply.Outcome, reply)
}

// cacheExecutedAnswer caches the answer to a command that this host sent to a target
// for a home, in case the home crashes or does not receive the reply.
func (h *home) cacheExecutedAnswer(req *wire.LookupRequest, reply *wire.LookupReply) {
	id, err := atmostonce.ParseID(req.RequestID)
	if err != nil || reply.Outcome.Kind != outcome.Answered {
		return
	}
	answer := wire.CommandReply{Outcome: reply.Outcome, Found: reply.Found, Record: reply.Record, Version: reply.Version}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handovers.CacheAnswer(time.Now(), id, bodyDigest(req.Service, req.ID, req.Tenant), answer.Outcome, answer)
}

// askSuccessors asks other hosts for the result of a command whose home does not
// answer. None of these hosts runs the command. If none has a result, askSuccessors
// returns the given unknown outcome.
func (e *entry) askSuccessors(ctx context.Context, id atmostonce.ID, req *wire.CommandRequest, unknown outcome.Outcome) wire.CommandReply {
	if reply, ok := e.home.answerFromHandover(id, req); ok && reply.Outcome.Kind != outcome.Unknown { // a handover may have arrived while the home was asked
		return reply
	}
	if ctx.Err() != nil {
		return wire.CommandReply{Outcome: unknown}
	}
	ctx, cancel := context.WithTimeout(ctx, remaining(ctx)/2)
	defer cancel()
	others := e.directory.successors(id.Ticket.Host, e.self.Name)
	replies := make(chan wire.CommandReply, len(others))
	for _, host := range others {
		go func() {
			copied := *req
			reply, _ := e.branches.command(ctx, host, &copied, callerConnected, false)
			replies <- reply
		}()
	}
	for range others {
		if reply := <-replies; reply.Outcome.Kind != outcome.Unknown {
			return reply
		}
	}
	return wire.CommandReply{Outcome: unknown}
}

// stopAccepting refuses further commands and waits until the running ones have ended
// or the context ends.
func (h *home) stopAccepting(ctx context.Context) {
	h.mu.Lock()
	h.registry.Close(time.Now())
	h.mu.Unlock()
	h.waitIdle(ctx)
}

// handOver sends the request results of a stopped home to its successors, so that
// they can answer for the home. handOver returns when the reachable ones have
// acknowledged or handoverTimeout has passed.
func (h *home) handOver(transport *peer.Transport, directory *directory, ttl time.Duration) {
	h.mu.Lock()
	closing := h.registry.Close(time.Now())
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, host := range directory.successors(h.self.Name, h.self.Name) {
		wg.Go(func() { h.sendHandover(ctx, transport, host, &closing, ttl) })
	}
	wg.Wait()
}

// sendHandover sends the request results to one host. Errors are ignored: results
// that the host does not hold remain unknown there.
func (h *home) sendHandover(ctx context.Context, transport *peer.Transport, to platform.Host, closing *atmostonce.Handover[wire.CommandReply], ttl time.Duration) {
	s, err := transport.Open(ctx, to.Peers, wire.ExchangeHandover)
	if err != nil {
		return
	}
	defer s.Reset()
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	unsent := closing.Records
	for last := false; !last; {
		part := unsent[:min(len(unsent), maxHandoverRecords)]
		unsent = unsent[len(part):]
		last = len(unsent) == 0
		message := wire.Handover{
			Host: closing.Host, Incarnation: closing.Incarnation, ClosedAtMS: closing.ClosedAt.UnixMilli(),
			RetentionMS: (ttl + commandLimits.MaxDeadline).Milliseconds(), Last: last,
		}
		for _, rec := range part {
			reply := rec.Answer
			reply.Outcome = rec.Outcome
			message.Records = append(message.Records, wire.HandoverRecord{RequestID: rec.ID, Digest: rec.Digest, Reply: reply})
		}
		if s.Send(&message) != nil {
			return
		}
	}
	var ack wire.HandoverAck
	_ = s.Receive(&ack)
}

// serveHandover stores the request results of a stopping home.
func (d *Daemon) serveHandover(s *peer.Stream) {
	select {
	case <-d.initialized:
	default:
		s.Reset() // New has not finished, so that no home exists yet to store the results
		return
	}
	var all atmostonce.Handover[wire.CommandReply]
	var message wire.Handover
	for !message.Last {
		message = wire.Handover{}
		if err := s.Receive(&message); err != nil || len(all.Records)+len(message.Records) > handoverLimits.MaxRecords {
			s.Reset()
			return
		}
		for _, rec := range message.Records {
			all.Records = append(all.Records, atmostonce.RequestResult[wire.CommandReply]{
				ID: rec.RequestID, Digest: rec.Digest, Outcome: rec.Reply.Outcome, Answer: rec.Reply})
		}
	}
	all.Host, all.Incarnation, all.ClosedAt = message.Host, message.Incarnation, time.UnixMilli(message.ClosedAtMS)
	h := d.entry.home
	h.mu.Lock()
	held := h.handovers.Accept(time.Now(), all, time.Duration(message.RetentionMS)*time.Millisecond)
	h.mu.Unlock()
	if err := s.Send(&wire.HandoverAck{Accepted: held}); err != nil {
		s.Reset()
	}
}
