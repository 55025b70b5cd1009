// Package quarantine decides whether a query runs at once, runs on a single
// target first (canary), or is refused because it crashes its targets.
//
// A connection that dies under a query makes the query's fingerprint a
// suspect. A suspect is proven when its canaries have died on two distinct
// targets, of different groups where the service has several, without an answer
// in between. Deaths of queries that ran beside others prove nothing: a machine
// or a place that fails takes down every query on its targets, and a killer
// query takes down its neighbours. A canary that died beside the canary of
// another suspect proves nothing either.
//
// A canary that succeeds shows that the query does not crash every shard. A
// group in which the query died gets it as a canary until that group has
// answered itself, and does not get it after two canaries died there.
//
// A query that all groups answered is cleared for that index version. A death
// under it on one target of a group makes it no suspect: every query on the
// targets of a place dies when the place is lost.
//
// The package guards against a query that takes down one replica after the
// other, and against refusing queries that only ran beside it. It does not send
// queries and does not exchange entries; Export and Import give them as values.
//
// A Table is not safe for concurrent use; the caller serialises.
package quarantine
