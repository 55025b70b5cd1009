// Package admission decides which requests a host runs, which wait and which are refused
// while the work that the host has in progress delays all of it.
//
// It answers bursts of several times the usual load, in which a host without a limit sends
// all requests at the same pace and all are late together, urgent ones included.
//
// Work is counted in sends: a fan-out takes one per shard and gives each back with its part.
// Below the limit every request runs at once. The limit is in force only while most sends
// take much longer than in calm, and follows the rate at which sends are answered then.
//
// The package is pure: time is passed in, and verdicts on waiting requests are returned by
// Queue.Next. Types are not safe for concurrent use.
package admission
