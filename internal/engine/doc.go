// Package engine runs callers' requests: single ones, which go to one target of a
// service, and fan-outs, which go to one target of each shard and are merged.
//
// It owns what the host knows of each target (package balance), its connections
// (package backend), the service times of routes and the budgets of extra sends
// (package hedge). It takes the published state as a catalog.View and never
// changes it. Decisions are those of the packages in pkg/; this package keeps
// their state, calls them at the right moment and carries out what they say.
//
// What a front adds is decoding and encoding: the engine knows no header names
// but that of the trace context and no status codes but the class of a target's own
// answer.
package engine
