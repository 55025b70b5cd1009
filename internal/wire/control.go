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

// Limits in bytes of an encoded Heartbeat and of its Extension. The difference of the two
// is for the other fields, whose names and addresses come from the settings and the host
// list.
const (
	MaxHeartbeatBytes = 512
	MaxExtensionBytes = 256
)

// Published identifies a value that the platform publishes.
type Published uint8

// Published values.
const (
	PublishedConfig Published = iota // the configuration
	PublishedHosts                   // the host list
	PublishedCount  = 2              // number of published values
)

// Positions are the versions and digests of the published values in force on a host,
// indexed by Published.
type Positions [PublishedCount]configsync.Position

// Heartbeat reports the state and the positions of a host. Its arrival shows that the
// host is reachable. With the positions, a heartbeat also starts an anti-entropy
// exchange.
type Heartbeat struct {
	Member    membership.Heartbeat `cbor:"1,keyasint"`
	Positions Positions            `cbor:"2,keyasint"`
	Extension []byte               `cbor:"3,keyasint,omitempty"` // entries of other modules, opaque to this package
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

// SectionRequest asks for sections of the published value that a manifest describes.
type SectionRequest struct {
	Digests []uint64 `cbor:"1,keyasint"`
}

// Sections is the reply to a SectionRequest, in the order of its digests. It is
// empty if the published value is no longer in force on the sender.
type Sections struct {
	Sections [][]byte `cbor:"1,keyasint,omitempty"`
}
