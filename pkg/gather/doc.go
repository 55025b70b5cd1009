// Package gather merges the parts of a fan-out and decides when its answer may
// leave.
//
// It guards against an answer that holds records of parts it does not name, that
// comes after its objective because one shard is slow, and against waiting for a
// shard that nobody can reach. It does no I/O.
package gather
