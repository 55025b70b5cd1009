package wire_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/configsync"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

// Guards against heartbeats that exceed MaxHeartbeatBytes when names have the
// longest allowed length and the extension is full.
func TestHeartbeatSize(t *testing.T) {
	g := NewWithT(t)
	name := strings.Repeat("n", 63) // longest allowed name of a place
	maxPosition := configsync.Position{Version: 1<<53 - 1, Digest: 1<<64 - 1}
	heartbeat := wire.Heartbeat{
		Member: membership.Heartbeat{Incarnation: 1<<64 - 1, State: membership.State{Load: 255, Leaving: true}, From: membership.Peer{
			Name: name, Address: "255.255.255.255:65535", OrdinalID: membership.OrdinalID{Place: name, Ordinal: 1 << 16}}},
		Positions: wire.Positions{maxPosition, maxPosition}, Extension: make([]byte, wire.MaxExtensionBytes),
	}
	data, err := wire.Marshal(&heartbeat)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<=", wire.MaxHeartbeatBytes))
}
