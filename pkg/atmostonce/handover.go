package atmostonce

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// Handover is what a home that stops for good states of its requests. It holds
// every request that ran, but for those whose record had run out at At.
type Handover[A any] struct {
	Host        string
	Incarnation uint64
	ClosedAt    time.Time // by the clock of the home
	Records     []RequestResult[A]
}

// RequestResult is a request that ran, or that may have.
type RequestResult[A any] struct {
	ID      string
	Digest  uint64
	Outcome outcome.Outcome
	Answer  A
}

// Close ends the registry: no request begins any more. A request that still
// runs is handed over as unknown.
func (r *Registry[A]) Close(now time.Time) Handover[A] {
	now = r.advance(now)
	r.closed = true
	h := Handover[A]{Host: r.host, Incarnation: r.incarnation, ClosedAt: now}
	for _, rec := range r.records {
		switch {
		case rec.refused > 0:
		case rec.running:
			h.Records = append(h.Records, RequestResult[A]{ID: rec.id, Digest: rec.digest,
				Outcome: outcome.Uncertain(outcome.Unavailable, "host %s stopped while the request ran", r.host)})
		default:
			h.Records = append(h.Records, RequestResult[A]{ID: rec.id, Digest: rec.digest, Outcome: rec.outcome, Answer: rec.answer})
		}
	}
	return h
}

// maxHomes bounds the homes whose records a Successor holds. At the scale
// target 1,700 hosts are restarted a day, few of them within a ticket's life.
const maxHomes = 256

// HandoverStore answers for homes that are gone, as far as it knows their requests:
// all those of a home that handed them over, and answers that passed by. It
// never lets a request run.
//
// A HandoverStore is not safe for concurrent use; the caller serialises.
type HandoverStore[A any] struct {
	limits Limits
	homes  map[homeKey]*homeRecords[A]
	held   int // records in homes
	notes  map[string]*note[A]
	order  []*note[A] // the oldest first
}

type homeKey struct {
	host        string
	incarnation uint64
}

// homeRecords holds the records of one home. They are dropped together: without
// one of them, "not run" would be false.
type homeRecords[A any] struct {
	at      time.Time // by the clock of the home
	until   time.Time
	records map[string]RequestResult[A]
}

type note[A any] struct {
	RequestResult[A]
	until time.Time
}

// NewHandoverStore returns a successor that holds up to limits.Records records of
// homes that handed them over, and as many answers that passed by.
func NewHandoverStore[A any](limits Limits) *HandoverStore[A] {
	return &HandoverStore[A]{limits: limits, homes: map[homeKey]*homeRecords[A]{}, notes: map[string]*note[A]{}}
}

// Accept takes the records of a home for a time. It returns false if there is
// no room.
func (s *HandoverStore[A]) Accept(now time.Time, h Handover[A], keep time.Duration) bool {
	s.forget(now)
	key := homeKey{h.Host, h.Incarnation}
	if _, ok := s.homes[key]; ok {
		return true
	}
	if len(s.homes) >= maxHomes || s.held+len(h.Records) > s.limits.MaxRecords {
		return false
	}
	e := &homeRecords[A]{at: h.ClosedAt, until: now.Add(min(keep, s.limits.MaxTTL+s.limits.MaxDeadline)), records: make(map[string]RequestResult[A], len(h.Records))}
	for _, rec := range h.Records {
		e.records[rec.ID] = rec
	}
	s.homes[key] = e
	s.held += len(e.records)
	return true
}

// CacheAnswer keeps an answer of a home that passed by, until its ticket and the
// longest deadline have run out.
func (s *HandoverStore[A]) CacheAnswer(now time.Time, id ID, digest uint64, o outcome.Outcome, answer A) {
	s.forget(now)
	key := id.String()
	if _, ok := s.notes[key]; ok || o.Kind != outcome.Answered {
		return
	}
	if len(s.notes) >= s.limits.MaxRecords {
		s.popNote()
	}
	n := &note[A]{RequestResult[A]{key, digest, o, answer}, id.Ticket.Expiry.Add(s.limits.MaxDeadline)}
	s.notes[key] = n
	s.order = append(s.order, n)
}

// Decide returns what became of a request whose home is gone, and false if that
// is not known.
func (s *HandoverStore[A]) Decide(now time.Time, id ID, digest uint64) (Decision[A], bool) {
	s.forget(now)
	key := id.String()
	e, closed := s.homes[homeKey{id.Ticket.Host, id.Ticket.Incarnation}]
	var rec RequestResult[A]
	known := false
	if closed {
		rec, known = e.records[key]
	}
	if n, ok := s.notes[key]; ok && !known {
		rec, known = n.RequestResult, true
	}
	switch {
	case known && rec.Digest != digest:
		return refuse[A](outcome.Refused(outcome.Invalid, "the ticket was used for a request with another body")), true
	case known:
		return Decision[A]{Action: Replay, Outcome: rec.Outcome, Answer: rec.Answer}, true
	case closed && id.Ticket.Expiry.Add(s.limits.MaxDeadline).After(e.at):
		// A run would have left a record that the home still had.
		return refuse[A](outcome.Refused(outcome.Draining, "host %s has stopped and did not run the request; a new ticket is needed", id.Ticket.Host)), true
	}
	return Decision[A]{}, false
}

// forget drops what has run out.
func (s *HandoverStore[A]) forget(now time.Time) {
	for key, e := range s.homes {
		if !now.Before(e.until) {
			s.held -= len(e.records)
			delete(s.homes, key)
		}
	}
	for len(s.order) > 0 && !now.Before(s.order[0].until) {
		s.popNote()
	}
}

func (s *HandoverStore[A]) popNote() {
	delete(s.notes, s.order[0].ID)
	s.order = s.order[1:]
}
