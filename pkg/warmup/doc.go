// Package warmup decides how many requests an owner may have on a target that may
// have started recently.
//
// A Ramp holds what one owner knows of one target: the boot_id of the process that
// answered last, the state that the target reports, and whether its answers are
// much slower than the median of its service. The cold allowance of a target is the
// number of concurrent requests that it gets while it is not warm; one owner holds it.
// The package does not decide which; the caller passes that as mayUseCold.
//
// Owners learn of a restart at different times, and a target that has just
// started fails under its usual load. So the warm state holds for one process
// (one boot_id) and ends when a connection breaks: the next connection may reach
// a new process. The same process gets the full share again when it reports warm;
// a process with another boot_id starts cold whatever it reports.
//
// Ramp is not safe for concurrent use.
package warmup
