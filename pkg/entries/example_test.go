package entries_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/lacewingyard/lacewingyard/pkg/entries"
)

func ExampleChoose() {
	hosts := []entries.Host{
		{Name: "leaving", Place: "north", PlaceIn: true, Heard: true, Leaving: true},
		{Name: "far", Place: "south", PlaceIn: true, Heard: true},
		{Name: "near", Place: "north", PlaceIn: true, Heard: true},
	}
	for _, h := range entries.Choose(hosts, "north", rand.New(rand.NewPCG(1, 2))) {
		fmt.Println(h.Name)
	}
	// Output:
	// near
	// far
}
