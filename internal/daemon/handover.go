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
	// maxSuccessors is the number of hosts that a home which stops tells of its
	// requests, and that are asked for those of a home that is gone. In a small
	// fleet it is every host.
	maxSuccessors = membership.FullMeshHosts
	// maxHandoverRecords bounds the records of one message, which stays far under
	// wire.MaxMessageBytes at 16 KB per record.
	maxHandoverRecords = 500
	// handoverTimeout bounds the time that a shutdown takes longer for it.
	handoverTimeout = 2 * time.Second
)

// successors returns the hosts that may know the requests of a home, in an order
// that every host with the same list finds.
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

// answerFromHandover returns what became of a command whose home is gone, if this
// host knows it.
func (h *home) answerFromHandover(id atmostonce.ID, req *wire.CommandRequest) (wire.CommandReply, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	decision, ok := h.handovers.Decide(time.Now(), id, digest(req))
	if decision.Action == atmostonce.Replay {
		decision.Answer.Outcome = decision.Outcome
		return decision.Answer, ok
	}
	return wire.CommandReply{Outcome: decision.Outcome}, ok
}

// cacheForwardedAnswer keeps an answer that this host passed on, in case its home is lost.
func (h *home) cacheForwardedAnswer(id atmostonce.ID, req *wire.CommandRequest, reply wire.CommandReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handovers.CacheAnswer(time.Now(), id, digest(req), reply.Outcome, reply)
}

// cacheExecutedAnswer keeps the answer of a command that this host sent to a target for its
// home, in case the home is lost or the reply does not reach it.
func (h *home) cacheExecutedAnswer(req *wire.LookupRequest, reply *wire.LookupReply) {
	id, err := atmostonce.ParseID(req.RequestID)
	if err != nil || reply.Outcome.Kind != outcome.Answered {
		return
	}
	kept := wire.CommandReply{Outcome: reply.Outcome, Found: reply.Found, Record: reply.Record, Version: reply.Version}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handovers.CacheAnswer(time.Now(), id, bodyDigest(req.Service, req.ID), kept.Outcome, kept)
}

// askSuccessors asks other hosts what became of a command that its home does not
// answer for. The command runs nowhere else.
func (e *entry) askSuccessors(ctx context.Context, id atmostonce.ID, req *wire.CommandRequest, unknown outcome.Outcome) wire.CommandReply {
	if reply, ok := e.home.answerFromHandover(id, req); ok { // it was told while the home was asked
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

// stopAccepting lets no command begin any more and waits for those that began meanwhile.
func (h *home) stopAccepting(ctx context.Context) {
	h.mu.Lock()
	h.registry.Close(time.Now())
	h.mu.Unlock()
	h.waitIdle(ctx)
}

// handOver states the requests of a stopped home to the other hosts, so that
// they can say what became of them. It returns when the hosts that answer hold
// them.
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

// sendHandover states the requests to one host. What it does not hold stays
// unknown to it, so an error changes nothing.
func (h *home) sendHandover(ctx context.Context, transport *peer.Transport, to platform.Host, closing *atmostonce.Handover[wire.CommandReply], ttl time.Duration) {
	s, err := transport.Open(ctx, to.Peers, wire.ExchangeHandover)
	if err != nil {
		return
	}
	defer s.Reset()
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	rest := closing.Records
	for last := false; !last; {
		part := rest[:min(len(rest), maxHandoverRecords)]
		rest = rest[len(part):]
		last = len(rest) == 0
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
	var held wire.HandoverAck
	_ = s.Receive(&held)
}

// serveHandover takes the requests of a home that stops.
func (d *Daemon) serveHandover(s *peer.Stream) {
	select {
	case <-d.initialized:
	default:
		s.Reset() // this host has just started and holds nothing
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
