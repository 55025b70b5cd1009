// Package routing chooses, for each shard group of a query, the replica to ask
// and the owner through which to ask it.
//
// The package owns the estimates per path (latency with queueing, requests in
// flight, recent failures), per target (attempts lost to a hedge), per branch
// host (missing replies) and per place (round-trip time). They derive from the
// outcomes of requests, because the health and load endpoints of targets lag or
// mislead. The package does not decide which targets are usable. It avoids
// replicas in other places without need, replicas that are stuck or refuse, and
// all hosts moving to one replica at the same time.
//
// A Router is not safe for concurrent use; the caller serialises.
package routing
