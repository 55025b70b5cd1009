package edge

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/pkg/published"
)

const (
	// repeatQuiet is the time without a line of the same message and reason after which the
	// next one is logged again.
	repeatQuiet = 10 * time.Second
	// behindDelay is how long the store must have an older configuration than the one in force
	// before that is logged. Peers may pass a configuration on before what they know of the store.
	behindDelay = time.Second
)

// lineKind identifies lines that repeat each other.
type lineKind struct{ message, reason string }

// repeats are the lines of one kind since the one that was logged.
type repeats struct {
	count int // without that one
	last  time.Time
}

// repeatedLines count lines that repeat earlier ones, so that only the first of them is logged.
// The zero value is ready for use.
type repeatedLines struct{ recent map[lineKind]*repeats }

// isFirst counts a line, and reports whether it has to be logged.
func (l *repeatedLines) isFirst(now time.Time, message, reason string) bool {
	if l.recent == nil {
		l.recent = map[lineKind]*repeats{}
	}
	kind := lineKind{message, reason}
	if r, ok := l.recent[kind]; ok {
		r.count++
		r.last = now
		return false
	}
	l.recent[kind] = &repeats{last: now}
	return true
}

// endQuiet forgets the lines that were not repeated for repeatQuiet, and logs how many were not
// logged.
func (l *repeatedLines) endQuiet(now time.Time, log hclog.Logger) {
	for kind, r := range l.recent {
		if now.Sub(r.last) <= repeatQuiet {
			continue
		}
		delete(l.recent, kind)
		if r.count > 0 {
			log.Info("a repeated line has ended", "line", kind.message, "reason", kind.reason, "not_logged", r.count, "last_ms_ago", now.Sub(r.last).Milliseconds())
		}
	}
}

// behindLog logs when the configuration in force is later than the one that the store has, and
// when that ends. The zero value is ready for use.
type behindLog struct {
	since  time.Time // zero if it is not later
	logged bool
}

func (b *behindLog) log(now time.Time, g *published.Ground, log hclog.Logger) {
	fields := func() []any {
		return []any{"config", g.ConfigVersion, "store_config", g.StoreConfig, "era", g.Era, "revision", g.Revision, "confirmed_by", g.ConfirmedBy}
	}
	switch {
	case g.StoreConfig == 0 || g.StoreConfig >= g.ConfigVersion:
		if b.logged {
			log.Info("the store has the configuration in force again", append(fields(), "behind_ms", now.Sub(b.since).Milliseconds())...)
		}
		*b = behindLog{}
	case b.since.IsZero():
		b.since = now
	case !b.logged && now.Sub(b.since) >= behindDelay:
		b.logged = true
		log.Warn("the configuration in force is later than the one that the store has; operators have to write it again", fields()...)
	}
}
