package outcome

import (
	"fmt"
	"time"
)

// Kind tells how far a request got.
type Kind uint8

const (
	// Unknown means that the request may or may not have run.
	Unknown Kind = iota
	// Answered means that the whole answer was produced.
	Answered
	// Partial means that an answer with less than full coverage was produced.
	Partial
	// NotRun means that no target executed the request.
	NotRun
)

var kindNames = [...]string{Unknown: "unknown", Answered: "answered", Partial: "partial", NotRun: "not_run"}

// String returns the name used in JSON and in metric labels.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// MarshalText encodes the kind by its name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText decodes a name written by MarshalText.
func (k *Kind) UnmarshalText(text []byte) error {
	for i, name := range kindNames {
		if name == string(text) {
			*k = Kind(i)
			return nil
		}
	}
	return fmt.Errorf("unknown outcome %q", text)
}

// Reason says why a request was not answered. The set is closed, so that it
// can serve as a metric label.
type Reason string

// Reasons in use.
const (
	None        Reason = ""
	Overload    Reason = "overload"     // a queue or limit on the way was full
	Busy        Reason = "busy"         // the queue is longer than this attempt may wait; it says nothing of other targets
	Deadline    Reason = "deadline"     // the deadline passed or cannot be met
	Draining    Reason = "draining"     // the host or target takes no new work
	PlaceOut    Reason = "place_out"    // operators took the place out of service
	Quarantined Reason = "quarantined"  // the query is known to crash targets
	VersionGone Reason = "version_gone" // the index version is no longer served
	Unavailable Reason = "unavailable"  // no usable target or host is known
	ConnLost    Reason = "conn_lost"    // the connection broke while the request was on it
	Silent      Reason = "silent"       // nothing came over the connection for too long
	Canceled    Reason = "canceled"     // the caller or the entry host gave up
	Invalid     Reason = "invalid"      // the request is malformed
	Internal    Reason = "internal"     // a fault of the tier or the target
)

// Reasons returns every reason but None, in the order above.
func Reasons() []Reason {
	return []Reason{
		Overload, Busy, Deadline, Draining, PlaceOut, Quarantined, VersionGone, Unavailable, ConnLost, Silent, Canceled, Invalid, Internal,
	}
}

// Outcome is what became of a request, with the reason if it was not answered.
type Outcome struct {
	Kind       Kind          `json:"outcome" cbor:"1,keyasint"`
	Reason     Reason        `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
	Message    string        `json:"message,omitempty" cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `json:"-" cbor:"4,keyasint,omitempty"`
}

// OK is the outcome of a fully answered request.
func OK() Outcome { return Outcome{Kind: Answered} }

// Refused returns a NotRun outcome. Call it only where nothing was sent, or
// where every recipient said that it did not run the request.
func Refused(reason Reason, format string, args ...any) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// Uncertain returns an Unknown outcome.
func Uncertain(reason Reason, format string, args ...any) Outcome {
	return Outcome{Kind: Unknown, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// AsUnknown returns the outcome as Unknown, with the reason for the doubt added to
// its message.
func (o Outcome) AsUnknown(why string) Outcome {
	o.Kind, o.Message = Unknown, o.Message+"; "+why
	return o
}

// DidNotRun reports whether the request certainly did not run.
func (o Outcome) DidNotRun() bool { return o.Kind == NotRun }

// String formats the outcome for logs and error messages.
func (o Outcome) String() string {
	if o.Reason == None {
		return o.Kind.String()
	}
	return fmt.Sprintf("%s (%s): %s", o.Kind, o.Reason, o.Message)
}
