// Package warmup decides whether a target is warm and how many requests an
// owner may have on it.
//
// A Ramp holds what one owner has learned about one target: the boot_id of the
// process it last heard from, the marks in its answers, and whether its answers
// are much slower than those of its group. It does not decide which owner may
// use the cold allowance; the caller passes that in as mayUseCold.
//
// It guards against a target that has just started and fails under its usual
// load. Owners learn of a restart at different times, so a belief that a target
// is warm holds for one process of it (one boot_id) and ends when a connection
// breaks: a request on an old connection cannot reach the new process, and a
// new connection must be proven before it carries work.
//
// Ramp is not safe for concurrent use; the caller serialises.
package warmup
