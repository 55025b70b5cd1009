// Package routing chooses, for each shard group of a query, the replica to ask
// and the host that owns it.
//
// The choice rests on what requests actually experienced (latency including
// queueing, refusals, lost connections) because the health and load endpoints
// of targets lag or mislead. A replica in the local place is preferred by the
// delay of the link that it saves.
//
// A Router is not safe for concurrent use; the caller serialises.
package routing
