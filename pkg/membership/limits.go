package membership

import "time"

// Time limits of the protocol.
const (
	TickInterval        = 100 * time.Millisecond
	HeartbeatInterval   = time.Second            // between heartbeats to one contact
	PauseLimit          = 500 * time.Millisecond // delay of a tick beyond TickInterval that counts as a pause of the process
	ConfirmLimit        = 2 * time.Second        // time after which an unconfirmed peer's answer is enough for Ready, and the platform's answer alone for Confirmed
	ReachabilityTimeout = 3 * time.Second        // a peer is unreachable after this long without an acknowledgement

	// IsolationLimit is how long a promise or a confirmation is valid, counted
	// from the sending of the heartbeat. The limit is shorter than TakeoverWait,
	// so that the holder of a promise stops before the peer that gave the promise
	// may take over.
	IsolationLimit = 4 * time.Second
	TakeoverWait   = 5 * time.Second // time after which a superseded process or an earlier owner no longer uses its share

	// PropagationLimit is the time within which a published configuration is in
	// force on all hosts.
	PropagationLimit = 6 * time.Second

	// RotateInterval is the time after which one random contact is replaced. A
	// new contact costs a TLS handshake of some kilobytes.
	RotateInterval = 30 * time.Second
)

// Size limits of the view.
const (
	FullMeshHosts = 16 // largest fleet, in hosts, in which every peer is a contact
	MaxContacts   = 4  // contacts in a larger fleet: the heartbeats sent per second
	maxPinned     = 3  // pinned contacts at most, so that at least one contact is random

	// maxKnownSenders bounds the state kept about senders of heartbeats. It is
	// larger than the number of hosts in the largest fleet.
	maxKnownSenders = 4096
)
