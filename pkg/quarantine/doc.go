// Package quarantine decides whether a query runs at once, runs on a single
// target first (canary), or is refused because it crashes its targets.
//
// A connection that dies under a query makes the query's fingerprint a
// suspect. A suspect is proven when its canaries have died on two distinct
// targets, of different groups where the service has several. A canary that succeeds on a target clears it. Deaths of queries that ran beside
// others prove nothing: a machine or a place that fails takes down every query
// on its targets, and a killer query takes down its neighbours. A canary that
// died beside the canary of another suspect proves nothing either.
//
// The package guards against a query that takes down one replica after the
// other, and against refusing queries that only ran beside it. It does not send
// queries and does not exchange entries; Export and Import give them as values.
//
// A Table is not safe for concurrent use; the caller serialises.
package quarantine
