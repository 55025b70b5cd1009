// Package quota limits the rate of a tenant's requests over all hosts together.
//
// The token bucket of a tenant is on one host, its granting host. The other hosts hold a few
// tokens each, leased ahead of need, and admit requests from these alone: no request waits
// for another host. A Holder decides on requests and on what to ask for, a Granter on what
// to grant.
//
// It answers two loads: small tenants, whose few callers use two or three of many hosts, so
// that equal shares of the limit would refuse most of their requests; and a tenant that sends
// many times its usual rate through all hosts at once. It guards against a sum of shares that
// exceeds the limit while hosts disagree on the fleet: of two granting hosts at most one sees
// most of the fleet (Fleet), and one that has just taken over grants less.
//
// In any window, the requests that run are at most those granted in it and those leased before
// it. The tolerance in Bounds is divided: rateTolerance is added to the rate, leasedTolerance
// may be held as leases, and the rest covers a change of the granting host and a restart of
// all hosts.
//
// Time, the random source and messages are passed in. The types are not safe for concurrent
// use.
package quota
