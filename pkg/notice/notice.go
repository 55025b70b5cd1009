package notice

import "time"

// Kind is a kind of notice, as it appears in logs and metrics.
type Kind string

// The kinds of notices.
const (
	Limit Kind = "limit" // the requests a second that the target takes from all hosts together
)

// Kinds has all kinds of notices.
var Kinds = []Kind{Limit}

// Said is what one answer of a target says about the target itself.
type Said struct {
	// Limit is the number of requests a second that the target takes from all hosts
	// together, 0 if it names none.
	Limit float64
}

// Change is the start, change or end of a notice.
type Change struct {
	Kind          Kind
	Value, Before float64 // 0 if there is, or was, no notice
}

// Target is what one process of a target has said about itself. The zero value has said
// nothing.
type Target struct {
	limit   float64
	limitAt time.Time // arrival of the last answer that named the limit
}

// Observe records what an answer says to a request that was sent at the given time, and
// returns the changes.
func (t *Target) Observe(now, sent time.Time, said Said) []Change {
	var changes []Change
	// An answer without a limit ends the notice, unless it may be older than the answer
	// that named it.
	if said.Limit > 0 || t.limit > 0 && sent.After(t.limitAt) {
		if said.Limit != t.limit {
			changes = append(changes, Change{Kind: Limit, Value: said.Limit, Before: t.limit})
		}
		t.limit, t.limitAt = said.Limit, now
	}
	return changes
}

// Limit returns the limit that the target names, in requests a second, 0 if none.
func (t *Target) Limit() float64 { return t.limit }
