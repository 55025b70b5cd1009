// Package snapshot chooses the index version that a query runs on.
//
// New index versions roll out over the targets while queries run. All parts of
// an answer have to come from one version, which every shard group should still
// serve. The package learns the versions of targets from their answers, because
// their status endpoints lag. It owns the versions that each target reported last
// and, per service, the number of groups that each version covers, updated with
// each report.
//
// It guards against answers mixed from two versions and against choosing a
// version that some group no longer serves. It does not send or re-plan queries.
//
// The types are not safe for concurrent use.
package snapshot
