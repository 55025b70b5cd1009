// Package snapshot chooses the index version that a query runs on.
//
// Index versions roll through the searchers while queries run. A query needs
// one version that every shard group still serves. The table of versions is
// learned from the answers of targets, because their status endpoints lag. It
// owns the versions that each target last stated, and per service the number
// of groups that each version covers, kept up to date with every statement.
//
// It guards against answers mixed from two versions and against a version that
// some group no longer serves. It sends nothing and re-plans nothing itself.
//
// The types are not safe for concurrent use; the caller serialises.
package snapshot
