// Package gather merges the parts of a fan-out and decides when its answer is sent. A
// shard is the sub-request to one service, and a part is the answer of a shard.
//
// An answer is sent once no shard is outstanding, or at its latency objective so that
// one slow shard does not delay it, provided that it has the least number of parts
// that the route requires. A fan-out fails as soon as it can no longer get that
// number, instead of waiting for unreachable shards. Records come only from the parts
// passed by the caller, which must name the same parts in its answer. The package does
// not send requests, choose targets or retry, and does no I/O.
//
// It holds no state; its functions are safe for concurrent use.
package gather
