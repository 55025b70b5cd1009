package atmostonce

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// Handover is the state that a home hands over when it shuts down. It holds every
// request that ran, except for those whose records had expired at ClosedAt.
type Handover[A any] struct {
	Host        string
	Incarnation uint64
	ClosedAt    time.Time // by the clock of the home
	Records     []RequestResult[A]
}

// RequestResult is the result of a request that ran, or that may have run.
type RequestResult[A any] struct {
	ID      string
	Digest  uint64
	Outcome outcome.Outcome
	Answer  A
}

// Close stops the registry, so that no further request begins, and returns the
// records to hand over. A request that still runs is handed over as unknown.
func (r *Registry[A]) Close(now time.Time) Handover[A] {
	now = r.advance(now)
	r.closed = true
	h := Handover[A]{Host: r.host, Incarnation: r.incarnation, ClosedAt: now}
	for _, rec := range r.records {
		switch {
		case rec.refusalSeq > 0:
		case rec.running:
			h.Records = append(h.Records, RequestResult[A]{ID: rec.id, Digest: rec.digest,
				Outcome: outcome.Uncertain(outcome.Unavailable, "host %s stopped while the request ran", r.host)})
		default:
			h.Records = append(h.Records, RequestResult[A]{ID: rec.id, Digest: rec.digest, Outcome: rec.outcome, Answer: rec.answer})
		}
	}
	return h
}

// maxHomes bounds the homes whose records a HandoverStore holds. At the scale that
// docs/CAPACITY.md plans for, 1,700 hosts are restarted a day, few of them within
// the lifetime of one ticket.
const maxHomes = 256

// HandoverStore answers for homes that are gone. It holds the complete records of
// homes that handed them over, and caches single answers that this host forwarded.
// It never lets a request run.
//
// A HandoverStore is not safe for concurrent use; the caller serialises calls.
type HandoverStore[A any] struct {
	limits      Limits
	homes       map[homeKey]*homeRecords[A]
	recordCount int // number of records in homes
	answers     map[string]*cachedAnswer[A]
	answerOrder []*cachedAnswer[A] // in the order of insertion
}

type homeKey struct {
	host        string
	incarnation uint64
}

// homeRecords holds the records of one home. They are deleted together, because
// without a record its request would wrongly be answered as "not run".
type homeRecords[A any] struct {
	closedAt  time.Time // by the clock of the home
	expiresAt time.Time
	records   map[string]RequestResult[A]
}

type cachedAnswer[A any] struct {
	RequestResult[A]
	expiresAt time.Time
}

// NewHandoverStore returns an empty store of up to limits.MaxRecords handed-over
// records and as many cached answers.
func NewHandoverStore[A any](limits Limits) *HandoverStore[A] {
	return &HandoverStore[A]{limits: limits, homes: map[homeKey]*homeRecords[A]{}, answers: map[string]*cachedAnswer[A]{}}
}

// Accept stores the records of a home for the duration keep, at most for the
// maximum lifetime of a ticket plus the maximum deadline. It returns false if there
// is no room. If the records of the home are already stored, Accept changes nothing
// and returns true.
func (s *HandoverStore[A]) Accept(now time.Time, h Handover[A], keep time.Duration) bool {
	s.expire(now)
	key := homeKey{h.Host, h.Incarnation}
	if _, ok := s.homes[key]; ok {
		return true
	}
	if len(s.homes) >= maxHomes || s.recordCount+len(h.Records) > s.limits.MaxRecords {
		return false
	}
	e := &homeRecords[A]{closedAt: h.ClosedAt, expiresAt: now.Add(min(keep, s.limits.MaxTTL+s.limits.MaxDeadline)), records: make(map[string]RequestResult[A], len(h.Records))}
	for _, rec := range h.Records {
		e.records[rec.ID] = rec
	}
	s.homes[key] = e
	s.recordCount += len(e.records)
	return true
}

// CacheAnswer caches an answer that this host forwarded, until the maximum
// deadline after the ticket's expiry. Outcomes other than an answer are ignored.
func (s *HandoverStore[A]) CacheAnswer(now time.Time, id ID, digest uint64, o outcome.Outcome, answer A) {
	s.expire(now)
	key := id.String()
	if _, ok := s.answers[key]; ok || o.Kind != outcome.Answered {
		return
	}
	if len(s.answers) >= s.limits.MaxRecords {
		s.evictAnswer()
	}
	n := &cachedAnswer[A]{RequestResult[A]{key, digest, o, answer}, id.Ticket.Expiry.Add(s.limits.MaxDeadline)}
	s.answers[key] = n
	s.answerOrder = append(s.answerOrder, n)
}

// Decide returns how to answer a request whose home is gone, and false if its
// outcome is not known.
func (s *HandoverStore[A]) Decide(now time.Time, id ID, digest uint64) (Decision[A], bool) {
	s.expire(now)
	key := id.String()
	e, closed := s.homes[homeKey{id.Ticket.Host, id.Ticket.Incarnation}]
	var rec RequestResult[A]
	known := false
	if closed {
		rec, known = e.records[key]
	}
	// A run that had not ended when its home closed may have been answered since.
	if n, ok := s.answers[key]; ok && (!known || rec.Outcome.Kind == outcome.Unknown && rec.Digest == n.Digest) {
		rec, known = n.RequestResult, true
	}
	switch {
	case known && rec.Digest != digest:
		return refuse[A](outcome.Refused(outcome.Invalid, "the ticket was used for a request with another body")), true
	case known:
		return Decision[A]{Action: Replay, Outcome: rec.Outcome, Answer: rec.Answer}, true
	case closed && id.Ticket.Expiry.Add(s.limits.MaxDeadline).After(e.closedAt):
		// A run would have left a record that had not expired when the home closed,
		// so the request did not run.
		return refuse[A](outcome.Refused(outcome.Draining, "host %s has stopped and did not run the request; a new ticket is needed", id.Ticket.Host)), true
	}
	return Decision[A]{}, false
}

// expire deletes expired records, and expired answers from the front of the insertion
// order. An answer that expires before an older one stays until then. That is safe:
// the answer is still the right one for its request, and MaxRecords bounds the number.
func (s *HandoverStore[A]) expire(now time.Time) {
	for key, e := range s.homes {
		if !now.Before(e.expiresAt) {
			s.recordCount -= len(e.records)
			delete(s.homes, key)
		}
	}
	for len(s.answerOrder) > 0 && !now.Before(s.answerOrder[0].expiresAt) {
		s.evictAnswer()
	}
}

func (s *HandoverStore[A]) evictAnswer() {
	delete(s.answers, s.answerOrder[0].ID)
	s.answerOrder = s.answerOrder[1:]
}
