// Package guard ends one unit of work, such as a request, a send or a heartbeat, when
// it panics, in place of the whole process: one malformed message must not take down the
// other callers of a host. It owns no state but the number of panics. Locks must be
// released by defer inside the guarded work.
package guard

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// maxLoggedPanics bounds the panics that are logged with their stacks. Further ones are
// only counted, as a message that is sent again and again would flood the log.
const maxLoggedPanics = 20

var panics atomic.Int64

// Panics returns the number of panics of guarded work in this process.
func Panics() int64 { return panics.Load() }

// Run calls f and reports whether it returned. If it panicked, the panic is counted and
// logged with the stack; what names the work.
func Run(log hclog.Logger, what string, f func()) (returned bool) {
	defer func() {
		if returned {
			return
		}
		reason := recover()
		if n := panics.Add(1); n <= maxLoggedPanics {
			log.Error("unexpected error; only this work is given up", "work", what, "panics", n, "error", fmt.Sprint(reason), "stack", string(debug.Stack()))
		}
	}()
	f()
	return true
}
