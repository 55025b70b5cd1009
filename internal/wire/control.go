package wire

import (
	"github.com/lacewingyard/lacewingyard/pkg/configsync"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

// Exchanges of the control plane.
const (
	ExchangeHeartbeat Exchange = 16 + iota // Heartbeat, then HeartbeatAck
	ExchangePull                           // PullRequest and Manifest, then SectionRequest and Sections
)

// Limits of heartbeats. The extension leaves room for the fixed fields, whose
// names and addresses come from the settings and the host list.
const (
	MaxHeartbeatBytes = 512
	MaxExtensionBytes = 256
)

// Published names a value that the platform publishes.
type Published uint8

// Published values.
const (
	PublishedConfig Published = iota
	PublishedHosts
	PublishedCount = 2
)

// Positions are the documents in force on a host.
type Positions [PublishedCount]configsync.Position

// Heartbeat says that a host lives and what it knows. As it carries the
// positions, it is also the offer of an anti-entropy exchange.
type Heartbeat struct {
	Member    membership.Heartbeat `cbor:"1,keyasint"`
	Positions Positions            `cbor:"2,keyasint"`
	Extension []byte               `cbor:"3,keyasint,omitempty"` // entries of other parts, opaque here
}

// HeartbeatAck answers a heartbeat.
type HeartbeatAck struct {
	Member    membership.Ack `cbor:"1,keyasint"`
	Positions Positions      `cbor:"2,keyasint"`
	Extension []byte         `cbor:"3,keyasint,omitempty"`
}

// PullRequest asks for the manifest of a published value.
type PullRequest struct {
	Value Published `cbor:"1,keyasint"`
}

// Manifest is the reply to a PullRequest.
type Manifest = configsync.Manifest

// SectionRequest asks for sections of the document of a manifest.
type SectionRequest struct {
	Digests []uint64 `cbor:"1,keyasint"`
}

// Sections is the reply to a SectionRequest, in its order. It is empty if the
// document is no longer in force at the sender.
type Sections struct {
	Sections [][]byte `cbor:"1,keyasint,omitempty"`
}
