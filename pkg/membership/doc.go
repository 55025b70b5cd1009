// Package membership decides which peers a host sends heartbeats to, what a
// heartbeat proves, and whether the host may start work.
//
// The package owns a bounded view of the peers: the contacts and what their
// heartbeats and acknowledgements reported. It does not send messages, read the
// host list or stop the process; the caller acts on the results of Tick and
// Ready. The rules guard against a process that continues on outdated state
// after a pause, two incarnations of one ordinal using the same share, a one-way
// path counted as a live peer, and both owners of a cold target using its
// allowance. A share is an owner's part of a target's limits (package ownership);
// a cold target has just started and would fail under its usual load. The platform
// is the service that publishes the configuration and the host list.
//
// Hosts with ordinals (internal/daemon) use this package; hosts without ordinals use
// package roster. The two kinds of host exchange no messages.
//
// The rules compare time intervals of different hosts, never their clocks. A
// View is not safe for concurrent use; the caller serialises access.
package membership
