package wire

import (
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
)

// ExchangeCommand is CommandRequest, then CommandReply, with CommandConfirm
// after each reply that asks for it. The number leaves room
// for the exchanges of queries.
const ExchangeCommand Exchange = 32

// CommandRequest forwards a request that may not be repeated to the host that
// its ticket names.
type CommandRequest struct {
	RequestID   string `cbor:"1,keyasint"` // ticket and suffix
	Service     string `cbor:"2,keyasint"`
	ID          string `cbor:"3,keyasint"` // identifier of the record
	TimeoutMS   int64  `cbor:"4,keyasint"` // time left until the deadline
	Class       uint8  `cbor:"5,keyasint"`
	Traceparent string `cbor:"6,keyasint,omitempty"`
}

// CommandReply is the result of a command, or the refusal of its home.
type CommandReply struct {
	Outcome outcome.Outcome  `cbor:"1,keyasint"`
	Found   bool             `cbor:"2,keyasint,omitempty"`
	Record  *coverage.Record `cbor:"3,keyasint,omitempty"`
	Version uint64           `cbor:"4,keyasint,omitempty"`
	// Confirm asks for a CommandConfirm before the result: a resend of this
	// request was refused, and this may be an earlier send that was late.
	Confirm bool `cbor:"5,keyasint,omitempty"`
}

// CommandConfirm says that the caller still waits for the command.
type CommandConfirm struct{}

// ExchangeQuarantine is QuarantineNotice, then QuarantineAck.
const ExchangeQuarantine Exchange = 33

// QuarantineNotice tells a peer at once about a connection that died under a
// query.
type QuarantineNotice struct {
	Entries []quarantine.Entry `cbor:"1,keyasint"`
}

// QuarantineAck says that the notice is in force on the peer.
type QuarantineAck struct{}
