// Package soak is a soak test: it runs hosts of the platform edge as separate processes
// on loopback, injects faults from outside and checks the guarantees to callers and
// targets against what both observe. It reports violations and does not trace their
// causes. It signals only the processes that it started.
//
// Faults are drawn from a seed and overlap: connections to targets and to the store
// that are delayed, reset, blackholed or blocked in one direction; hosts that are
// paused, killed, stopped and restarted; targets that drain, are slow, refuse requests,
// drop answers or fail with a status that means "not run" to callers; a store that is
// unavailable, compacts its history or comes back from an older copy, after which what it lost
// is written again; callers that hold large bodies open; and changes of the configuration.
// Callers use keys of tenants, whose keys and limits change all the time, and some send more
// than their limits. Probes on routes that were just added, moved or removed show which version
// of the configuration each host uses. Run returns once its callers and host processes have
// ended.
package soak
