// Package outcome defines what became of a request as a typed value.
//
// The distinction that matters is between NotRun and Unknown. NotRun is a
// promise: no target executed the request, so a caller may send it again
// without doubling its effect. Unknown makes no promise and is the zero value,
// so that code which forgets to set an outcome never claims too much.
//
// The package owns no state and has no dependencies.
package outcome
