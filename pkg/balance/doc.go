// Package balance chooses the target with the lowest expected time to an answer.
//
// It estimates that time from the requests that this host sent to each target:
// service times relative to the expected ones, requests outstanding, the time
// without any result, and the rates of failures and refusals. It ignores the load
// that targets or the platform report, because such reports lag.
//
// Traffic shifts to the other replicas when a target pauses, slows down, fails
// some requests or becomes unreachable. Statistics decay, so that an avoided
// target is tried again. The cost of the round trip keeps traffic from moving to
// another place for a small gain.
//
// The package does not decide on retries or hedges and does no I/O. It is for hosts
// that send to targets directly; package routing chooses where requests go through
// an owner of the target. The types are not safe for concurrent use.
package balance
