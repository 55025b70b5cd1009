package drain_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/drain"
)

// The host leaves, closes its listener when cached answers have expired, and is done
// when no request is open.
func ExampleShutdown() {
	var s drain.Shutdown
	now := time.Unix(0, 0)
	s.Begin(now, 5*time.Second, 30*time.Second)
	fmt.Println(s.Phase(now, 2))
	fmt.Println(s.Phase(now.Add(6*time.Second), 2))
	fmt.Println(s.Phase(now.Add(7*time.Second), 0))
	// Output:
	// leaving
	// closing
	// done
}
