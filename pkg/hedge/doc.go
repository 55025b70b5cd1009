// Package hedge decides when a sub-request gets a second attempt.
//
// It owns three estimates: the latency distribution of each shard group
// (Latencies), the budget of extra load that hedges and retries share (Budget),
// and whether the service is overloaded (Load). It does not choose the replica
// of the second attempt; package routing does.
//
// It guards against stragglers that set the latency of a whole query, and
// against retries and hedges that amplify an overload.
//
// The types are not safe for concurrent use; the caller serialises.
package hedge
