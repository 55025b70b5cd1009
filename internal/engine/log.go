package engine

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// try is one send, for the log line of its request.
type try struct {
	shard  int
	target string
	began  time.Time
	took   time.Duration
	extra  bool
	done   bool
	kind   backend.Kind
}

// ended records the result of a send.
func (x *execution) ended(end ended) {
	for i := range x.tries {
		if t := &x.tries[i]; t.shard == end.shard && t.target == end.target.id && !t.done {
			t.done, t.kind, t.took = true, end.result.Kind, time.Since(t.began)
			return
		}
	}
}

// maxTold bounds the sends and the missing shards in a log line.
const maxTold = 12

// log writes the line of a finished request: what decided it and what it got.
func (x *execution) log(a *Answer) {
	if !x.e.cfg.Log.IsInfo() {
		return
	}
	extra := 0
	for i := range x.tries {
		if x.tries[i].extra {
			extra++
		}
	}
	lacking, missing := x.lacking()
	fields := []any{
		"request", x.r.ID, "route", x.route.Name, "config", x.view.Config.Version, "revision", x.view.Revision,
		"outcome", a.Outcome.Kind.String(), "reason", string(a.Outcome.Reason), "ms", time.Since(x.r.Received).Milliseconds(),
		"limit_ms", x.until.Sub(x.r.Received).Milliseconds(), "answer_by_ms", x.answerBy.Sub(x.r.Received).Milliseconds(),
		"sends", len(x.tries), "extra", extra, "shards", len(x.shards), "missing", missing,
	}
	if missing > 0 {
		fields = append(fields, "lacking", lacking)
	}
	if told := x.story(); len(told) > 0 && (extra > 0 || a.Outcome.Kind != outcome.Answered) {
		fields = append(fields, "tries", told)
	}
	if len(x.shards) == 1 && x.shards[0].failure != nil {
		f := x.shards[0].failure
		fields = append(fields, "target", x.shards[0].last, "result", f.Kind.String(), "status", f.Status, "dialed_ms", f.DialTime.Milliseconds(), "took_ms", f.Duration.Milliseconds())
		if f.Err != nil {
			fields = append(fields, "error", f.Err.Error())
		}
	}
	x.e.cfg.Log.Info("request finished", fields...)
}

// lacking returns why shards have no answer, and how many have none.
func (x *execution) lacking() (why []string, missing int) {
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
		if len(why) < maxTold {
			why = append(why, s.service+"="+reason)
		}
	}
	return why, missing
}

// story returns the sends of the shards that were sent to more than once or have
// no answer, in their order.
func (x *execution) story() []string {
	sends := map[int]int{}
	for i := range x.tries {
		sends[x.tries[i].shard]++
	}
	var told []string
	for i := range x.tries {
		t := &x.tries[i]
		s := &x.shards[t.shard]
		if sends[t.shard] < 2 && s.part != nil || len(told) >= maxTold {
			continue
		}
		result := "open"
		if t.done {
			result = fmt.Sprintf("%s after %d ms", t.kind, t.took.Milliseconds())
		}
		told = append(told, fmt.Sprintf("%d ms: %s to %s: %s", t.began.Sub(x.r.Received).Milliseconds(), s.service, t.target, result))
	}
	return told
}

// logReach writes a line if a target was lost or is reached again.
func (e *Engine) logReach(t *target, r *backend.Result, before bool) {
	switch after := t.state.Reachable(); {
	case before && !after:
		fields := []any{"target", t.id, "service", t.service, "result", r.Kind.String()}
		if r.Err != nil {
			fields = append(fields, "error", r.Err.Error())
		}
		e.cfg.Log.Info("target is not reached; left alone for a while", fields...)
	case !before && after:
		e.cfg.Log.Info("target is reached again", "target", t.id, "service", t.service)
	}
}
