package outcome

import (
	"fmt"
	"time"
)

// Kind is the kind of an outcome.
type Kind uint8

const (
	// Unknown means that the request may or may not have run.
	Unknown Kind = iota
	// Answered means that the complete answer was produced.
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

// Reason is the cause of an outcome other than Answered. The set of reasons is closed,
// so that they can serve as a metric label.
type Reason string

// The reasons.
const (
	None        Reason = ""
	Overload    Reason = "overload"     // a queue or limit on the request path was full
	Busy        Reason = "busy"         // the queue is longer than this attempt may wait; other targets may have room
	Deadline    Reason = "deadline"     // the deadline passed or cannot be met, or the record of the ticket is no longer kept
	Draining    Reason = "draining"     // the host or target takes no new work
	PlaceOut    Reason = "place_out"    // operators took the place out of service
	Quarantined Reason = "quarantined"  // the query is known to crash targets
	VersionGone Reason = "version_gone" // the index version is no longer served
	Unavailable Reason = "unavailable"  // no usable target or host is known, or the host stopped or was replaced
	ConnLost    Reason = "conn_lost"    // the connection broke while the request was outstanding
	Silent      Reason = "silent"       // the connection delivered nothing for too long
	Canceled    Reason = "canceled"     // the caller or the entry host canceled the request
	Invalid     Reason = "invalid"      // the request or its ticket is malformed or not valid
	Internal    Reason = "internal"     // a fault of a host or the target
	UnknownKey  Reason = "unknown_key"  // the request carries no key, or one that no tenant holds
	OverQuota   Reason = "over_quota"   // the tenant uses all that its rate limit allows
	NoToken     Reason = "no_token"     // the host has no token of the tenant yet, which may be below its limit
)

// Reasons returns every reason but None, in the order above.
func Reasons() []Reason {
	return []Reason{
		Overload, Busy, Deadline, Draining, PlaceOut, Quarantined, VersionGone, Unavailable, ConnLost, Silent, Canceled, Invalid, Internal,
		UnknownKey, OverQuota, NoToken,
	}
}

// Outcome is the outcome of a request, with a reason and a message unless it was
// answered.
type Outcome struct {
	Kind       Kind          `json:"outcome" cbor:"1,keyasint"`
	Reason     Reason        `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
	Message    string        `json:"message,omitempty" cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `json:"-" cbor:"4,keyasint,omitempty"` // wait that is advised before the request is sent again; 0 for no advice
}

// OK returns an Answered outcome.
func OK() Outcome { return Outcome{Kind: Answered} }

// Refused returns a NotRun outcome. It may be used only if nothing was sent, or if every
// recipient reported that it did not run the request.
func Refused(reason Reason, format string, args ...any) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// Uncertain returns an Unknown outcome.
func Uncertain(reason Reason, format string, args ...any) Outcome {
	return Outcome{Kind: Unknown, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// AsUnknown returns the outcome as Unknown, with the given explanation added to its
// message.
func (o Outcome) AsUnknown(explanation string) Outcome {
	o.Kind, o.Message = Unknown, o.Message+"; "+explanation
	return o
}

// DidNotRun reports whether the request is guaranteed not to have run.
func (o Outcome) DidNotRun() bool { return o.Kind == NotRun }

// String formats the outcome for logs and error messages.
func (o Outcome) String() string {
	if o.Reason == None {
		return o.Kind.String()
	}
	return fmt.Sprintf("%s (%s): %s", o.Kind, o.Reason, o.Message)
}
