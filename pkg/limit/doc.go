// Package limit decides when a request may use a slot of a target, when an entry
// host may start a query, and which answer is given up when memory runs short.
//
// Limiter owns the slots of one owner on a target, whose number Resize sets, and
// the queue of requests for them. Admission owns the concurrency limit of an
// entry host. Bytes owns the memory for large answers. The package decides neither the shares (package ownership) nor how
// many requests a cold target may get (package warmup); the caller sets the
// result of both with Resize. Limiter and Admission together keep a target from receiving
// more requests than it has slots, a request from taking a slot when its deadline
// cannot be met, and a burst of low-priority requests from delaying the class
// Critical.
//
// The types are not safe for concurrent use; the caller serialises calls.
package limit
