// Package limit decides when a request may use a target's slot and when an
// entry host may start a query.
//
// Limiter owns one owner's fixed share of a target's slots and the requests
// that wait for them. Admission owns the concurrency limit of an entry host.
// Neither owns the shares themselves (package ownership) or the allowance of a
// cold target (package warmup); the caller passes both in with Resize.
//
// They guard against three failures: a target that receives more than it has
// slots for, requests that take a slot although their deadline cannot be met,
// and a burst of low-priority work that delays the highest class.
//
// The types are not safe for concurrent use; the caller serialises.
package limit
