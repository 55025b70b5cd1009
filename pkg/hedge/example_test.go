package hedge_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/hedge"
)

func Example() {
	latencies, budget := hedge.NewLatencies(), hedge.NewBudget()
	for i := range 400 {
		latencies.Observe("tagdesk-g00", time.Duration(5+i%10)*time.Millisecond)
		budget.Completed(0.05, false)
	}
	rule := hedge.Rule{Quantile: 0.95, MinDelay: 2 * time.Millisecond}
	fmt.Println(latencies.Delay("tagdesk-g00", rule, budget.Balance()), budget.TryExtra(0.05))
	// Output: 14.336ms true
}
