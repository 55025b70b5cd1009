package routing_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/routing"
)

func Example() {
	r := routing.NewRouter("riga-a", 0, rand.New(rand.NewPCG(1, 2)))
	group := &routing.Group{ID: "g00", Candidates: []routing.Candidate{
		{Target: "g00-r0", Place: "riga-a", Owners: []int{0, 1}},
		{Target: "g00-r1", Place: "riga-b", Owners: []int{1, 2}},
	}}
	r.Prepare(group)
	now := time.Unix(1000, 0)
	first := r.Plan(now, []*routing.Group{group}, nil, nil)[0].Path
	second, _ := r.Alternative(now, group, nil, []routing.Path{first})
	fmt.Println(first.Target, second.Path.Target)
	// Output: g00-r0 g00-r1
}
