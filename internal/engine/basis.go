package engine

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/published"
)

// basis is the published state by which a request was decided, and what the state of the host
// rested on at that time.
type basis struct {
	view   *catalog.View // nil if there was none
	ground published.Ground
}

// basisOf returns the basis of a decision by a view now.
func (e *Engine) basisOf(v *catalog.View) basis { return basis{view: v, ground: e.ground()} }

// ground returns what the state of the host rests on, the zero value if that is not known.
func (e *Engine) ground() published.Ground {
	if e.cfg.Ground == nil {
		return published.Ground{}
	}
	return e.cfg.Ground()
}

// config returns the version of the configuration, 0 if there was none.
func (b *basis) config() uint64 {
	if b.view == nil || b.view.Config == nil {
		return 0
	}
	return b.view.Config.Version
}

// appendPosition appends the log fields of the position of the view.
func (b *basis) appendPosition(fields []any) []any {
	var era, revision uint64
	if b.view != nil {
		era, revision = b.view.Era, b.view.Revision
	}
	return append(fields, "config", b.config(), "era", era, "revision", revision)
}

// appendGround appends the log fields of who confirmed the state of the host and how long before
// the line. They name the confirmed state if that is not the one of the view, and always if full
// is set.
func (b *basis) appendGround(fields []any, full bool) []any {
	g := &b.ground
	if full || b.view == nil || g.Era != b.view.Era || g.Revision != b.view.Revision {
		fields = append(fields, "state_era", g.Era, "state_revision", g.Revision)
	}
	return append(fields, "confirmed_by", g.ConfirmedBy, "confirmed_ms", confirmedAge(g).Milliseconds())
}

// confirmedAge returns the time since the confirmation of a state, at most an hour.
func confirmedAge(g *published.Ground) time.Duration {
	return min(time.Since(g.ConfirmedAt), time.Hour)
}
