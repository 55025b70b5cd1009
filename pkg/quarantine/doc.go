// Package quarantine decides whether a query runs on all groups at once, runs on
// a single target first (as a canary), or is refused because it crashes targets.
// It owns a host's table of query fingerprints and the deaths of targets under
// them. It neither sends queries nor exchanges entries with other hosts; Export
// and Import return and take them as values. It guards against a killer query (one
// that crashes the targets that run it) taking down one replica after another, and
// against refusing queries that only ran beside a killer query.
//
// A death is the loss of a target's connections while the target ran a query:
// the target died under the query, whether or not the query was the cause. A death
// makes the query's fingerprint a suspect. A suspect is proven to be a killer query
// when two distinct targets, of different groups where the service has several,
// have died under its canaries without an answer in between. A death under a query
// that ran beside others proves nothing: the failure of a machine or place ends
// every query on its targets, and a killer query ends its neighbours. The death of a
// target under the canaries of two suspects proves nothing either.
//
// A canary that succeeds shows that the query does not crash every shard. A group
// in which a target died under the query still gets it only as a canary until that
// group has answered, and does not get it after deaths under two canaries.
//
// A query that all groups answered is cleared for that index version. A death
// under it on one target of a group does not make it a suspect, because the loss
// of a place is a death under every query on its targets.
//
// A Table and a CrashCounter are not safe for concurrent use; the caller
// serialises calls.
package quarantine
