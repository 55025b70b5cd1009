package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

// A process that was paused starts no work until a confirmed peer has answered and
// the configuration version that the peer reports is in force on the host.
func Example() {
	start := time.Unix(0, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	a := membership.Peer{Name: "a", OrdinalID: membership.OrdinalID{Place: "north"}}
	b := membership.Peer{Name: "b", OrdinalID: membership.OrdinalID{Place: "south"}}
	view := membership.NewView(a, 1, start, rng)
	view.SetPeers([]membership.Peer{a, b})
	view.SetConfigInForce(start, 7)
	view.Tick(start)
	view.Acked(start, start, b, membership.Ack{Incarnation: 1, Confirmed: true, Config: 7})
	fmt.Println(view.Ready(start))

	resumed := start.Add(10 * time.Second)
	fmt.Println(view.Ready(resumed))
	view.Tick(resumed)
	view.Acked(resumed, resumed, b, membership.Ack{Incarnation: 1, Confirmed: true, Config: 8})
	fmt.Println(view.Ready(resumed)) // version 8 is not in force yet
	view.SetConfigInForce(resumed, 8)
	fmt.Println(view.Ready(resumed))
	// Output:
	// true
	// false
	// false
	// true
}
