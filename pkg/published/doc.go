// Package published decides what a host believes of the state that the platform
// publishes (configuration with its routes and keys, targets and their drains, evacuated
// places), and on what ground: which answers of the store and which updates of peers are
// taken over, which of them confirm the state in use, what is told to peers, and when this
// host has to ask the store or a peer.
//
// A Replica is the state of one host. All that a host reads of the store or of a peer goes
// through it. It guards against a store that comes back from an older copy and gives out its
// revisions again, against late answers, against confirmations of another state than the one
// in use, and against hosts that all read the store at once. Package catalog merges the
// content; a configuration is never replaced by an older version there.
//
// The package does no I/O and has no clock; times are passed in. A Replica is not safe for
// concurrent use.
package published
