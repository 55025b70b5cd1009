package roster_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

func ExampleRoster() {
	now := time.Unix(1000, 0)
	r := roster.New("host-1", "a", now)
	r.Observe(now, roster.State{Name: "host-2", Incarnation: 1, Sequence: 1, Place: "a"})
	fmt.Println(len(r.Alive(now)), len(r.Alive(now.Add(roster.FailureTimeout))))
	fleet, place := r.Shares(now.Add(roster.SettleTime), 0)
	fmt.Println(fleet, place)
	// Output:
	// 1 0
	// 0.5 0.5
}
