// Package notice keeps what a target says about itself in its answers, and decides which
// requests of this host may be sent to it for that.
//
// Target is the state of one process of a target; another process of the same target has
// said nothing. Hosts report to each other what targets told them (Report, Hear); that orders
// targets and paces requests, and never takes a target out of use. The package decides neither which of several targets gets a request
// (package balance) nor which hosts share a limit; the caller passes in the time, this
// host's position among them and randomness. A Target is not safe for concurrent use.
package notice
