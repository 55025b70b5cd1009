// Package coverage merges the answers of targets to one query and computes the
// coverage of the result.
//
// Coverage is computed from the union of the key ranges that the merged answers
// state, not from a number of groups, because a shard that is split or merged
// while the query runs may answer for a range that overlaps another answer.
// Records in two answers are merged by identifier, also where answers are
// truncated at a record limit. An answer from another index version is never
// merged. The package does not decide which targets are asked or how long.
//
// A Merger belongs to one query and is not safe for concurrent use.
package coverage
