// Package soak runs hosts of the platform edge as separate processes on loopback,
// injects faults from outside them and checks the promises to callers and targets
// from what both see.
//
// Faults come from a seed, in series and overlapping: connections to targets and
// to the store that are delayed, reset, cut one way or silent; hosts that are
// paused, killed, ended and restarted; targets that crash, drain, refuse or lose
// answers; a store that is down or drops its history; changes of the configuration.
// It ends only the processes that it started.
package soak
