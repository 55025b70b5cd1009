// Package roster keeps the membership table of a host: which other hosts are
// alive, which of them accept callers, and up to which revision of the
// platform's store each is up to date.
//
// Hosts send each other their own state and relay the states of others, each with
// its age, so that a host that stops sending is dropped by all others within a
// bounded time, whatever path its last messages took. The package decides which
// hosts read the store, which hosts own a target, and which fraction of each
// shared limit, by capacity, this host may use. It does not decide when
// heartbeats are sent or what callers are told. It guards against giving callers
// the address of a dead host and against mistaking a restarted host for its
// earlier incarnation.
//
// The package is for hosts without ordinals (internal/gossip and internal/edge);
// package membership is for hosts that have ordinals and read a host list
// (internal/daemon). The two kinds of host exchange no messages.
//
// The package does no I/O. A Roster is not safe for concurrent use.
package roster
