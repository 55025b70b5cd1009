// Package membership decides which peers a host sends heartbeats to, what a
// heartbeat proves, and whether the host may start work.
//
// It owns a bounded view of peers: the contacts and what their heartbeats and
// acknowledgements said. It does not send messages, read the host list or stop
// the process; the caller does what Tick and Ready say. It guards against a
// process that was paused and goes on with what it knew before, against two
// incarnations of one ordinal using the same share, against a path that works
// in one direction only being taken for a live peer, and against both owners of
// a cold target using its allowance.
//
// Time intervals of different hosts are compared, never their clocks. A View is
// not safe for concurrent use; the caller serialises.
package membership
