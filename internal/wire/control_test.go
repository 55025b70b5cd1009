package wire_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/configsync"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

// Guards against heartbeats that outgrow the control budget: the longest names
// with a full extension must fit the limit.
func TestHeartbeatSize(t *testing.T) {
	g := NewWithT(t)
	name := strings.Repeat("n", 63) // longest name of a place
	last := configsync.Position{Version: 1<<53 - 1, Digest: 1<<64 - 1}
	heartbeat := wire.Heartbeat{
		Member: membership.Heartbeat{Incarnation: 1<<64 - 1, State: membership.State{Load: 255, Leaving: true}, From: membership.Peer{
			Name: name, Address: "255.255.255.255:65535", OrdinalID: membership.OrdinalID{Place: name, Ordinal: 1 << 16}}},
		Positions: wire.Positions{last, last}, Extension: make([]byte, wire.MaxExtensionBytes),
	}
	data, err := wire.Marshal(&heartbeat)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<=", wire.MaxHeartbeatBytes))
}
