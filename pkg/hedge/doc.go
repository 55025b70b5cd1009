// Package hedge decides when a sub-request gets another attempt.
//
// The package owns the latency distribution of each shard group (Latencies), the
// limits of the extra load of hedges and retries (Budget, and WindowBudget for a
// limit over a sliding window) and the detection of an overloaded service (Load).
// It does not choose the replica of the other attempt; package routing does.
// Hedges keep stragglers from determining the latency of a whole query; the
// limits keep hedges and retries from amplifying an overload.
//
// The types are not safe for concurrent use; the caller serialises.
package hedge
