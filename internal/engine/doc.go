// Package engine executes callers' requests: single requests, which go to one target
// of a service, and fan-outs, which go to one target of each shard and are merged.
//
// It owns this host's state per target (package balance), its connections (package
// backend), the service times of routes and the budgets of extra sends (package
// hedge). It reads the published state, which is the configuration, the evacuated places
// and the entries of targets, from a catalog.View and never changes the view. The packages
// in pkg/ decide on targets, hedges, budgets and early answers; the engine keeps their
// state, calls them and carries out their decisions.
//
// Front ends decode requests and encode answers. The engine uses no header names
// except that of the trace context, and no status codes except the class of a
// target's own answer. Engine is safe for concurrent use; each request runs in the
// goroutine of its caller, each send in its own.
package engine
