// Package warmup decides how many requests an owner may have on a target that may
// have started recently.
//
// A Ramp holds what one owner knows of one target: the boot_id of the process that
// answered last, the state that the target reports, and whether its answers are
// much slower than the median of its service. The package does not decide which
// owner may use the cold allowance; the caller passes that as mayUseCold.
//
// Owners learn of a restart at different times, and a target that has just started
// fails under its usual load. So the warm state holds for one process (one
// boot_id) and ends when a connection breaks: the next connection may reach a new
// process, which must report its state before it gets the full share.
//
// Ramp is not safe for concurrent use.
package warmup
