// Package quarantine decides whether a query runs on all groups at once, runs on
// a single target first (as a canary), or is refused because it crashes targets.
// It owns a host's table of query fingerprints and the deaths of targets under
// them. It neither sends queries nor exchanges entries with other hosts; Export
// and Import return and take them as values. It guards against a killer query (one
// that crashes the targets that run it) taking down one replica after another, and
// against refusing queries that only ran beside a killer query.
//
// A death is the loss of a target's connections while the target ran a query; the
// query, or its canary, is said to have died there, whether or not the query was
// the cause. A death makes the query's fingerprint a suspect. A suspect is proven
// when its canaries have died on two distinct targets, of different groups where
// the service has several, without an answer in between. Deaths of queries that ran
// beside others prove nothing: the failure of a machine or place ends every query
// on its targets, and a killer query ends its neighbours. A canary that died on a
// target while the canary of another suspect ran there proves nothing either.
//
// A canary that succeeds shows that the query does not crash every shard. A group
// in which the query died still gets it only as a canary until that group has
// answered, and does not get it after two canaries died there.
//
// A query that all groups answered is cleared for that index version. A death
// under it on one target of a group does not make it a suspect, because every
// query on the targets of a place dies when the place is lost.
//
// A Table and a CrashCounter are not safe for concurrent use; the caller
// serialises calls.
package quarantine
