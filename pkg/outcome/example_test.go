package outcome_test

import (
	"fmt"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// A request may be sent again safely only if it did not run.
func Example() {
	for _, o := range []outcome.Outcome{
		outcome.OK(),
		outcome.Refused(outcome.Overload, "the queue of %s is full", "tagdesk-g00-r0"),
		outcome.Uncertain(outcome.ConnLost, "the connection broke after the request was sent"),
	} {
		fmt.Println(o, o.DidNotRun())
	}
	// Output:
	// answered false
	// not_run (overload): the queue of tagdesk-g00-r0 is full true
	// unknown (conn_lost): the connection broke after the request was sent false
}
