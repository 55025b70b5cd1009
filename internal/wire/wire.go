// Package wire defines the messages between hosts and their encoding.
//
// A message is a CBOR item behind a four-byte big-endian length, on a QUIC
// stream whose first byte names the exchange. Every query has a stream of its
// own, so a late or crossed reply cannot reach another query.
package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
)

// MaxMessageBytes bounds one message. The largest is a reply with the records
// of all groups of a place.
const MaxMessageBytes = 16 << 20

// Exchange is the kind of conversation on a stream.
type Exchange uint8

// Exchanges.
const (
	ExchangeSearch Exchange = 1 + iota // SearchRequest, then SearchReply until Final; Cancel at any time
	ExchangeLookup                     // LookupRequest, then LookupReply
)

// SearchRequest asks a branch host to search targets of its place.
type SearchRequest struct {
	QueryID     string        `cbor:"1,keyasint"`
	Service     string        `cbor:"2,keyasint"`
	Terms       []string      `cbor:"3,keyasint"`
	Limit       int           `cbor:"4,keyasint"` // records wanted; 0 for all
	Version     uint64        `cbor:"5,keyasint"` // index version; 0 for the newest
	TimeoutMS   int64         `cbor:"6,keyasint"` // time left until the deadline, because clocks of hosts differ
	Class       uint8         `cbor:"7,keyasint"` // settings.Priority
	Parts       []PartRequest `cbor:"8,keyasint"`
	Traceparent string        `cbor:"9,keyasint,omitempty"`
	Canary      bool          `cbor:"16,keyasint,omitempty"` // a suspect query that runs on one target alone
	// Borrow is set by the other owner of the targets: parts run only if a slot
	// is free at once, and are refused as Overload otherwise.
	Borrow bool `cbor:"17,keyasint,omitempty"`
}

// PartRequest names one group and the target that shall answer for it.
type PartRequest struct {
	Group               string `cbor:"1,keyasint"`
	Target              string `cbor:"2,keyasint"`
	Cause               Cause  `cbor:"3,keyasint,omitempty"` // for traces
	MaxWaitServiceTimes uint8  `cbor:"4,keyasint,omitempty"` // longest wait for a slot, in service times; 0 is not bounded
}

// SearchReply carries the parts that have become ready.
type SearchReply struct {
	Parts []PartResult `cbor:"1,keyasint"`
	Final bool         `cbor:"2,keyasint,omitempty"`
	// QueryID repeats that of the request; a frame of another query is ignored.
	QueryID string `cbor:"3,keyasint"`
}

// PartResult is the answer or the refusal of one target.
type PartResult struct {
	Group    string             `cbor:"1,keyasint"`
	Target   string             `cbor:"2,keyasint"`
	Outcome  outcome.Outcome    `cbor:"3,keyasint"`
	Version  uint64             `cbor:"4,keyasint,omitempty"`
	Covered  []coverage.Covered `cbor:"5,keyasint,omitempty"`
	Records  []coverage.Record  `cbor:"6,keyasint,omitempty"`
	Status   TargetStatus       `cbor:"7,keyasint"`
	QueueUS  int64              `cbor:"8,keyasint,omitempty"` // microseconds waited for a slot on the branch host
	TargetUS int64              `cbor:"9,keyasint,omitempty"` // microseconds from sending to the target's answer

	// Borrowed is set on the branch host that passed the part on to the target's
	// other owner; it does not travel.
	Borrowed bool `cbor:"-"`

	ConnectionLost    bool               `cbor:"16,keyasint,omitempty"` // the target's connection died under the request
	QuarantineEntries []quarantine.Entry `cbor:"17,keyasint,omitempty"` // what the branch host knows of the query
}

// TargetStatus is what a target said about itself in an answer.
type TargetStatus struct {
	State    TargetState `json:"state" cbor:"1,keyasint,omitempty"`
	BootID   string      `json:"boot_id" cbor:"2,keyasint,omitempty"` // changes when the target's process restarts
	Versions []uint64    `json:"index_versions" cbor:"3,keyasint,omitempty"`
}

// TargetState is a target's own statement about its condition.
type TargetState string

// Target states. The empty state means that the target did not say.
const (
	TargetWarm     TargetState = "warm"
	TargetCold     TargetState = "cold"
	TargetDraining TargetState = "draining"
)

// Cancel withdraws parts of a search that is in progress. Without groups it
// withdraws all of them.
type Cancel struct {
	Groups []string `cbor:"1,keyasint,omitempty"`
}

// LookupRequest asks a branch host to read one record from a target.
type LookupRequest struct {
	RequestID   string `cbor:"1,keyasint"`
	Service     string `cbor:"2,keyasint"`
	ID          string `cbor:"3,keyasint"` // identifier of the record
	Target      string `cbor:"4,keyasint"`
	TimeoutMS   int64  `cbor:"5,keyasint"`
	Class       uint8  `cbor:"6,keyasint"`
	Once        bool   `cbor:"7,keyasint,omitempty"` // the request may not be repeated
	Traceparent string `cbor:"8,keyasint,omitempty"`
	Cause       Cause  `cbor:"9,keyasint,omitempty"` // for traces
	// MaxWaitServiceTimes is the longest wait for a slot, in service times; 0 is not bounded.
	MaxWaitServiceTimes uint8 `cbor:"10,keyasint,omitempty"`
}

// LookupReply is the result of a lookup.
type LookupReply struct {
	Outcome outcome.Outcome  `cbor:"1,keyasint"`
	Found   bool             `cbor:"2,keyasint,omitempty"`
	Record  *coverage.Record `cbor:"3,keyasint,omitempty"`
	Version uint64           `cbor:"4,keyasint,omitempty"`
	Status  TargetStatus     `cbor:"5,keyasint"`
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // broken invariant: the options are constant
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 12,
		MaxNestedLevels:  16,
	}.DecMode()
	if err != nil {
		panic(err) // broken invariant: the options are constant
	}
	return mode
}

// Marshal encodes a message without its length.
func Marshal(message any) ([]byte, error) { return encMode.Marshal(message) }

// Unmarshal decodes a message that Marshal encoded.
func Unmarshal(data []byte, message any) error { return decMode.Unmarshal(data, message) }

// maxPooledBytes bounds the buffers that are kept for the next message; nearly
// all messages are shorter.
const maxPooledBytes = 64 << 10

// lengthBytes is the size of the length in front of a message.
const lengthBytes = 4

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// putBuffer keeps a buffer of usual size for the next message.
func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBytes {
		b.Reset()
		buffers.Put(b)
	}
}

// Write writes one message with its length in one call of w.Write.
func Write(w io.Writer, message any) error {
	frame := buffers.Get().(*bytes.Buffer)
	defer putBuffer(frame)
	frame.Write(make([]byte, lengthBytes))
	if err := encMode.MarshalToBuffer(message, frame); err != nil {
		return fmt.Errorf("encode %T: %w", message, err)
	}
	size := frame.Len() - lengthBytes
	if size > MaxMessageBytes {
		return fmt.Errorf("message %T has %d bytes, the limit is %d", message, size, MaxMessageBytes)
	}
	binary.BigEndian.PutUint32(frame.Bytes(), uint32(size))
	if _, err := w.Write(frame.Bytes()); err != nil {
		return fmt.Errorf("send %T: %w", message, err)
	}
	return nil
}

// Read reads one message. It returns io.EOF if the stream ended before it.
// The message keeps no part of the buffer, because the decoder copies strings
// and bytes.
func Read(r io.Reader, message any) error {
	frame := buffers.Get().(*bytes.Buffer)
	defer putBuffer(frame)
	head := append(frame.AvailableBuffer(), make([]byte, lengthBytes)...)
	if _, err := io.ReadFull(r, head); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head)
	if size > MaxMessageBytes {
		return fmt.Errorf("message of %d bytes, the limit is %d", size, MaxMessageBytes)
	}
	frame.Grow(int(size))
	body := frame.AvailableBuffer()[:size]
	if _, err := io.ReadFull(r, body); err != nil {
		return fmt.Errorf("receive %T: %w", message, err)
	}
	if err := decMode.Unmarshal(body, message); err != nil {
		return fmt.Errorf("decode %T: %w", message, err)
	}
	return nil
}
