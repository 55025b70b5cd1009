package membership

import "time"

// Time limits of the protocol.
const (
	TickInterval        = 100 * time.Millisecond
	HeartbeatInterval   = time.Second // between heartbeats to one contact
	PauseLimit          = 500 * time.Millisecond
	ConfirmLimit        = 2 * time.Second // after it, an answer of any peer confirms
	ReachabilityTimeout = 3 * time.Second // a path without acknowledgement for this long is down

	// IsolationLimit is how long a promise or a confirmation is used, counted
	// from when the heartbeat was sent. It is shorter than TakeoverWait, so that
	// the user of a promise stops before the peer that gave it may act.
	IsolationLimit = 4 * time.Second
	TakeoverWait   = 5 * time.Second

	// PropagationLimit is the time within which a configuration is in force everywhere.
	PropagationLimit = 6 * time.Second

	// RotateInterval is the time after which one random contact is exchanged.
	// A new contact costs a TLS handshake of some kilobytes.
	RotateInterval = 30 * time.Second
)

// Sizes of the view.
const (
	FullMeshHosts = 16 // hosts up to which every peer is a contact
	MaxContacts   = 4  // heartbeats a second in a larger fleet
	maxPinned     = 3  // contacts that are not random, so that one always is

	// maxSeats bounds what is remembered of senders; it is above the number of
	// hosts of the largest fleet.
	maxSeats = 4096
)
