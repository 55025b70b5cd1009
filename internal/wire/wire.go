// Package wire defines the messages between hosts and their encoding.
//
// A message is a CBOR item after a four-byte big-endian length, on a QUIC stream
// whose first byte is the Exchange. Every query has its own stream, so a late
// reply cannot reach another query.
//
// The package owns the format and its size limits. It does not decide what is
// sent to whom, and it opens no streams; see package peer. Its functions may be
// called concurrently.
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

// MaxMessageBytes limits the length of one message. The largest message is a reply
// with the records of all groups of a place.
const MaxMessageBytes = 16 << 20

// Exchange identifies the sequence of messages on a stream.
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
	Limit       int           `cbor:"4,keyasint"` // maximum number of records; 0 for all
	Version     uint64        `cbor:"5,keyasint"` // index version; 0 for the newest
	TimeoutMS   int64         `cbor:"6,keyasint"` // time left until the deadline, relative because clocks of hosts differ
	Class       uint8         `cbor:"7,keyasint"` // settings.Priority
	Parts       []PartRequest `cbor:"8,keyasint"`
	Traceparent string        `cbor:"9,keyasint,omitempty"`
	Canary      bool          `cbor:"16,keyasint,omitempty"` // a suspect query that runs on one target alone
	// Borrow is set if the sender is the other owner of the targets and has no free
	// slot. A part runs only if a slot is free at once, and is refused as Overload
	// otherwise.
	Borrow bool   `cbor:"17,keyasint,omitempty"`
	Tenant string `cbor:"18,keyasint,omitempty"` // name of the caller's tenant; "" for none
}

// PartRequest names one group and the target that is to answer for it.
type PartRequest struct {
	Group               string `cbor:"1,keyasint"`
	Target              string `cbor:"2,keyasint"`
	Cause               Cause  `cbor:"3,keyasint,omitempty"` // for traces; a retry also gets its whole timeout
	MaxWaitServiceTimes uint8  `cbor:"4,keyasint,omitempty"` // longest wait for a slot, in service times; 0 is unbounded
}

// SearchReply carries the results that became available since the last reply.
type SearchReply struct {
	Parts []PartResult `cbor:"1,keyasint"`
	Final bool         `cbor:"2,keyasint,omitempty"`
	// QueryID repeats that of the request; a reply for another query is ignored.
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
	QueueUS  int64              `cbor:"8,keyasint,omitempty"` // microseconds of wait for a slot on the branch host
	TargetUS int64              `cbor:"9,keyasint,omitempty"` // microseconds from sending to the target's answer

	// Borrowed is set on the branch host that forwarded the part to the target's
	// other owner. The field is not encoded.
	Borrowed bool `cbor:"-"`

	ConnectionLost    bool               `cbor:"16,keyasint,omitempty"` // the target's connection broke during the request
	QuarantineEntries []quarantine.Entry `cbor:"17,keyasint,omitempty"` // the branch host's quarantine entries for the query
}

// TargetStatus is the status that a target reported in an answer.
type TargetStatus struct {
	State    TargetState `json:"state" cbor:"1,keyasint,omitempty"`
	BootID   string      `json:"boot_id" cbor:"2,keyasint,omitempty"`        // changes when the target's process restarts
	Versions []uint64    `json:"index_versions" cbor:"3,keyasint,omitempty"` // index versions that the target can search
}

// TargetState is the state that a target reports of itself.
type TargetState string

// Target states. The empty state means that the target reported none.
const (
	TargetWarm     TargetState = "warm"
	TargetCold     TargetState = "cold"
	TargetDraining TargetState = "draining"
)

// Cancel cancels the parts of a search for the given groups, or all parts if no
// groups are given.
type Cancel struct {
	Groups []string `cbor:"1,keyasint,omitempty"`
}

// LookupRequest asks a branch host to read one record from a target.
type LookupRequest struct {
	RequestID   string `cbor:"1,keyasint"`
	Service     string `cbor:"2,keyasint"`
	ID          string `cbor:"3,keyasint"` // identifier of the record
	Target      string `cbor:"4,keyasint"`
	TimeoutMS   int64  `cbor:"5,keyasint"`           // time left until the deadline
	Class       uint8  `cbor:"6,keyasint"`           // settings.Priority
	Once        bool   `cbor:"7,keyasint,omitempty"` // the lookup of a command, which may not be repeated
	Traceparent string `cbor:"8,keyasint,omitempty"`
	Cause       Cause  `cbor:"9,keyasint,omitempty"` // for traces
	// MaxWaitServiceTimes is the longest wait for a slot, in service times; 0 is unbounded.
	MaxWaitServiceTimes uint8  `cbor:"10,keyasint,omitempty"`
	Tenant              string `cbor:"16,keyasint,omitempty"` // name of the caller's tenant; "" for none
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

// Marshal encodes a message without the length prefix.
func Marshal(message any) ([]byte, error) { return encMode.Marshal(message) }

// Unmarshal decodes a message that Marshal encoded.
func Unmarshal(data []byte, message any) error { return decMode.Unmarshal(data, message) }

// maxPooledBytes limits the size of buffers that are reused; nearly all messages
// are shorter.
const maxPooledBytes = 64 << 10

// lengthBytes is the size of the length prefix of a message.
const lengthBytes = 4

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// putBuffer returns a buffer to the pool unless it is larger than maxPooledBytes.
func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBytes {
		b.Reset()
		buffers.Put(b)
	}
}

// Write writes one message with its length prefix in one call of w.Write. It
// returns an error if the message exceeds MaxMessageBytes.
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

// Read reads one message. It returns io.EOF if the stream ended before the message,
// and an error if the message exceeds MaxMessageBytes. The buffer can be reused,
// because the decoder copies strings and bytes.
func Read(r io.Reader, message any) error {
	frame := buffers.Get().(*bytes.Buffer)
	defer putBuffer(frame)
	prefix := append(frame.AvailableBuffer(), make([]byte, lengthBytes)...)
	if _, err := io.ReadFull(r, prefix); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(prefix)
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
