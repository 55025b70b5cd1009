// Package coverage merges the answers of shards into one answer and computes
// its true coverage.
//
// Coverage is the union of the key ranges that merged answers state, never a
// count of groups: a shard that was split or merged while the query ran may
// answer for a range that overlaps another answer. Records that appear in two
// answers are merged by identifier, also where answers were cut at a record
// limit, and an answer from another index version is never merged.
//
// A Merger belongs to one query and is not safe for concurrent use.
package coverage
