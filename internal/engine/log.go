package engine

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// log writes the line of a finished request: what decided it and what it got.
func (x *execution) log(a *Answer) {
	if !x.e.cfg.Log.IsInfo() {
		return
	}
	missing := 0
	var lacking []string
	for i := range x.shards {
		if s := &x.shards[i]; s.part == nil {
			missing++
			why := string(s.reason)
			if len(s.open) > 0 {
				why = "open:" + s.open[0].target.id
			}
			lacking = append(lacking, s.service+"="+why)
		}
	}
	fields := []any{
		"request", x.r.ID, "route", x.route.Name, "config", x.view.Config.Version, "revision", x.view.Revision,
		"outcome", a.Outcome.Kind.String(), "reason", string(a.Outcome.Reason), "ms", time.Since(x.r.Received).Milliseconds(),
		"sends", x.sent, "extra", x.extra, "shards", len(x.shards), "missing", missing,
	}
	if len(lacking) > 0 {
		fields = append(fields, "lacking", lacking)
	}
	if len(x.shards) == 1 && x.shards[0].failure != nil {
		f := x.shards[0].failure
		fields = append(fields, "target", x.shards[0].last, "result", f.Kind.String(), "status", f.Status, "dialed_ms", f.Dialed.Milliseconds(), "took_ms", f.Took.Milliseconds())
		if f.Err != nil {
			fields = append(fields, "error", f.Err.Error())
		}
	}
	if a.Outcome.Kind == outcome.Answered {
		x.e.cfg.Log.Debug("request finished", fields...)
		return
	}
	x.e.cfg.Log.Info("request finished", fields...)
}
