// Package atmostonce decides whether a request that may not be repeated may run
// on this host.
//
// A Ticket names the one host incarnation that may run the request (the request's
// home) and an expiry. A Registry belongs to one incarnation and keeps a record of
// each request that it let run, until the ticket's expiry plus the maximum
// deadline. A resent request gets the record instead of a second run. After a
// refusal as "not run" the Registry keeps a refusal marker: a send that arrives
// afterwards runs only if its sender confirms that it still waits for the answer,
// because the send may have left before the refusal and been delayed. A
// HandoverStore answers for homes that are gone.
//
// The package prevents a second run after a resend, a client timeout, a
// replacement of the home or a backward step of the clock, and a run by a send
// that was already in flight when the request was refused. It does not forward or
// run requests, and keeps nothing over a restart; a new incarnation refuses the
// tickets of the earlier one as unknown.
//
// A Registry and a HandoverStore are not safe for concurrent use; the caller
// serialises calls.
package atmostonce
