// Package outcome defines the outcome of a request as a typed value.
//
// The main distinction is between NotRun and Unknown. NotRun guarantees that no
// target executed the request, so that a caller may safely send it again. Unknown
// guarantees nothing and is the zero value, so that code which forgets to set an
// outcome never reports a guarantee by mistake. Refused returns an outcome of kind
// NotRun, Uncertain one of kind Unknown.
//
// The package does not decide on retries. It holds no state and has no
// dependencies; its values may be copied and read concurrently.
package outcome
