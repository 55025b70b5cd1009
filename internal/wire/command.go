package wire

import (
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
)

// ExchangeCommand is CommandRequest, a CommandReply with Accepted set, then a
// CommandReply with the result. A reply with Confirm set is answered by a
// CommandConfirm. The number leaves room for further exchanges of queries.
const ExchangeCommand Exchange = 32

// CommandRequest forwards a command, a request that may not be repeated, to its home,
// the host that its ticket names.
type CommandRequest struct {
	RequestID   string `cbor:"1,keyasint"` // ticket prefix and the caller's suffix
	Service     string `cbor:"2,keyasint"`
	ID          string `cbor:"3,keyasint"` // identifier of the record
	TimeoutMS   int64  `cbor:"4,keyasint"` // time left until the deadline
	Class       uint8  `cbor:"5,keyasint"` // settings.Priority
	Traceparent string `cbor:"6,keyasint,omitempty"`
	// Relay asks a host that is not the home to forward the request to the home.
	Relay  bool   `cbor:"7,keyasint,omitempty"`
	Tenant string `cbor:"16,keyasint,omitempty"` // name of the caller's tenant; "" for none
}

// CommandReply is the acknowledgement, the result or the refusal of a command by
// its home.
type CommandReply struct {
	Outcome outcome.Outcome  `cbor:"1,keyasint"`
	Found   bool             `cbor:"2,keyasint,omitempty"`
	Record  *coverage.Record `cbor:"3,keyasint,omitempty"`
	Version uint64           `cbor:"4,keyasint,omitempty"`
	// Confirm asks for a CommandConfirm before the command runs: the home refused a
	// resend of this request, and this one may be an earlier send that was delayed.
	Confirm bool `cbor:"5,keyasint,omitempty"`
	// Accepted acknowledges that the host received the request; the result follows.
	Accepted bool `cbor:"6,keyasint,omitempty"`
}

// CommandConfirm confirms that the sender still waits for the command.
type CommandConfirm struct{}

// ExchangeLookupOnce is LookupRequest, LookupReady, LookupStart and LookupReply, for
// the lookup of a command. The branch host runs nothing before LookupStart,
// so the home knows that a lookup for which it sent no LookupStart has not run.
const ExchangeLookupOnce Exchange = 35

// LookupReady acknowledges that the branch host received the request.
type LookupReady struct{}

// LookupStart allows the branch host to run the lookup. From then on the lookup
// may have run.
type LookupStart struct {
	TimeoutMS int64 `cbor:"1,keyasint"` // time left until the deadline
}

// ExchangeHandover is a sequence of Handover messages, the last of which has Last
// set, then HandoverAck.
const ExchangeHandover Exchange = 34

// Handover transfers run records of a home that shuts down.
type Handover struct {
	Host        string           `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"`
	ClosedAtMS  int64            `cbor:"3,keyasint"` // Unix milliseconds by the clock of the home
	RetentionMS int64            `cbor:"4,keyasint"` // how long the receiver keeps the records
	Records     []HandoverRecord `cbor:"5,keyasint,omitempty"`
	Last        bool             `cbor:"6,keyasint,omitempty"`
}

// HandoverRecord is the run record of a command that ran or may have run.
type HandoverRecord struct {
	RequestID string       `cbor:"1,keyasint"`
	Digest    uint64       `cbor:"2,keyasint"` // hash of the request body
	Reply     CommandReply `cbor:"3,keyasint"`
}

// HandoverAck reports whether the receiver stored the records.
type HandoverAck struct {
	Accepted bool `cbor:"1,keyasint,omitempty"`
}

// ExchangeQuarantine is QuarantineNotice, then QuarantineAck.
const ExchangeQuarantine Exchange = 33

// QuarantineNotice reports to a peer which queries ran on a target when its
// connection broke, without waiting for the next heartbeat.
type QuarantineNotice struct {
	Entries []quarantine.Entry `cbor:"1,keyasint"`
}

// QuarantineAck confirms that the peer applies the notice.
type QuarantineAck struct{}
