package wire

import (
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
)

// ExchangeCommand is CommandRequest, a CommandReply that says that the host has
// the request, then the result, with CommandConfirm after each reply that asks
// for it. The number leaves room for the exchanges of queries.
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
	// Relay asks a host that is not the home to forward the request to it.
	Relay bool `cbor:"7,keyasint,omitempty"`
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
	// Accepted says that the host has the request; the result follows.
	Accepted bool `cbor:"6,keyasint,omitempty"`
}

// CommandConfirm says that the caller still waits for the command.
type CommandConfirm struct{}

// ExchangeLookupOnce is LookupRequest, LookupReady, LookupStart and LookupReply, for a
// lookup that may not be repeated. The branch host runs nothing before LookupStart,
// so the home knows that a lookup which it did not hand over has not run.
const ExchangeLookupOnce Exchange = 35

// LookupReady says that the branch host has the request.
type LookupReady struct{}

// LookupStart hands a lookup over to the branch host.
type LookupStart struct {
	TimeoutMS int64 `cbor:"1,keyasint"` // time left until the deadline
}

// ExchangeHandover is Handover messages up to the last one, then HandoverAck.
const ExchangeHandover Exchange = 34

// Handover states the records of a home that stops.
type Handover struct {
	Host        string           `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"`
	ClosedAtMS  int64            `cbor:"3,keyasint"` // Unix milliseconds by the clock of the home
	RetentionMS int64            `cbor:"4,keyasint"` // how long they are of use
	Records     []HandoverRecord `cbor:"5,keyasint,omitempty"`
	Last        bool             `cbor:"6,keyasint,omitempty"`
}

// HandoverRecord is a command that ran, or that may have.
type HandoverRecord struct {
	RequestID string       `cbor:"1,keyasint"`
	Digest    uint64       `cbor:"2,keyasint"` // of the body
	Reply     CommandReply `cbor:"3,keyasint"`
}

// HandoverAck says whether the records are held.
type HandoverAck struct {
	Accepted bool `cbor:"1,keyasint,omitempty"`
}

// ExchangeQuarantine is QuarantineNotice, then QuarantineAck.
const ExchangeQuarantine Exchange = 33

// QuarantineNotice tells a peer at once about a connection that died under a
// query.
type QuarantineNotice struct {
	Entries []quarantine.Entry `cbor:"1,keyasint"`
}

// QuarantineAck says that the notice is in force on the peer.
type QuarantineAck struct{}
