// Package atmostonce decides whether a request that may not be repeated may
// run on this host.
//
// A Ticket names the one host incarnation that may run the request, and an
// expiry. A Registry belongs to one incarnation and keeps a record of each
// request it let run, until the ticket's expiry plus the longest deadline. A
// request that comes again gets the record instead of a second run. After a
// refusal as "not run" it keeps a mark: a later send runs only if its sender
// confirms that it still waits, because it may be an earlier send that was late.
//
// The package guards against a second run after a resend, after a client
// timeout, after the home was replaced and after the clock stepped back, and
// against a run after a refusal by a send that was on its way before it. It
// does not forward requests, does not run them and keeps nothing over a
// restart; a new incarnation refuses the tickets of the earlier one as unknown.
//
// A Registry is not safe for concurrent use; the caller serialises.
package atmostonce
