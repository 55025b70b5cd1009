package engine

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// sendRecord describes one send in the log line of its request.
type sendRecord struct {
	shard  int
	target string
	began  time.Time
	took   time.Duration
	extra  bool // a hedge, or a retry that counts against the budget of extra sends
	done   bool // whether the result is known; took, kind and status are set only then
	kind   backend.Kind
	status int // of the target's answer; 0 if there is none
}

// recordEnd records the result of a send for the log line.
func (x *execution) recordEnd(result sendResult) {
	for i := range x.history {
		if t := &x.history[i]; t.shard == result.shard && t.target == result.target.id && !t.done {
			t.done, t.kind, t.status, t.took = true, result.result.Kind, result.result.Status, time.Since(t.began)
			return
		}
	}
}

// maxLogItems bounds the number of sends and of missing shards in a log line.
const maxLogItems = 12

// lineFields is the number of names and values for which the line of a request has room; a line
// that needs more grows.
const lineFields = 48

// log writes the log line of a finished request: its limits, sends and outcome.
func (x *execution) log(a *Answer) {
	if !x.e.cfg.Log.IsInfo() {
		return
	}
	extra := 0
	for i := range x.history {
		if x.history[i].extra {
			extra++
		}
	}
	reasons, missing := x.missingShards()
	answered := a.Outcome.Kind == outcome.Answered
	fields := x.appendPosition(append(make([]any, 0, lineFields), "request", x.r.ID, "route", x.route.Name))
	fields = x.appendConfirmation(fields, answered)
	fields = append(fields,
		"outcome", a.Outcome.Kind.String(), "answer_status", a.Status, "answer_from", string(a.Source()), "ms", x.decided.Sub(x.r.Received).Milliseconds(), "written_ms", time.Since(x.r.Received).Milliseconds(),
		"limit_ms", x.deadline.Sub(x.r.Received).Milliseconds(), "answer_by_ms", x.answerBy.Sub(x.r.Received).Milliseconds(),
		"sends", len(x.history), "shards", len(x.shards))
	// Most lines are of answered requests, which leave out what is empty or 0.
	if !answered || a.Outcome.Reason != "" {
		fields = append(fields, "reason", string(a.Outcome.Reason))
	}
	if !answered || extra > 0 {
		fields = append(fields, "extra", extra)
	}
	if !answered || missing > 0 {
		fields = append(fields, "missing", missing)
	}
	if x.r.Tenant != "" {
		fields = append(fields, "tenant", x.r.Tenant)
	}
	fields = append(fields, x.e.stoppingField(x.r)...)
	if missing > 0 {
		fields = append(fields, "lacking", reasons)
	}
	if sends := x.sendHistory(); len(sends) > 0 && (extra > 0 || !answered) {
		fields = append(fields, "tries", sends)
	}
	if len(x.shards) == 1 && x.shards[0].failure != nil {
		f := x.shards[0].failure
		fields = append(fields, "target", x.shards[0].failedTarget, "result", f.Kind.String(), "status", f.Status, "dialed_ms", f.DialTime.Milliseconds(), "took_ms", f.Duration.Milliseconds())
		if f.Err != nil {
			fields = append(fields, "error", f.Err.Error())
		}
	}
	x.e.cfg.Log.Info("request finished", fields...)
}

// appendConfirmation appends the log fields of who confirmed the state by which the request was
// decided, and of the later view by which an unanswered request ended if that is not the one of
// its plan.
func (x *execution) appendConfirmation(fields []any, answered bool) []any {
	last := x.lastView
	if answered || last == nil || last.Era == x.view.Era && last.Revision == x.view.Revision {
		return x.appendGround(fields, !answered)
	}
	b := x.e.basisOf(last)
	return append(b.appendGround(fields, true), "last_config", b.config(), "last_era", last.Era, "last_revision", last.Revision)
}

// missingShards returns the number of shards without an answer, and the reasons of the
// first maxLogItems of them.
func (x *execution) missingShards() (reasons []string, missing int) {
	for i := range x.shards {
		s := &x.shards[i]
		if s.part != nil {
			continue
		}
		missing++
		reason := string(s.reason)
		switch {
		case len(s.open) > 0:
			reason = "open:" + s.open[0].target.id
		case reason == "":
			reason = "no_target"
		}
		if len(reasons) < maxLogItems {
			reasons = append(reasons, s.service+"="+reason)
		}
	}
	return reasons, missing
}

// sendHistory describes, in order, up to maxLogItems sends of the shards that have more
// than one send or no answer.
func (x *execution) sendHistory() []string {
	sends := map[int]int{}
	for i := range x.history {
		sends[x.history[i].shard]++
	}
	var lines []string
	for i := range x.history {
		t := &x.history[i]
		s := &x.shards[t.shard]
		if sends[t.shard] < 2 && s.part != nil || len(lines) >= maxLogItems {
			continue
		}
		lines = append(lines, fmt.Sprintf("%d ms: %s to %s: %s", t.began.Sub(x.r.Received).Milliseconds(), s.service, t.target, t.result()))
	}
	return lines
}

// result describes the result of a send.
func (t *sendRecord) result() string {
	switch {
	case !t.done:
		return "open"
	case t.status != 0:
		return fmt.Sprintf("%s with status %d after %d ms", t.kind, t.status, t.took.Milliseconds())
	default:
		return fmt.Sprintf("%s after %d ms", t.kind, t.took.Milliseconds())
	}
}

// logReachability logs the change of a target from reachable to unreachable or back. r
// is the result that may have caused it, wasReachable the state before.
func (e *Engine) logReachability(t *target, r *backend.Result, wasReachable bool) {
	switch reachable := t.state.Reachable(); {
	case wasReachable && !reachable:
		fields := []any{"target", t.id, "service", t.service, "result", r.Kind.String()}
		if r.Err != nil {
			fields = append(fields, "error", r.Err.Error())
		}
		e.cfg.Log.Info("target is not reached; left alone for a while", fields...)
	case !wasReachable && reachable:
		e.cfg.Log.Info("target is reached again", "target", t.id, "service", t.service)
	}
}

// logOversized logs the first answer of a target that was longer than any valid one. The
// engine's lock must be held.
func (e *Engine) logOversized(t *target, r *backend.Result) {
	if t.oversized || !r.Oversized() {
		return
	}
	t.oversized = true
	e.cfg.Log.Warn("a target sent an answer without an end; such answers are cut off and count as failed", "target", t.id, "service", t.service, "error", r.Err.Error())
}

// logMalformed logs the first malformed answer of a target. The engine's lock must be held.
func (e *Engine) logMalformed(t *target, r *backend.Result) {
	if t.malformedAnswer || !r.Malformed() {
		return
	}
	t.malformedAnswer = true
	e.cfg.Log.Warn("a target sent a malformed answer; such answers count as failed, and the request may have run", "target", t.id, "service", t.service, "error", r.Err.Error())
}

// logUnstated logs the first failure of a target whose status would tell the caller more than the
// target did. The engine's lock must be held.
func (e *Engine) logUnstated(t *target, r *backend.Result) {
	if t.unstatedFailure || !r.Unstated() {
		return
	}
	t.unstatedFailure = true
	e.cfg.Log.Warn("a target failed with a status that means \"not run\" to callers, without the statement that the request did not run; such failures are not passed on", "target", t.id, "service", t.service, "status", r.Status)
}
