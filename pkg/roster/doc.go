// Package roster keeps what a host has heard of the other hosts: who lives, who
// takes callers, and how new their knowledge of the platform's store is.
//
// Hosts tell each other their own state and pass on that of others, each with
// its age, so that a host that nobody hears of any more drops out everywhere
// within a bounded time, however the news travelled. The package decides which
// hosts read the store and how many hosts the shared limits are divided by. It
// guards against naming a dead host to callers and against a host that was
// restarted being taken for its former self.
//
// It does no I/O and is not safe for concurrent use.
package roster
