// Package daemon wires the decision packages of pkg/ into the process that runs
// on a host.
//
// A host has two roles. As entry host it admits a caller's request, plans it and
// merges the results; as branch host it owns the connections to targets of its
// own place and sends the sub-requests. The package owns the sockets, the
// goroutines and the exchange of the configuration, the host list and heartbeats
// with peers. It does not decide on routing, hedges, membership, quarantine or
// snapshots: the packages of pkg/ do, and this package passes them the time and
// what was observed.
//
// A Daemon is safe for concurrent use. Mutexes serialise its calls to the decision
// packages, whose types are not.
package daemon
