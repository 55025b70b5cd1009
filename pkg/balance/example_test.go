package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/balance"
)

func ExampleChoose() {
	now, expected := time.Unix(1000, 0), 20*time.Millisecond
	near, far := balance.NewTarget(4), balance.NewTarget(4)
	candidates := []balance.Candidate{{Target: near}, {Target: far, RTT: 8 * time.Millisecond}}
	rng := rand.New(rand.NewPCG(1, 1))
	fmt.Println(balance.Choose(now, candidates, expected, 1, rng))
	near.Sent(now)
	near.Unreachable(now)
	fmt.Println(balance.Choose(now, candidates, expected, 1, rng))
	// Output:
	// 0
	// 1
}
