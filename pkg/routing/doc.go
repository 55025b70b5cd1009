// Package routing chooses, for each shard group of a query, the replica to ask
// and the host that owns it.
//
// It owns the estimates per path (latency with queueing, requests in flight,
// recent failures), per target (attempts lost to a hedge) and per place (delay
// of the link). They rest on what requests experienced, because the health and
// load endpoints of targets lag or mislead. It does not decide which targets
// are usable.
//
// It guards against replicas in other places chosen for no reason, against
// replicas that are stuck or refuse, and against all hosts moving to one
// replica at the same time.
//
// A Router is not safe for concurrent use; the caller serialises.
package routing
