package bench

import (
	"cmp"
	"regexp"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// maxFailureKinds bounds the kinds of failures counted separately in a row. Further
// kinds are counted with the message "other".
const maxFailureKinds = 64

// Failure counts the requests without an answer, or the missing groups of answers, that
// have the same outcome, reason and message.
type Failure struct {
	Outcome string         `json:"outcome"` // not_run, unknown, or missing for a group that an answer lacks
	Reason  outcome.Reason `json:"reason"`
	Message string         `json:"message"` // with each number replaced by #, or "other" above maxFailureKinds
	Count   int            `json:"count"`
	Seconds []int          `json:"seconds"` // counts by second of the intended start
}

// outcomeMissing is the outcome of a group that an answer lacks.
const outcomeMissing = "missing"

type failureKind struct {
	outcome string
	reason  outcome.Reason
	message string
}

// failureCounts counts the failures of a row by kind.
type failureCounts struct {
	seconds int
	byKey   map[failureKind]*Failure
}

func newFailureCounts(seconds int) *failureCounts {
	return &failureCounts{seconds: seconds, byKey: map[failureKind]*Failure{}}
}

var numberPattern = regexp.MustCompile(`[0-9]+(\.[0-9]+)*`)

func (f *failureCounts) add(kind string, reason outcome.Reason, message string, at time.Duration) {
	key := failureKind{kind, reason, numberPattern.ReplaceAllString(message, "#")}
	entry, ok := f.byKey[key]
	if !ok && len(f.byKey) >= maxFailureKinds {
		key.message = "other"
		entry, ok = f.byKey[key]
	}
	if !ok {
		entry = &Failure{Outcome: key.outcome, Reason: key.reason, Message: key.message, Seconds: make([]int, f.seconds)}
		f.byKey[key] = entry
	}
	entry.Count++
	entry.Seconds[min(int(at/time.Second), f.seconds-1)]++
}

// addReply counts a request without an answer, or the groups that the answer to a search
// lacks.
func (f *failureCounts) addReply(r *reply, at time.Duration) {
	switch o := r.outcome; {
	case o.Kind == outcome.NotRun || o.Kind == outcome.Unknown:
		f.add(o.Kind.String(), o.Reason, o.Message, at)
	case r.search != nil:
		for _, w := range r.search.Warnings {
			f.add(outcomeMissing, w.Reason, w.Message, at)
		}
	}
}

// list returns the failures in descending frequency.
func (f *failureCounts) list() []Failure {
	all := make([]Failure, 0, len(f.byKey))
	for _, entry := range f.byKey {
		all = append(all, *entry)
	}
	slices.SortFunc(all, func(a, b Failure) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Message, b.Message))
	})
	return all
}
