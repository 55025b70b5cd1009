package entries_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/lacewingyard/lacewingyard/pkg/entries"
)

func ExampleChoose() {
	hosts := []entries.Host{
		{Name: "leaving", Place: "north", PlaceInService: true, Reachable: true, Leaving: true},
		{Name: "far", Place: "south", PlaceInService: true, Reachable: true},
		{Name: "near", Place: "north", PlaceInService: true, Reachable: true},
	}
	for _, h := range entries.Choose(hosts, "north", rand.New(rand.NewPCG(1, 2))) {
		fmt.Println(h.Name)
	}
	// Output:
	// near
	// far
}
