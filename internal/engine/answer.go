package engine

import (
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/pkg/gather"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// decide returns the answer and true if the request ends now, and false if it still waits
// for results.
func (x *execution) decide(now time.Time) (Answer, bool) {
	p := x.progress()
	verdict := gather.Decide(p, now, x.answerBy)
	if verdict == gather.Wait && !now.Before(x.deadline) {
		verdict = gather.GiveUp
	}
	switch verdict {
	case gather.Answer:
		return x.successAnswer(p), true
	case gather.GiveUp:
		return x.failureAnswer(now), true
	default:
		return Answer{}, false
	}
}

// successAnswer returns the answer from the received parts.
func (x *execution) successAnswer(p gather.Progress) Answer {
	if len(x.route.Shards) == 0 {
		return Answer{Outcome: outcome.OK(), Forwarded: x.shards[0].part}
	}
	m := &Merged{Missing: p.Shards - p.Received}
	parts := make([][]byte, 0, p.Received)
	for i := range x.shards {
		if part := x.shards[i].part; part != nil {
			m.Digests = append(m.Digests, part.Head.Digest)
			parts = append(parts, part.Body)
		}
	}
	m.Records = gather.TopRecords(parts, x.route.TopK)
	a := Answer{Outcome: outcome.OK(), Merged: m}
	if m.Missing > 0 {
		a.Outcome.Kind = outcome.Partial
	}
	return a
}

// mayPassOn reports whether a caller may get a result other than a success unchanged. The status
// must not state more than the target did about whether the request ran.
func mayPassOn(r *backend.Result) bool { return r.Kind == backend.Failure && !r.Unstated() }

// failureAnswer returns the answer to a request without enough parts. Its outcome is
// NotRun only if no send can have run or can still run.
func (x *execution) failureAnswer(now time.Time) Answer {
	mayHaveRun := false
	reason := outcome.Unavailable
	for i := range x.shards {
		s := &x.shards[i]
		mayHaveRun = mayHaveRun || s.possibleRuns > 0 || len(s.open) > 0 || s.part != nil
		if s.reason != "" {
			reason = s.reason
		}
	}
	if len(x.shards) == 1 && x.shards[0].failure != nil && mayPassOn(x.shards[0].failure) {
		return Answer{Outcome: outcome.Uncertain(outcome.Internal, "the target failed"), Forwarded: x.shards[0].failure}
	}
	switch {
	case !mayHaveRun:
		return Answer{Outcome: x.e.refusal(reason, x.retryAfter(now), "no target took the request")}
	case !now.Before(x.deadline):
		return Answer{Outcome: outcome.Uncertain(outcome.Deadline, "no answer within the time limit")}
	case len(x.shards) == 1 && x.shards[0].failure != nil && x.shards[0].failure.Unstated():
		return Answer{Outcome: outcome.Uncertain(reason, "the target failed with status %d and did not say whether the request ran", x.shards[0].failure.Status)}
	default:
		return Answer{Outcome: outcome.Uncertain(reason, "the targets failed")}
	}
}
